package load

import (
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Result says how an attempt ended for its caller.
type Result string

// Results of attempts.
const (
	ResultAnswered     Result = "answered" // whole answer
	ResultRefused      Result = "refused"  // typed refusal, before or in the stream
	ResultBroken       Result = "broken"   // the connection broke or the answer was not whole
	ResultNotConnected Result = "no-host"  // no connection could be made; nothing was sent
)

// Attempt is one HTTP request of a caller. Attempts with the same RequestID
// or Key are repetitions of one request.
type Attempt struct {
	Mix          string
	Class        declare.Class
	Entry        string
	RequestID    string
	Model        string
	Prompt       string
	Seed         int64
	MaxTokens    int    // limit in force: the request's or the model's
	Key          string // Idempotency-Key of calls to plain services
	Service      string
	Path         string
	Start        time.Time
	FirstToken   time.Time // zero when there was none
	End          time.Time
	Result       Result
	Outcome      string // of refusals: not-run, unknown or partial
	Reason       string
	Status       int
	Replayed     bool
	Last         bool   // the caller did not send the request again
	Text         string // answer
	FinishReason string
	Versions     []int64 // weight versions that the answer named
	// MisdirectedParts counts parts of the answer that carried another request's ID or
	// an index out of order.
	MisdirectedParts int
	Error            string
}

// Sample is one sample as delivered to a trainer.
type Sample struct {
	ID           string   `json:"id"`
	Tokens       []string `json:"tokens"`
	Versions     []int64  `json:"versions"`
	Score        *float64 `json:"score"`
	FinishReason string   `json:"finish_reason"`
}

// Delivery is one group that a trainer accepted.
type Delivery struct {
	Trainer         string
	Model           string
	Epoch           string
	Seq             int64
	Group           string
	Prompt          string
	Step            int
	PullStartedAt   time.Time // start of the first pull that this delivery can answer
	At              time.Time
	NewestVersion   int64 // newest version announced before Asked
	GroupSize       int   // samples of a whole group
	StalenessBound  int64 // staleness bound
	MaxTokens       int
	Submitted       bool // the group had been submitted
	AlreadyAccepted bool // the group had been accepted before
	Samples         []Sample
	RefusalReason   string // reason of a group that was refused as a whole
}

// Submission is one group accepted by the system.
type Submission struct {
	Trainer string
	Epoch   string
	Group   string
	At      time.Time
}

// Announcement is one new weight version.
type Announcement struct {
	Trainer string
	Model   string
	Version int64
	At      time.Time // after the system had accepted it
}

// Probe tells whether an entry host knew a service.
type Probe struct {
	Entry        string
	Service      string
	At           time.Time
	ServiceFound bool
}

// TrainerStats is how one trainer spent a run. Times begin after the warm-up.
type TrainerStats struct {
	Trainer       string
	Steps         int
	Idle          time.Duration // waiting for samples
	FirstStepIdle time.Duration // part of Idle before the first step was whole
	Total         time.Duration
	EpochChanges  int // answers "409 epoch changed"
	Redelivered   int // groups given again, which the trainer dropped
	Lost          int // groups not delivered for LossAfter
	Outstanding   int // groups submitted and not yet delivered at the end
}

// Records is everything that callers and trainers saw.
type Records struct {
	Attempts      []Attempt
	Deliveries    []Delivery
	Submissions   []Submission
	Announcements []Announcement
	Probes        []Probe
	Trainers      []TrainerStats
}

// recorder collects records from many goroutines.
type recorder struct {
	mu sync.Mutex
	Records
	newest map[string]int64 // by model
}

func (r *recorder) record(add func(*Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.Records)
}

// nextVersion reserves the next version of a model.
func (r *recorder) nextVersion(model string, reserved map[string]int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved[model] = max(reserved[model], r.newest[model]) + 1
	return reserved[model]
}

// announced notes that the system accepted a version.
func (r *recorder) announced(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest[a.Model] = max(r.newest[a.Model], a.Version)
	r.Announcements = append(r.Announcements, a)
}

func (r *recorder) newestVersion(model string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest[model]
}
