package load

import (
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Result is how an attempt ended for its caller.
type Result string

const (
	ResultAnswered     Result = "answered" // complete response
	ResultRefused      Result = "refused"  // typed refusal, as a response or as an event of the stream
	ResultBroken       Result = "broken"   // the connection broke or the response was incomplete
	ResultNotConnected Result = "no-host"  // no connection could be made; nothing was sent
)

// Attempt is one HTTP request of a caller. Attempts with the same RequestID or
// Key belong to one request.
type Attempt struct {
	Mix          string
	Class        declare.Class
	Entry        string
	RequestID    string
	Model        string
	Prompt       string
	Seed         int64
	MaxTokens    int    // effective limit: the lower of the request's and the model's
	Key          string // Idempotency-Key of calls to plain services
	Service      string
	Path         string
	Start        time.Time
	FirstToken   time.Time // zero if none arrived
	End          time.Time
	Result       Result
	Outcome      string // of refusals: not-run, unknown or partial
	Reason       string
	Status       int
	Replayed     bool
	Last         bool   // the caller did not retry
	Text         string // body or concatenated tokens of the response
	FinishReason string
	Versions     []int64 // weight versions named in the response
	// MisdirectedParts counts parts of the response that carried another request's
	// ID or an index out of order.
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

// Delivery is one group that was delivered to a trainer and accepted by it.
type Delivery struct {
	Trainer         string
	Model           string
	Epoch           string
	Seq             int64
	Group           string
	Prompt          string
	Step            int
	PullStartedAt   time.Time // start of the first pull that may have been answered with this group
	At              time.Time
	NewestVersion   int64 // newest weight version announced before PullStartedAt
	GroupSize       int   // samples of a complete group
	StalenessBound  int64 // in versions
	MaxTokens       int
	Submitted       bool // the trainer had submitted the group
	AlreadyAccepted bool // the trainer had accepted the group before
	Samples         []Sample
	RefusalReason   string // set if the group was refused and has no samples
}

// Submission is one group that the system accepted from a trainer.
type Submission struct {
	Trainer string
	Epoch   string
	Group   string
	At      time.Time
}

// Announcement is one new weight version announced by a trainer.
type Announcement struct {
	Trainer string
	Model   string
	Version int64
	At      time.Time // after the system accepted it
}

// Probe reports whether a service was found in the active configuration of an
// entry host.
type Probe struct {
	Entry        string
	Service      string
	At           time.Time
	ServiceFound bool
}

// TrainerStats counts the steps and times of one trainer in a run. Times exclude
// the warm-up.
type TrainerStats struct {
	Trainer       string
	Steps         int
	Idle          time.Duration // waiting for samples
	FirstStepIdle time.Duration // part of Idle until the first step was complete
	Total         time.Duration
	EpochChanges  int // responses "409 epoch changed"
	Redelivered   int // groups delivered again, which the trainer ignored
	Lost          int // groups not delivered within LossTimeout
	Outstanding   int // groups submitted but not delivered at the end
}

// Records holds everything that callers and trainers observed in a run.
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
	newestVersions map[string]int64 // newest announced version by model
}

func (r *recorder) record(add func(*Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.Records)
}

// nextVersion reserves the next weight version of a model.
func (r *recorder) nextVersion(model string, reserved map[string]int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved[model] = max(reserved[model], r.newestVersions[model]) + 1
	return reserved[model]
}

// recordAnnouncement records a version that the system accepted.
func (r *recorder) recordAnnouncement(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestVersions[a.Model] = max(r.newestVersions[a.Model], a.Version)
	r.Announcements = append(r.Announcements, a)
}

func (r *recorder) newestVersion(model string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestVersions[model]
}
