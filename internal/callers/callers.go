// Package callers implements the router role of an entry host: it serves the
// connections of callers, selects replicas, resumes broken streams, and records
// the attempts of the requests that this host coordinates.
//
// A request ID supplied by a caller is coordinated by one host of each data
// centre, selected by rendezvous hashing. The coordinator numbers the attempts
// of the request ID, supersedes older attempts, and replays the recorded
// response to repeated requests.
//
// Each chunk index of a generation is delivered once and in order. A refusal
// has the outcome "not-run" only if, as far as the request coordinators know,
// no attempt under its request ID reached a backend server.
package callers

import (
	"math"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/spill"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline selects replicas round robin and retries failed requests a
// fixed number of times, without a retry budget. It is the reference policy in
// benchmarks and experiments.
const PolicyBaseline = owner.PolicyBaseline

// defaultReplicaWaitTimeout is long enough for a host to start and for a replica
// to swap its weights once.
const defaultReplicaWaitTimeout = 3 * time.Second

// Config holds the parameters of a Controller. Zero values mean defaults.
type Config struct {
	// Policy is PolicyBaseline for the baseline policy. Any other value selects the
	// default policy.
	Policy string
	// ProgressTimeout is the longest gap between two chunks from an engine. A
	// stream from a remote owner may be silent for twice as long after its first
	// chunk.
	ProgressTimeout time.Duration
	// RequestTimeout applies to requests that specify no timeout.
	RequestTimeout time.Duration
	// ReplicaWaitTimeout is how long a request waits while no replica can serve
	// it. The baseline policy does not wait by default.
	ReplicaWaitTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// RetryShare and RetryReserve limit the retries of this host, see
	// flight.NewBudget. The baseline policy overrides them.
	RetryShare   float64
	RetryReserve int
	// Coordinator configures the attempts and responses that this host records
	// as a request coordinator.
	Coordinator flight.CoordinatorConfig
	// RoutingWeights holds the weights for the selection of replicas.
	RoutingWeights route.Weights
	// Spillover lets the loads of the data centres decide how many requests leave this one.
	Spillover bool
}

func (c Config) withDefaults() Config {
	if c.ProgressTimeout <= 0 {
		c.ProgressTimeout = 5 * time.Second
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = time.Minute
	}
	if c.ReplicaWaitTimeout <= 0 && c.Policy != PolicyBaseline {
		c.ReplicaWaitTimeout = defaultReplicaWaitTimeout
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = 1 << 20
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
	if c.RoutingWeights == (route.Weights{}) {
		c.RoutingWeights = route.DefaultWeights()
	}
	return c
}

// Controller implements the router role of this host. It is safe for concurrent
// use.
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
	refuser   cluster.Refuser
	gate      *access.Gate

	mu       sync.Mutex // guards budget, rotation, pending and spill
	budget   *flight.Budget
	rotation route.RoundRobin
	pending  pendingRequests
	spill    *spill.Gate // nil if spillover is off

	// coordinatorMu guards coordinator, claims and memberSets.
	coordinatorMu sync.Mutex
	coordinator   *flight.Coordinator
	claims        map[string]activeClaim // by request ID
	started       time.Time              // no earlier attempts are recorded
	// memberSets holds the live members of the data centre during the retention
	// period, oldest set first.
	memberSets []memberSet
}

var (
	_ cluster.Generator = (*Controller)(nil)
	_ peer.ClaimHandler = (*Controller)(nil)
)

// RefuseBy sets what refuses requests that this host may not take any more. It must be
// called before the first request.
func (c *Controller) RefuseBy(r cluster.Refuser) { c.refuser = r }

// AdmitBy sets what admits the requests of callers. It must be called before the first
// request; without it, all are admitted.
func (c *Controller) AdmitBy(gate *access.Gate) { c.gate = gate }

// New returns the Controller of this host.
func New(config Config, members cluster.Members, ownership cluster.Ownership, configs cluster.Configs,
	versions cluster.Versions, inventory cluster.Inventory, ownerController *owner.Controller, peers peer.Clients,
	recorder *telemetry.Recorder) *Controller {
	config = config.withDefaults()
	c := &Controller{
		config: config, members: members, ownership: ownership, configs: configs, versions: versions,
		inventory: inventory, owner: ownerController, peers: peers, recorder: recorder,
		budget:      flight.NewBudget(config.RetryShare, config.RetryReserve),
		pending:     newPendingRequests(),
		coordinator: flight.NewCoordinator(config.Coordinator),
		claims:      make(map[string]activeClaim),
		started:     time.Now(),
	}
	if config.Spillover {
		c.spill = spill.NewGate(spill.Defaults())
	}
	return c
}
