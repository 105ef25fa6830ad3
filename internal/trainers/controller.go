package trainers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/httpclient"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/netdial"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline selects a policy for comparison: first-in-first-out order, no
// surplus samples, no hedges, and groups that wait for their slowest sample.
const PolicyBaseline = "baseline"

// Config holds the controller's settings. Zero values select the defaults.
type Config struct {
	// Policy is PolicyBaseline, or empty to use the policies of the declarations.
	Policy string
	// BackendToken is sent to scoring services.
	BackendToken string
	// MaxBodyBytes is the maximum size of the body of a call, and of the response of a
	// scoring service.
	MaxBodyBytes int64
	// MaxRunning, MaxGroups and MaxBytes are limits for each trainer, see
	// sample.Config.
	MaxRunning int
	MaxGroups  int
	MaxBytes   int64
	// MaxPullWait is the maximum time that a pull waits for a group.
	MaxPullWait time.Duration
	// SampleTimeout bounds the generation of one sample.
	SampleTimeout time.Duration
	// ScoreTimeout bounds the scoring of one group, including the wait for a free
	// slot.
	ScoreTimeout time.Duration
	// ScoreConcurrency bounds the concurrent scoring calls of one trainer.
	ScoreConcurrency int
	// TickInterval is the interval at which the coordinator runs when no call or
	// sample triggers it.
	TickInterval time.Duration
}

const (
	defaultMaxBodyBytes     = 1 << 20
	defaultMaxPullWait      = 30 * time.Second
	defaultSampleTimeout    = 20 * time.Minute // above the 17 minutes that a training step may take
	defaultScoreTimeout     = 10 * time.Second
	defaultScoreConcurrency = 16
	defaultTickInterval     = 50 * time.Millisecond
	// releaseDelay is the time for which another member must be a trainer's
	// coordinator before this host releases the trainer's groups. The membership
	// may change back before that.
	releaseDelay = 10 * time.Second
)

func (c *Config) applyDefaults() {
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.MaxPullWait <= 0 {
		c.MaxPullWait = defaultMaxPullWait
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

// Controller serves trainers' calls on one entry host and coordinates the
// trainers that are assigned to it.
type Controller struct {
	config    Config
	generator cluster.Generator
	members   cluster.Members
	configs   cluster.Configs
	versions  cluster.Versions
	inventory cluster.Inventory
	clients   peer.Clients
	limits    *limits.Controller
	recorder  *telemetry.Recorder
	scorers   *http.Client
	refuser   cluster.Refuser
	gate      *access.Gate
	refresher Refresher // if nil, versions come from other coordinators only

	started  time.Time
	ctx      context.Context // cancels all samples and scoring calls when done
	stop     context.CancelFunc
	work     sync.WaitGroup
	draining chan struct{}

	mu             sync.Mutex
	coordinator    *sample.Coordinator
	specs          map[string]trainerSpec
	specsVersion   int64                         // of the configuration that specs was built from
	cancelSample   map[string]context.CancelFunc // by sample ID
	pullSignals    map[string]chan struct{}      // closed when waiting pulls should retry, by trainer
	latestPull     map[string]int64              // number of the latest pull, by trainer
	replacedSince  map[string]time.Duration      // when another member became the coordinator, by trainer
	scoringSlots   map[string]chan struct{}      // semaphore of scoring calls, by trainer
	reportedCounts map[string]sample.Counts
	versionFetched map[string]bool // trainers whose newest version was fetched
	scorerRotation int             // incremented for each group to score, to rotate over backend servers
	drained        bool
}

var (
	_ http.Handler        = (*Controller)(nil)
	_ peer.TrainerHandler = (*Controller)(nil)
)

// RefuseBy sets what refuses requests that this host may not take any more. It must be
// called before the first request.
func (c *Controller) RefuseBy(r cluster.Refuser) { c.refuser = r }

// AdmitBy sets what admits the requests of callers. It must be called before the first
// request; without it, all are admitted.
func (c *Controller) AdmitBy(gate *access.Gate) { c.gate = gate }

// New returns a controller. Run must be called for periodic work.
func New(
	config Config,
	generator cluster.Generator,
	members cluster.Members,
	configs cluster.Configs,
	versions cluster.Versions,
	inventory cluster.Inventory,
	clients peer.Clients,
	limits *limits.Controller,
	recorder *telemetry.Recorder,
) *Controller {
	config.applyDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		config: config, generator: generator, members: members, configs: configs,
		versions: versions, inventory: inventory, clients: clients, limits: limits, recorder: recorder,
		scorers: newScorerClient(config.ScoreTimeout),
		started: time.Now(), ctx: ctx, stop: stop, draining: make(chan struct{}),
		coordinator: sample.New(sample.Config{
			NewEpoch: newEpoch, MaxRunning: config.MaxRunning,
			MaxGroups: config.MaxGroups, MaxBytes: config.MaxBytes,
		}),
		specs:          make(map[string]trainerSpec),
		specsVersion:   -1,
		cancelSample:   make(map[string]context.CancelFunc),
		pullSignals:    make(map[string]chan struct{}),
		latestPull:     make(map[string]int64),
		replacedSince:  make(map[string]time.Duration),
		scoringSlots:   make(map[string]chan struct{}),
		reportedCounts: make(map[string]sample.Counts),
		versionFetched: make(map[string]bool),
	}
}

// newScorerClient returns a client that uses each connection for one call: the pool may
// take bytes after the scores of one group for those of another.
func newScorerClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: httpclient.Transport{Transport: &http.Transport{
		DialContext: netdial.DiscardUnsent(new(net.Dialer).DialContext), DisableKeepAlives: true,
	}}}
}

