// Package load generates load on a running system over its HTTP interface, as
// callers and trainers do, and reports what they observed: latencies, idle time,
// staleness, duplicates, losses and refusals. It uses no other interface.
package load

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Config describes one load run.
type Config struct {
	// Entries lists the HTTP addresses (IP:port) of the entry hosts. After a
	// connection error, a caller retries at the next one.
	Entries       []string
	CallerToken   string
	TrainerTokens map[string]string // by trainer name
	WeightsAddr   string            // weight store; empty means that no version is stored
	WeightsToken  string
	// Declared holds the models and trainers that the run refers to.
	Declared *declare.Set
	Callers  []CallerMix
	Services []ServiceMix
	Trainers []TrainerPlan
	// ProbeServices are requested periodically from every entry host, to observe
	// which configuration is active there.
	ProbeServices []string
	ProbeInterval time.Duration // pause between two rounds of probes; 0 means 500 ms
	Duration      time.Duration
	// Stop ends the load before Duration when it is closed; may be nil.
	Stop <-chan struct{}
	// WarmUp is the first part of Duration, which is excluded from latencies and
	// idle times: owners of engines that ignore fencing numbers send no orders
	// until a lease term and 1 s after their start. Records include it.
	WarmUp time.Duration
	// DrainTimeout is how long requests in flight may continue after Duration; 0
	// means 30 s.
	DrainTimeout time.Duration
	Seed         uint64
}

// CallerMix is one population of callers that request completions. Arrivals are
// a Poisson process and do not wait for responses (open loop).
type CallerMix struct {
	Name          string
	Entries       []string // entry hosts of these callers; empty means all
	Model         string
	Class         declare.Class
	RatePerSecond float64
	StreamShare   float64 // share of requests with "stream": true
	MaxTokens     int
	Timeout       time.Duration // of a request with all its attempts; 0 means 30 s
	// AttemptTimeout bounds one attempt, for example on a connection that no
	// longer delivers data, before the request is retried; 0 means no limit but
	// Timeout.
	AttemptTimeout time.Duration
	// SharedPrefixes is the number of different prompt prefixes, and PrefixBytes
	// is their length. Zero means that prompts share no prefix.
	SharedPrefixes int
	PrefixBytes    int
	// DuplicateShare is the share of requests that are sent a second time with
	// the same ID, up to maxDuplicateDelay after the first and regardless of its
	// result. If it is not 0, the entry hosts of the mix must be in one data
	// centre, because requests are deduplicated only within a data centre.
	DuplicateShare float64
	// CrashPromptShare is the share of requests whose prompt contains CrashPrompt,
	// a text that crashes an engine.
	CrashPrompt      string
	CrashPromptShare float64
}

// ServiceMix is one population of callers of a plain service. With the method
// POST, each request has its own UUIDv7 idempotency key. With GET, each request
// has its own request ID, which is also the last element of its path.
type ServiceMix struct {
	Name           string   // service
	Entries        []string // entry hosts of these callers; empty means all
	Method         string   // http.MethodPost or http.MethodGet; empty means POST
	Path           string   // below /v1/services/{name}
	Class          declare.Class
	RatePerSecond  float64
	Timeout        time.Duration // 0 means 30 s
	AttemptTimeout time.Duration // see CallerMix.AttemptTimeout
	// DuplicateShare is the share of calls that are sent a second time with the
	// same key; the entry hosts may be in different data centres.
	DuplicateShare float64
}

// TrainerPlan is one simulated trainer.
type TrainerPlan struct {
	Name string // as declared
	// Entries lists the entry hosts of the trainer's data centre; empty means
	// all. Each data centre has its own coordinator for the trainer.
	Entries       []string
	GroupsPerStep int
	TrainTime     time.Duration // between the last sample of a step and the announcement of the new version
	// StepsAhead is the number of steps after the current one whose groups are
	// submitted early.
	StepsAhead   int
	FirstVersion int64 // weight version that the engines start with
	PromptBytes  int   // minimum length of the prompt prefix that all groups of a step share
	PullMax      int   // groups per pull; 0 means 8
	PullWait     time.Duration
	// LossTimeout is the time after which a group that was accepted but not
	// delivered counts as lost and is submitted again; 0 means 60 s.
	LossTimeout time.Duration
}

const (
	defaultTimeout       = 30 * time.Second
	defaultDrainTimeout  = 30 * time.Second
	defaultPullWait      = time.Second
	defaultPullMax       = 8
	defaultLossTimeout   = 60 * time.Second
	defaultProbeInterval = 500 * time.Millisecond
	// deadlineGrace is the time after its deadline for which a caller still waits
	// for the refusal that reports it.
	deadlineGrace = 2 * time.Second
	// maxDuplicateDelay is long enough that duplicates arrive while the first
	// request is queued, while it runs and after it ended.
	maxDuplicateDelay = 300 * time.Millisecond
)

// withDefaults validates the configuration and sets defaults.
func (c Config) withDefaults() (Config, error) {
	if len(c.Entries) == 0 {
		return c, eris.New("no entry hosts configured")
	}
	if c.Duration <= c.WarmUp {
		return c, eris.Errorf("duration %s must exceed warm-up %s", c.Duration, c.WarmUp)
	}
	setDefault(&c.DrainTimeout, defaultDrainTimeout)
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	c.Callers = append([]CallerMix(nil), c.Callers...)
	for i := range c.Callers {
		setDefault(&c.Callers[i].Timeout, defaultTimeout)
		setDefault(&c.Callers[i].AttemptTimeout, c.Callers[i].Timeout+deadlineGrace)
	}
	c.Services = append([]ServiceMix(nil), c.Services...)
	for i := range c.Services {
		if c.Services[i].Method == "" {
			c.Services[i].Method = http.MethodPost
		}
		setDefault(&c.Services[i].Timeout, defaultTimeout)
		setDefault(&c.Services[i].AttemptTimeout, c.Services[i].Timeout+deadlineGrace)
	}
	c.Trainers = append([]TrainerPlan(nil), c.Trainers...)
	for i := range c.Trainers {
		plan := &c.Trainers[i]
		if c.Declared == nil || c.Declared.Trainers[plan.Name] == nil {
			return c, eris.Errorf("trainer %q is not declared", plan.Name)
		}
		if plan.GroupsPerStep <= 0 {
			return c, eris.Errorf("trainer %q: groups per step must be positive", plan.Name)
		}
		setDefault(&plan.PullWait, defaultPullWait)
		setDefault(&plan.LossTimeout, defaultLossTimeout)
		if plan.PullMax == 0 {
			plan.PullMax = defaultPullMax
		}
	}
	return c, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
