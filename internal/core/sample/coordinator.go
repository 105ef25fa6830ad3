package sample

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the limits that apply to each trainer and the source of epochs.
type Config struct {
	// NewEpoch returns an epoch name that is unique across all coordinators.
	NewEpoch func() string
	// MaxRunning bounds the samples of one trainer that run at once, including
	// cancelled samples whose end has not been recorded yet.
	MaxRunning int
	// MaxGroups bounds the number of groups held for one trainer.
	MaxGroups int
	// MaxBytes bounds the memory for prompts and samples of one trainer. A
	// running group is charged for the longest samples that it may produce.
	MaxBytes int64
	// MaxAcknowledgedIDs bounds the retained IDs of acknowledged groups. At
	// this limit the next submission starts a new epoch.
	MaxAcknowledgedIDs int
	// ParkedTTL is the time after an epoch change within which a group must be
	// resubmitted before it is removed.
	ParkedTTL time.Duration
	// MaxPullBytes bounds the memory charged for the groups that one pull
	// returns. A pull with a ready group returns at least one.
	MaxPullBytes int64
}

// Default values of Config.
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

// Params holds the settings of one trainer.
type Params struct {
	Name      string
	GroupSize int
	// MaxTokens is the maximum number of tokens per sample.
	MaxTokens int
	// MaxStaleness is the maximum staleness at delivery, in versions.
	MaxStaleness int64
	// ScoringEnabled specifies whether complete groups are scored before
	// delivery.
	ScoringEnabled bool
	// ScoreRequired delays the delivery of a group until scoring succeeds.
	ScoreRequired bool
	Policy        Policy
}

// defaultMaxTokens applies to trainers that declare no maximum length.
const defaultMaxTokens = 4096

// tokenHeaderBytes is the memory of a token in addition to its text.
const tokenHeaderBytes = 16

// tokenBytes is the memory reserved per token: its header and 16 bytes of text.
// Tokens of language models are about 4 bytes long. A sample whose tokens are
// longer than 16 bytes on average may stop before MaxTokens.
const tokenBytes = tokenHeaderBytes + 16

// groupBytes is the memory charged for the group record itself.
const groupBytes = 256

// Coordinator holds the state of all trainers that one host coordinates. It is
// not safe for concurrent use.
type Coordinator struct {
	config   Config
	trainers *table.Table[string, trainer]
	samples  map[string]*sample // running samples by ID
	actions  []Action
}

// New returns a coordinator without trainers.
func New(config Config) *Coordinator {
	config.applyDefaults()
	return &Coordinator{
		config:   config,
		trainers: table.New[string, trainer](),
		samples:  make(map[string]*sample),
	}
}

// trainer is the state of one trainer.
type trainer struct {
	params Params
	// maxSampleBytes bounds the memory of one sample.
	maxSampleBytes int64

	epoch           string
	previousEpochs  []string        // older epochs, oldest first
	acknowledgedSeq int64           // last sequence number acknowledged by the trainer
	offered         []*group        // groups delivered but not acknowledged, in sequence order
	acknowledgedIDs map[string]bool // groups acknowledged under the epoch

	groups       *table.Table[string, group]
	submissions  int64           // number of groups submitted so far
	readyCount   int64           // number of groups that became ready so far
	chargedBytes int64           // sum of the groups' chargedBytes
	running      int             // samples whose end is not recorded yet, including cancelled ones
	startedCount int64           // number of samples started so far
	cancelling   map[string]bool // IDs of cancelled samples whose end is not recorded yet

	newestVersion   int64
	recentDurations durationHistory
	cadence         versionCadence // intervals between weight versions
	progress        stepProgress
	counts          Counts
}

// phase is the processing state of a group.
type phase int

const (
	collecting phase = iota // samples are still needed
	scoring                 // complete, scores are pending
	ready                   // may be delivered
	offered                 // delivered under a sequence number, not acknowledged
)

