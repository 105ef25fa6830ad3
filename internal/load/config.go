// Package load drives a running system over HTTP as callers and trainers do,
// and reports what they saw: latencies, idle time, staleness, duplicates,
// losses and refusals. It knows nothing of the system but its HTTP interface.
package load

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Config describes one run.
type Config struct {
	// Entries lists the HTTP addresses (IP:port) of the entry hosts. A caller
	// goes on at the next one after a connection error.
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
	// ProbeServices are asked for at every entry host each ProbeInterval, to
	// see which configuration is in force there.
	ProbeServices []string
	ProbeInterval time.Duration // 0 means 500 ms
	Duration      time.Duration
	// Stop ends Duration early when it is closed; nil never does.
	Stop <-chan struct{}
	// WarmUp is the first part of Duration, which latencies and idle times
	// leave out. Owners of engines that ignore fencing numbers send no orders
	// for a lease term and 1 s after a start. Records cover it nevertheless.
	WarmUp time.Duration
	// DrainTimeout is the time that requests in flight get after Duration; 0 means 30 s.
	DrainTimeout time.Duration
	Seed         uint64
}

// CallerMix is one population of callers of completions. Arrivals are a
// Poisson process and do not wait for answers (open loop).
type CallerMix struct {
	Name          string
	Entries       []string // entry hosts of these callers; empty means all
	Model         string
	Class         declare.Class
	RatePerSecond float64
	StreamShare   float64 // share of requests with "stream": true
	MaxTokens     int
	Timeout       time.Duration // of the whole request with repetitions; 0 means 30 s
	// AttemptTimeout ends an attempt, for example on a connection that went
	// silent, and sends the request again; 0 means no limit but Timeout.
	AttemptTimeout time.Duration
	// SharedPrefixes is the number of different prompt beginnings, and
	// PrefixBytes is their length. Zero means that prompts share nothing.
	SharedPrefixes int
	PrefixBytes    int
	// DuplicateShare is the share of requests that are sent a second time, with
	// the same ID, up to doubleDelay after the first and whatever became of it.
	// The entry hosts of the mix have to be in one data centre then, because
	// only the hosts of one data centre know each other's requests.
	DuplicateShare float64
	// PoisonShare is the share of requests whose prompt contains CrashPrompt.
	CrashPrompt      string
	CrashPromptShare float64
}

// ServiceMix is one population of callers of a plain service. With the method
// POST, each request has its own UUIDv7 key, for example the confirmation of a
// tray. With GET, each request has its own request ID at the end of its path,
// for example a proof page.
type ServiceMix struct {
	Name           string   // service
	Entries        []string // entry hosts of these callers; empty means all
	Method         string   // http.MethodPost or http.MethodGet; empty means POST
	Path           string   // below /v1/services/{name}
	Class          declare.Class
	RatePerSecond  float64
	Timeout        time.Duration // 0 means 30 s
	AttemptTimeout time.Duration // as for CallerMix
	// DuplicateShare is the share of calls that are sent a second time with the
	// same key; the entry hosts may be in different data centres.
	DuplicateShare float64
}

// TrainerPlan is one simulated trainer.
type TrainerPlan struct {
	Name string // as declared
	// Entries lists the entry hosts of the trainer's data centre; empty means
	// all. Each data centre has a home of its own for the trainer.
	Entries       []string
	GroupsPerStep int
	TrainTime     time.Duration // from the last sample of a step to the new version
	// StepsAhead is the number of later steps whose groups are submitted early.
	StepsAhead   int
	FirstVersion int64 // weight version that the engines start with
	PromptBytes  int   // length of the part of prompts that all groups of a step share
	PullMax      int   // groups per pull; 0 means 8
	PullWait     time.Duration
	// LossTimeout is the time after which a group that was accepted and not
	// delivered counts as lost and is submitted again; 0 means 60 s.
	LossTimeout time.Duration
}

const (
	defaultTimeout  = 30 * time.Second
	defaultFinish   = 30 * time.Second
	defaultPullWait = time.Second
	defaultPullMax  = 8
	defaultLoss     = 60 * time.Second
	defaultProbe    = 500 * time.Millisecond
	// answerGrace is how much longer than its deadline a caller waits for the
	// refusal that says so.
	answerGrace = 2 * time.Second
	// doubleDelay is long enough to meet requests that wait, run and have ended.
	doubleDelay = 300 * time.Millisecond
)

// withDefaults checks the configuration and fills in defaults.
func (c Config) withDefaults() (Config, error) {
	if len(c.Entries) == 0 {
		return c, eris.New("no entry host is named")
	}
	if c.Duration <= c.WarmUp {
		return c, eris.Errorf("the duration %s does not exceed the warm-up %s", c.Duration, c.WarmUp)
	}
	setDefault(&c.DrainTimeout, defaultFinish)
	setDefault(&c.ProbeInterval, defaultProbe)
	c.Callers = append([]CallerMix(nil), c.Callers...)
	for i := range c.Callers {
		setDefault(&c.Callers[i].Timeout, defaultTimeout)
		setDefault(&c.Callers[i].AttemptTimeout, c.Callers[i].Timeout+answerGrace)
	}
	c.Services = append([]ServiceMix(nil), c.Services...)
	for i := range c.Services {
		if c.Services[i].Method == "" {
			c.Services[i].Method = http.MethodPost
		}
		setDefault(&c.Services[i].Timeout, defaultTimeout)
		setDefault(&c.Services[i].AttemptTimeout, c.Services[i].Timeout+answerGrace)
	}
	c.Trainers = append([]TrainerPlan(nil), c.Trainers...)
	for i := range c.Trainers {
		plan := &c.Trainers[i]
		if c.Declared == nil || c.Declared.Trainers[plan.Name] == nil {
			return c, eris.Errorf("trainer %q is not declared", plan.Name)
		}
		if plan.GroupsPerStep <= 0 {
			return c, eris.Errorf("trainer %q has no groups per step", plan.Name)
		}
		setDefault(&plan.PullWait, defaultPullWait)
		setDefault(&plan.LossTimeout, defaultLoss)
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
