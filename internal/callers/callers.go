// Package callers is the router role of an entry host: it holds the callers'
// connections, chooses replicas, resumes broken streams, and keeps the table of
// attempts of the requests that the host is home to.
//
// Each chunk index of a generation is delivered once and in order. A refusal
// says "not-run" only when no attempt under its request ID reached a backend
// server, as far as the request's home can tell.
package callers

import (
	"math"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline chooses replicas round robin and repeats failed requests a
// fixed number of times without a budget. It exists for comparisons.
const PolicyBaseline = owner.PolicyBaseline

// defaultReplicaPatience covers the start of a host and one weight swap.
const defaultReplicaPatience = 3 * time.Second

// Config holds the parameters of a Controller. Zero values mean defaults.
type Config struct {
	Policy string
	// ProgressTimeout is the longest gap between two chunks from an owner once
	// the first one came.
	ProgressTimeout time.Duration
	// RequestTimeout applies to callers that name none.
	RequestTimeout time.Duration
	// ReplicaWaitTimeout is how long a request waits while no replica can serve;
	// the baseline policy does not wait.
	ReplicaWaitTimeout time.Duration
	BodyBytes          int64
	RetryShare         float64
	RetryReserve       int
	Coordinator        flight.CoordinatorConfig
	Weights            route.Weights
}

func (c Config) withDefaults() Config {
	if c.ProgressTimeout <= 0 {
		c.ProgressTimeout = 5 * time.Second
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = time.Minute
	}
	if c.ReplicaWaitTimeout <= 0 && c.Policy != PolicyBaseline {
		c.ReplicaWaitTimeout = defaultReplicaPatience
	}
	if c.BodyBytes <= 0 {
		c.BodyBytes = 1 << 20
	}
	if c.Policy == PolicyBaseline {
		c.RetryShare, c.RetryReserve = 0, math.MaxInt32
	}
	if c.RetryShare == 0 && c.RetryReserve == 0 {
		c.RetryShare, c.RetryReserve = 0.10, 3
	}
	if c.Coordinator == (flight.CoordinatorConfig{}) {
		c.Coordinator = flight.CoordinatorDefaults()
	}
	if c.Weights == (route.Weights{}) {
		c.Weights = route.DefaultWeights()
	}
	return c
}

// Controller is the router role of this host. It is safe for concurrent use.
type Controller struct {
	config    Config
	members   cluster.Members
	ownership cluster.Ownership
	configs   cluster.Configs
	versions  cluster.Versions
	inventory cluster.Inventory
	owner     *owner.Controller
	peers     peer.Clients
	recorder  *telemetry.Recorder

	mu       sync.Mutex
	budget   *flight.Budget
	rotation route.RoundRobin
	pending  pending

	homeMu  sync.Mutex
	home    *flight.Coordinator
	claims  map[string]claimant
	started time.Time
	// memberSets holds the live members of the data centre over the retention.
	memberSets []memberSet
}

var (
	_ cluster.Generator = (*Controller)(nil)
	_ peer.ClaimHandler = (*Controller)(nil)
)

// New returns the router role of this host.
func New(config Config, members cluster.Members, ownership cluster.Ownership, configs cluster.Configs,
	versions cluster.Versions, inventory cluster.Inventory, own *owner.Controller, peers peer.Clients,
	recorder *telemetry.Recorder) *Controller {
	config = config.withDefaults()
	return &Controller{
		config: config, members: members, ownership: ownership, configs: configs, versions: versions,
		inventory: inventory, owner: own, peers: peers, recorder: recorder,
		budget:  flight.NewBudget(config.RetryShare, config.RetryReserve),
		pending: newPending(),
		home:    flight.NewCoordinator(config.Coordinator),
		claims:  make(map[string]claimant),
		started: time.Now(),
	}
}
