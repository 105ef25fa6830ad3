package place

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// storeLoads is the number of replicas of a model and data centre that
	// load a version from the rate-limited weight store.
	storeLoads = 2
	// defaultSwapTime is assumed until a swap of the model was seen.
	defaultSwapTime = 3 * time.Second
	// stallTime is added to the expected start before a replica stops to wait
	// for its predecessor.
	stallTime = 3 * time.Second
	// freshTime is the age up to which a state counts as current.
	freshTime = 1500 * time.Millisecond
	// unreachableGrace is how long unreachable replicas hold a rollout back.
	unreachableGrace = 5 * time.Second
	// orderGrace is how long an engine may take to show an order's effect.
	orderGrace = 2500 * time.Millisecond
	// lateSlice and lateSlices share out the time among replicas that are
	// rolled out by counting, so that two owners do not order in the same
	// moment on the same count.
	lateSlice  = 400 * time.Millisecond
	lateSlices = 8
	// backoffFirst and backoffMost bound the wait after a failed swap.
	backoffFirst = time.Second
	backoffMost  = 30 * time.Second
	// isolateAfter failures in a row stop the orders for isolateTime.
	isolateAfter = 5
	isolateTime  = 2 * time.Minute
	// supersedeTime is how long after an announcement a rollout may still run.
	supersedeTime = 30 * time.Second
)

// Server is an engine of this data centre from the host list.
type Server struct {
	ID      string
	Addr    string
	Model   string // model that the engine was started for
	Leaving bool
}

// Declarations is the part of a configuration that placement follows.
type Declarations struct {
	Version int64
	Models  map[string]*declare.Model
	Needs   map[string]*declare.Need
	// PinsCurrent says that no host is known to have a newer configuration.
	// Only then may a pin order an older version than a replica runs.
	PinsCurrent bool
}

// Target is the weight version that a model's replicas should run.
type Target struct {
	Version int64
	Pinned  bool
}

// Reason says why an order is given or held back.
type Reason string

// Reasons.
const (
	ReasonModel    Reason = "wrong model"
	ReasonVersion  Reason = "version differs"
	ReasonAdapter  Reason = "adapter missing"
	ReasonRole     Reason = "role differs"
	ReasonIsolated Reason = "isolated after failures"
)

// Action is an order for a replica; the controller adds fence and holder.
type Action struct {
	Replica string
	Addr    string
	Order   engine.Order
	Reason  Reason
}

// Plan is the result of one step.
type Plan struct {
	Actions []Action
	// Watch lists replicas of other owners whose state should be read soon.
	Watch []string
	// Isolated lists replicas that were isolated in this step.
	Isolated []string
}

// replica is what the planner knows of one engine.
type replica struct {
	Server
	wanted    string // assigned model
	seen      bool
	reachable bool
	state     engine.State
	at        time.Time // of the newest observation
	lostSince time.Time // since when it is unreachable

	// Towards the current target of its model:
	sawLoading  bool
	baseError   string // LastError at the first observation
	passedSince time.Time
	baseKnown   bool

	// Orders of this host:
	order       *engine.Order // sent, effect not seen yet
	orderedAt   time.Time
	loadingSeen bool
	failures    int
	retryAt     time.Time
	isolated    bool
}

// rollout is the state of the newest target of one model.
type rollout struct {
	target    Target
	since     time.Time
	disturbed bool
	members   []string // replica IDs in rollout order
	swapTime  time.Duration
}
