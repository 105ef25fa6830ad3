package orders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const (
	defaultLeaseTerm     = 6 * time.Second
	defaultStateInterval = time.Second
	defaultViewRetention = 24 * time.Hour
	// snapshotInterval is the longest time until a change of membership is
	// reflected in the ownership of replicas.
	snapshotInterval = 100 * time.Millisecond
)

// Admin reads the state of engines and sends orders to them.
type Admin interface {
	State(ctx context.Context, addr string) (engine.State, error)
	SendOrder(ctx context.Context, addr string, order engine.Order) error
}

// Config holds the parameters of a Controller. Zero values mean defaults.
type Config struct {
	LeaseTerm time.Duration
	// StateInterval is the time between two state reads of an owned replica.
	StateInterval time.Duration
	// ViewRetention is how long the log retains records of the view stream.
	ViewRetention time.Duration
	BackendToken  string // authenticates this host to the engines
	// Demand returns the load of each model in this data centre, as the number
	// of replicas that it could fill, for example 3.5. If Demand is nil or a
	// model is missing in its result, the declared numbers of replicas apply.
	Demand func() map[string]float64
	// Admin replaces the HTTP client in tests.
	Admin Admin
}

// Controller controls the engines of the replicas that this host owns. It
// implements cluster.Ownership and cluster.ReplicaStates and is safe for
// concurrent use.
type Controller struct {
	cfg       Config
	log       platform.Log
	members   cluster.Members
	configs   cluster.Configs
	versions  cluster.Versions
	inventory cluster.Inventory
	recorder  *telemetry.Recorder
	admin     Admin
	self      cluster.Member

	mu             sync.Mutex // guards the fields below
	authorizer     lease.Authorizer
	proposer       *lease.Proposer
	planner        *place.Planner
	polls          map[string]*poll
	appendInFlight bool

	snapshot atomic.Pointer[snapshot]
}

var (
	_ cluster.Ownership     = (*Controller)(nil)
	_ cluster.ReplicaStates = (*Controller)(nil)
)

// New returns a controller. It derives ownership from membership until Run has
// read the view stream.
func New(cfg Config, log platform.Log, members cluster.Members, configs cluster.Configs,
	versions cluster.Versions, inventory cluster.Inventory, recorder *telemetry.Recorder) *Controller {
	if cfg.LeaseTerm <= 0 {
		cfg.LeaseTerm = defaultLeaseTerm
	}
	if cfg.StateInterval <= 0 {
		cfg.StateInterval = defaultStateInterval
	}
	if cfg.ViewRetention <= 0 {
		cfg.ViewRetention = defaultViewRetention
	}
	if cfg.Admin == nil {
		cfg.Admin = engine.NewAdminClient(cfg.BackendToken)
	}
	self := members.Self()
	c := &Controller{
		cfg: cfg, log: log, members: members, configs: configs, versions: versions, inventory: inventory,
		recorder: recorder, admin: cfg.Admin, self: self,
		authorizer: lease.Authorizer{Views: lease.NewViewTable(), Self: self.ID, LeaseTerm: cfg.LeaseTerm},
		proposer:   lease.NewProposer(self.ID, self.DataCentre, cfg.ViewRetention),
		planner:    place.NewPlanner(self.DataCentre),
		polls:      make(map[string]*poll),
	}
	c.refresh()
	return c
}

// Run follows the view stream and controls the owned replicas until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followViews(ctx) })
	group.Go(func() error { return c.proposeViews(ctx) })
	group.Go(func() error { return c.runControlLoop(ctx) })
	group.Go(func() error {
		return every(ctx, snapshotInterval, func(time.Time) { c.refresh() })
	})
	return group.Wait()
}

// every calls f once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f(time.Now())
		}
	}
}

func (c *Controller) count(name string, labels ...string) {
	if c.recorder != nil {
		c.recorder.Count(name, labels...)
	}
}

func (c *Controller) decision(keysAndValues ...any) {
	if c.recorder != nil {
		c.recorder.RecordDecision("place", "", keysAndValues...)
	}
}
