package sample

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the bounds that apply to each trainer and the source of epochs.
type Config struct {
	// NewEpoch returns a name that no home ever returned before.
	NewEpoch func() string
	// MaxRunning bounds the samples of one trainer that run at once, including
	// cancelled samples whose end was not reported yet.
	MaxRunning int
	// MaxGroups bounds the groups held for one trainer.
	MaxGroups int
	// MaxBytes bounds the memory for prompts and samples of one trainer. A
	// group that runs counts with the longest samples it may produce.
	MaxBytes int64
	// MaxAcknowledgedIDs bounds the remembered IDs of acknowledged groups. A new epoch
	// starts when there are more.
	MaxAcknowledgedIDs int
	// ParkedTTL is how long a group is kept after an epoch change without being
	// submitted again.
	ParkedTTL time.Duration
	// MaxPullBytes bounds the tokens of one pull's answer in bytes. An answer holds
	// at least one group.
	MaxPullBytes int64
}

// Defaults of Config.
const (
	DefaultMaxRunning         = 1024
	DefaultMaxGroups          = 4096
	DefaultMaxBytes           = 256 << 20
	DefaultMaxAcknowledgedIDs = 65536
	DefaultParkedTTL          = 30 * time.Second
	DefaultMaxPullBytes       = 8 << 20
)

