package trainers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline is first come first served, without surplus or hedges,
// waiting for the slowest sample.
const PolicyBaseline = "baseline"

// Config holds the settings of the role. Zero values mean the defaults.
type Config struct {
	// Policy is empty, or PolicyBaseline.
	Policy string
	// BackendToken is sent to scoring services.
	BackendToken string
	// BodyBytes bounds the body of a call.
	BodyBytes int64
	// MaxRunning, MaxGroups and MaxBytes bound one trainer, see sample.Config.
	MaxRunning int
	MaxGroups  int
	MaxBytes   int64
	// MaxPullWait bounds the wait of a pull.
	MaxPullWait time.Duration
	// SampleTimeout bounds the run of one sample.
	SampleTimeout time.Duration
	// ScoreTimeout bounds scoring of one group, with the wait for a free slot.
	ScoreTimeout time.Duration
	// ScoreConcurrency bounds one trainer's scoring calls at once.
	ScoreConcurrency int
	// TickInterval is the time between two passes over the tables.
	TickInterval time.Duration
}

const (
	defaultBodyBytes        = 1 << 20
	defaultMaxWait          = 30 * time.Second
	defaultSampleTimeout    = 20 * time.Minute // a step has 17 minutes
	defaultScoreTimeout     = 10 * time.Second
	defaultScoreConcurrency = 16
	defaultTickInterval     = 50 * time.Millisecond
	// forgetAfter is how long another member must be a trainer's home before
	// this host drops the trainer's groups. Membership may change its mind.
	forgetAfter = 10 * time.Second
)

func (c *Config) applyDefaults() {
	if c.BodyBytes <= 0 {
		c.BodyBytes = defaultBodyBytes
	}
	if c.MaxPullWait <= 0 {
		c.MaxPullWait = defaultMaxWait
	}
	if c.SampleTimeout <= 0 {
		c.SampleTimeout = defaultSampleTimeout
	}
	if c.ScoreTimeout <= 0 {
		c.ScoreTimeout = defaultScoreTimeout
	}
	if c.ScoreConcurrency <= 0 {
		c.ScoreConcurrency = defaultScoreConcurrency
	}
	if c.TickInterval <= 0 {
		c.TickInterval = defaultTickInterval
	}
}

// Controller is the trainer home role of one entry host.
type Controller struct {
	config    Config
	generator cluster.Generator
	members   cluster.Members
	configs   cluster.Configs
	versions  cluster.Versions
	inventory cluster.Inventory
	clients   peer.Clients
	recorder  *telemetry.Recorder
	scorers   *http.Client
	store     Refresher // nil asks other homes only

	started  time.Time
	ctx      context.Context // ends all samples and scoring
	stop     context.CancelFunc
	work     sync.WaitGroup
	draining chan struct{}

	mu         sync.Mutex
	home       *sample.Coordinator
	declared   map[string]declared
	version    int64 // of the configuration that declared was made from
	cancels    map[string]context.CancelFunc
	wakes      map[string]chan struct{}
	pulls      map[string]int64 // number of the newest pull by trainer
	awaySince  map[string]time.Duration
	slots      map[string]chan struct{} // scoring calls by trainer
	reported   map[string]sample.Counts
	learned    map[string]bool // trainers whose newest version was asked for
	nextScorer int
	drained    bool
}

var (
	_ http.Handler        = (*Controller)(nil)
	_ peer.TrainerHandler = (*Controller)(nil)
)

// New returns the role. Run has to be called for ticks.
func New(
	config Config,
	generator cluster.Generator,
	members cluster.Members,
	configs cluster.Configs,
	versions cluster.Versions,
	inventory cluster.Inventory,
	clients peer.Clients,
	recorder *telemetry.Recorder,
) *Controller {
	config.applyDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		config: config, generator: generator, members: members, configs: configs,
		versions: versions, inventory: inventory, clients: clients, recorder: recorder,
		scorers: &http.Client{Timeout: config.ScoreTimeout},
		started: time.Now(), ctx: ctx, stop: stop, draining: make(chan struct{}),
		home: sample.New(sample.Config{
			NewEpoch: newEpoch, MaxRunning: config.MaxRunning,
			MaxGroups: config.MaxGroups, MaxBytes: config.MaxBytes,
		}),
		declared:  make(map[string]declared),
		version:   -1,
		cancels:   make(map[string]context.CancelFunc),
		wakes:     make(map[string]chan struct{}),
		pulls:     make(map[string]int64),
		awaySince: make(map[string]time.Duration),
		slots:     make(map[string]chan struct{}),
		reported:  make(map[string]sample.Counts),
		learned:   make(map[string]bool),
	}
}

// newEpoch returns a random name; 64 bits make a repetition negligible.
func newEpoch() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run lets the tables' systems run at each tick until ctx ends, then cancels
// all samples and waits for them.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.config.TickInterval)
	defer ticker.Stop()
	defer c.work.Wait()
	defer c.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick()
		}
	}
}

// Drain gives up being home: complete samples are handed to the next homes,
// waiting pulls are told that the epoch changed, samples that run are
// cancelled, and later calls are forwarded to other members.
func (c *Controller) Drain() {
	c.mu.Lock()
	if c.drained {
		c.mu.Unlock()
		return
	}
	c.drained = true
	handovers := c.handovers()
	c.mu.Unlock()
	c.handOver(handovers)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.declared {
		c.home.ReleaseTrainer(name)
	}
	c.runSystems()
	close(c.draining)
	klog.InfoS("trainer home drained", "host", c.members.Self().ID)
}

func (c *Controller) now() time.Duration { return time.Since(c.started) }

func (c *Controller) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return
	}
	c.sync()
	for name := range c.declared {
		c.checkAway(name)
		c.report(name)
	}
	c.runSystems()
}

// checkAway hands over and later drops the groups of a trainer whose home is
// another member, for example one that came back after a restart.
func (c *Controller) checkAway(name string) {
	home, ok := c.homeOf(name)
	if !ok || home.ID == c.members.Self().ID || !c.home.HasState(name) {
		delete(c.awaySince, name)
		return
	}
	since, known := c.awaySince[name]
	if !known {
		c.awaySince[name] = c.now()
		if groups := c.home.Export(name); len(groups) > 0 {
			c.work.Go(func() { c.handOver([]handover{{trainer: name, home: home, groups: groups}}) })
		}
		return
	}
	if c.now()-since >= forgetAfter {
		delete(c.awaySince, name)
		c.home.ReleaseTrainer(name)
		c.recorder.Decision("trainer-forget", "", "trainer", name, "home", home.ID)
	}
}

// report adds what happened since the last report to the metrics.
func (c *Controller) report(name string) {
	now, before := c.home.Counts(name), c.reported[name]
	if now == before {
		return
	}
	c.reported[name] = now
	add := func(counter string, n int64) {
		if n > 0 {
			c.recorder.Add(counter, n, "trainer", name)
		}
	}
	add("trainer_samples_started_total", now.Started-before.Started)
	add("trainer_samples_hedged_total", now.Hedged-before.Hedged)
	add("trainer_samples_cancelled_total", now.Cancelled-before.Cancelled)
	add("trainer_samples_failed_total", now.Failed-before.Failed)
	add("trainer_samples_stale_total", now.Stale-before.Stale)
	add("trainer_samples_evicted_total", now.Evicted-before.Evicted)
	add("trainer_groups_refused_total", now.Refused-before.Refused)
	add("trainer_groups_delivered_total", now.Delivered-before.Delivered)
	add("trainer_groups_redelivered_total", now.Redelivered-before.Redelivered)
	add("trainer_epochs_total", now.Epochs-before.Epochs)
}