// newEpoch returns a random epoch name. With 64 bits the probability of a
// collision is negligible.
func newEpoch() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run runs the coordinator at each tick until ctx ends, then cancels all samples
// and waits until they have ended.
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

// Drain ends this host's work as a coordinator: it hands over complete samples to
// the next coordinators, ends waiting pulls with an epoch change, cancels running
// samples, and forwards later calls to other members.
func (c *Controller) Drain() {
	c.mu.Lock()
	if c.drained {
		c.mu.Unlock()
		return
	}
	c.drained = true
	handovers := c.pendingHandovers()
	c.mu.Unlock()
	c.handOver(handovers)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.specs {
		c.coordinator.ReleaseTrainer(name)
	}
	c.runCoordinator()
	close(c.draining)
	klog.InfoS("trainer coordinator drained", "host", c.members.Self().ID)
}

func (c *Controller) now() time.Duration { return time.Since(c.started) }

func (c *Controller) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return
	}
	c.sync()
	for name := range c.specs {
		c.handOverIfReplaced(name)
		c.reportMetrics(name)
	}
	c.runCoordinator()
}

// handOverIfReplaced hands over the groups of a trainer whose coordinator is now
// another member, for example one that has restarted, and releases them after
// releaseDelay.
func (c *Controller) handOverIfReplaced(name string) {
	next, ok := c.coordinatorOf(name)
	if !ok || next.ID == c.members.Self().ID || !c.coordinator.HasState(name) {
		delete(c.replacedSince, name)
		return
	}
	since, known := c.replacedSince[name]
	if !known {
		c.replacedSince[name] = c.now()
		if groups := c.coordinator.Export(name); len(groups) > 0 {
			c.work.Go(func() { c.handOver([]handover{{trainer: name, coordinator: next, groups: groups}}) })
		}
		return
	}
	if c.now()-since >= releaseDelay {
		delete(c.replacedSince, name)
		c.coordinator.ReleaseTrainer(name)
		c.recorder.RecordDecision("trainer-forget", "", "trainer", name, "home", next.ID)
	}
}

// reportMetrics adds the changes of the trainer's counts since the last call to
// the metrics.
func (c *Controller) reportMetrics(name string) {
	now, before := c.coordinator.Counts(name), c.reportedCounts[name]
	if now == before {
		return
	}
	c.reportedCounts[name] = now
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