// group is the state of one group.
type group struct {
	id, prompt      string
	step            int64
	submissionOrder int64 // position in the trainer's order of submission
	readyOrder      int64
	required        int // number of samples of a complete group
	phase           phase
	parked          bool // belongs to an earlier epoch and was not resubmitted
	parkedAt        time.Duration
	memoryReserved  bool // memory is reserved for reservedSamples samples
	reservedSamples int
	samples         []*sample
	scores          []float64
	unscored        bool
	scoringAttempt  int64 // number of the last scoring attempt; results of other attempts are ignored
	scoringInFlight bool
	retryAt         time.Duration
	failures        int    // consecutive failures, for the backoff
	refusalRounds   int    // rounds in which samples were refused
	refusalReason   string // why the group is delivered without samples, if it is
	chargedBytes    int64
}

// sample is one execution that produces a sample of a group.
type sample struct {
	id            string
	trainer       *trainer
	group         *group
	started       time.Duration
	replica       string
	isHedge       bool // started as a duplicate of a straggler
	hasHedge      bool // a hedge was started for this sample
	tokens        []string
	versions      []int64 // in order of first appearance
	lowestVersion int64
	bytes         int64
	finishReason  string // empty while the sample runs
}

// Declare sets the declared trainers. The state of trainers that are no longer
// declared is removed and their samples are cancelled.
func (c *Coordinator) Declare(all []Params) {
	declared := make(map[string]bool, len(all))
	for _, p := range all {
		declared[p.Name] = true
		c.declareTrainer(p)
	}
	for _, name := range c.trainers.Keys() {
		if !declared[name] {
			c.ReleaseTrainer(name)
			c.trainers.Delete(name)
		}
	}
}

func (c *Coordinator) declareTrainer(p Params) {
	p.GroupSize = max(p.GroupSize, 1)
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	t := c.trainers.Get(p.Name)
	if t == nil {
		t = c.trainers.Put(p.Name, newTrainer(p))
	} else if t.params == p {
		return
	}
	t.params = p
	// A complete group uses at most half of the memory, so that one group
	// always fits.
	share := c.config.MaxBytes / int64(2*(p.GroupSize+p.Policy.Surplus))
	t.maxSampleBytes = min(int64(p.MaxTokens)*tokenBytes, share)
	c.dropStaleSamples(t)
}

func newTrainer(p Params) trainer {
	return trainer{
		params:          p,
		acknowledgedIDs: make(map[string]bool),
		groups:          table.New[string, group](),
		cancelling:      make(map[string]bool),
	}
}

// ReleaseTrainer removes the state of a trainer that this host no longer
// coordinates. A later call of the trainer starts a new epoch.
func (c *Coordinator) ReleaseTrainer(name string) {
	t := c.trainers.Get(name)
	if t == nil || t.epoch == "" {
		return
	}
	t.groups.Each(func(_ string, g *group) bool {
		c.cancelRunning(t, g)
		return true
	})
	counts, newest, running, cancelling, started := t.counts, t.newestVersion, t.running, t.cancelling, t.startedCount
	sampleBytes := t.maxSampleBytes
	*t = newTrainer(t.params)
	t.counts, t.newestVersion, t.running, t.cancelling, t.startedCount = counts, newest, running, cancelling, started
	t.maxSampleBytes = sampleBytes
	c.emit(RetryPull{Trainer: name})
}

// HasState reports whether the coordinator holds state for the trainer.
func (c *Coordinator) HasState(name string) bool {
	t := c.trainers.Get(name)
	return t != nil && t.epoch != ""
}

// Run expires parked groups, starts scoring, samples and hedges, and returns
// the actions since the last call.
func (c *Coordinator) Run(now time.Duration) []Action {
	c.trainers.Each(func(_ string, t *trainer) bool {
		c.expireParked(t, now)
		c.startScoring(t, now)
		c.startSamples(t, now)
		c.startHedges(t, now)
		return true
	})
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

// updateCharge recomputes the memory charged for a group.
func (t *trainer) updateCharge(g *group) {
	cost := int64(groupBytes + len(g.id) + len(g.prompt))
	if g.memoryReserved {
		cost += int64(max(g.reservedSamples, len(g.samples))) * t.maxSampleBytes
	} else {
		for _, s := range g.samples {
			cost += s.bytes
		}
	}
	t.chargedBytes += cost - g.chargedBytes
	g.chargedBytes = cost
}

func (t *trainer) removeGroup(g *group) {
	t.chargedBytes -= g.chargedBytes
	t.groups.Delete(g.id)
}