func (c *Config) applyDefaults() {
	if c.MaxRunning <= 0 {
		c.MaxRunning = DefaultMaxRunning
	}
	if c.MaxGroups <= 0 {
		c.MaxGroups = DefaultMaxGroups
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxAcknowledgedIDs <= 0 {
		c.MaxAcknowledgedIDs = DefaultMaxAcknowledgedIDs
	}
	if c.ParkedTTL <= 0 {
		c.ParkedTTL = DefaultParkedTTL
	}
	if c.MaxPullBytes <= 0 {
		c.MaxPullBytes = DefaultMaxPullBytes
	}
}

// Params describes one trainer.
type Params struct {
	Name      string
	GroupSize int
	// MaxTokens is the length limit of a sample.
	MaxTokens int
	// MaxStaleness is the largest allowed staleness at delivery, in versions.
	MaxStaleness int64
	// ScoringEnabled says that complete groups are scored before delivery.
	ScoringEnabled bool
	// ScoreRequired holds a group back until scoring succeeded.
	ScoreRequired bool
	Policy        Policy
}

// defaultMaxTokens limits samples of trainers that declare no length.
const defaultMaxTokens = 4096

// tokenHeaderBytes is the memory of a token beside its text.
const tokenHeaderBytes = 16

// tokenBytes is the memory reserved per token: its header and 16 bytes. Tokens
// of language models are about 4 bytes long; an answer of tokens that are
// longer than 16 bytes on average stops before its length limit.
const tokenBytes = tokenHeaderBytes + 16

// groupBytes is the memory counted for a group's own row.
const groupBytes = 256

// Coordinator is the state of all trainers that one host is home to. It is not safe
// for concurrent use.
type Coordinator struct {
	config   Config
	trainers *table.Table[string, trainer]
	samples  map[string]*sample // running samples by ID
	actions  []Action
}

// New returns a home without trainers.
func New(config Config) *Coordinator {
	config.applyDefaults()
	return &Coordinator{
		config:   config,
		trainers: table.New[string, trainer](),
		samples:  make(map[string]*sample),
	}
}

// trainer is the row of one trainer.
type trainer struct {
	params Params
	// sampleBytes is the most memory that one sample may take.
	sampleBytes int64

	epoch        string
	predecessors []string // epochs known when this one started
	acknowledged int64    // sequence number that the trainer confirmed
	offered      []*group // groups given and not confirmed, in sequence order
	done         map[string]bool

	groups   *table.Table[string, group]
	orders   int64 // submissions counted
	ready    int64 // groups that became ready counted
	bytes    int64 // sum of the groups' costs
	running  int   // samples whose end was not reported, cancelled ones included
	started  int64 // samples counted
	stopping map[string]bool

	newest    int64
	durations durations
	pace      pace // of weight versions
	steps     stepPace
	counts    Counts
}

// phase is the state of a group.
type phase int

const (
	collecting phase = iota // samples are missing
	scoring                 // all samples are there, scores are missing
	ready                   // may be given to the trainer
	offered                 // was given with a sequence number
)

// group is the row of one group.
type group struct {
	id, prompt string
	step       int64
	order      int64 // position among the trainer's submissions
	readyOrder int64
	need       int // samples of a whole group
	phase      phase
	parked     bool // belongs to an earlier epoch and was not submitted again
	parkedAt   time.Duration
	active     bool // has memory reserved for slots samples
	slots      int
	samples    []*sample
	scores     []float64
	unscored   bool
	attempt    int64 // scoring attempts counted
	scoreBusy  bool
	retryAt    time.Duration
	failures   int
	refusals   int    // rounds of samples that were refused for good
	refused    string // reason for which the group is given up
	cost       int64
}

// sample is one attempt at a sample of a group.
type sample struct {
	id       string
	trainer  *trainer
	group    *group
	started  time.Duration
	replica  string
	hedge    bool // started because another sample was late
	hedged   bool // a hedge was started for this one
	tokens   []string
	versions []int64 // in order of first appearance
	lowest   int64
	bytes    int64
	finish   string // empty while it runs
}

// Declare sets the trainers. Trainers that are no longer declared are
// forgotten and their samples cancelled.
func (h *Coordinator) Declare(all []Params) {
	declared := make(map[string]bool, len(all))
	for _, p := range all {
		declared[p.Name] = true
		h.declare(p)
	}
	for _, name := range h.trainers.Keys() {
		if !declared[name] {
			h.ReleaseTrainer(name)
			h.trainers.Delete(name)
		}
	}
}

func (h *Coordinator) declare(p Params) {
	p.GroupSize = max(p.GroupSize, 1)
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	t := h.trainers.Get(p.Name)
	if t == nil {
		t = h.trainers.Put(p.Name, newTrainer(p))
	} else if t.params == p {
		return
	}
	t.params = p
	// A whole group takes at most half of the memory, so that one always fits.
	share := h.config.MaxBytes / int64(2*(p.GroupSize+p.Policy.Surplus))
	t.sampleBytes = min(int64(p.MaxTokens)*tokenBytes, share)
	h.dropStale(t)
}

func newTrainer(p Params) trainer {
	return trainer{
		params:   p,
		done:     make(map[string]bool),
		groups:   table.New[string, group](),
		stopping: make(map[string]bool),
	}
}

// ReleaseTrainer drops everything of a trainer that this host is no longer home to.
// Its next call, if one comes, starts a new epoch.
func (h *Coordinator) ReleaseTrainer(name string) {
	t := h.trainers.Get(name)
	if t == nil || t.epoch == "" {
		return
	}
	t.groups.Each(func(_ string, g *group) bool {
		h.cancelRunning(t, g)
		return true
	})
	counts, newest, running, stopping, started := t.counts, t.newest, t.running, t.stopping, t.started
	sampleBytes := t.sampleBytes
	*t = newTrainer(t.params)
	t.counts, t.newest, t.running, t.stopping, t.started = counts, newest, running, stopping, started
	t.sampleBytes = sampleBytes
	h.act(RetryPull{Trainer: name})
}

// HasState tells whether anything is kept for the trainer.
func (h *Coordinator) HasState(name string) bool {
	t := h.trainers.Get(name)
	return t != nil && t.epoch != ""
}

// Run lets every system pass over the tables and returns the actions since
// the last call.
func (h *Coordinator) Run(now time.Duration) []Action {
	h.trainers.Each(func(_ string, t *trainer) bool {
		h.expireParked(t, now)
		h.score(t, now)
		h.start(t, now)
		h.hedge(t, now)
		return true
	})
	actions := h.actions
	h.actions = nil
	return actions
}

func (h *Coordinator) act(a Action) { h.actions = append(h.actions, a) }

// recount updates the memory that a group counts for.
func (t *trainer) recount(g *group) {
	cost := int64(groupBytes + len(g.id) + len(g.prompt))
	if g.active {
		cost += int64(max(g.slots, len(g.samples))) * t.sampleBytes
	} else {
		for _, s := range g.samples {
			cost += s.bytes
		}
	}
	t.bytes += cost - g.cost
	g.cost = cost
}

func (t *trainer) remove(g *group) {
	t.bytes -= g.cost
	t.groups.Delete(g.id)
}
