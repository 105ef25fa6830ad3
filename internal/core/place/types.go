package place

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// storeLoads is the number of replicas of a model and data centre that
	// load a version from the rate-limited weight store. With 2, a rollout on 27
	// replicas with a share of 0.75 needs one wave more.
	storeLoads = 3
	// chainTime and waveTime bound the time in which a rollout follows chains:
	// at least chainTime, and waveTime for each wave.
	chainTime = 15 * time.Second
	waveTime  = 5 * time.Second
	// holdTime is the wait before a rollout begins. A version that follows
	// within it replaces the first for all owners, also those that never heard
	// of the first.
	holdTime = time.Second
	// pauseTime without an update shows that this host was paused; it is
	// shorter than holdTime by more than the spread of a version takes.
	pauseTime = 600 * time.Millisecond
	// quietTime without any load shows that no rollout follows its chains; the
	// gap between two swaps of a chain is under a second.
	quietTime = 3 * time.Second
	// settleTime covers the differences in when owners learn of a version, a
	// view or a changed host list, and orders that were on their way then.
	settleTime = 2 * time.Second
	// freshTime is the age up to which a state counts as current.
	freshTime = 1500 * time.Millisecond
	// unreachableGrace is how long unreachable replicas hold a rollout back.
	unreachableGrace = 3 * time.Second
	// orderGrace is how long an engine may take to show an order's effect.
	orderGrace = 2500 * time.Millisecond
	// turnTime is the time in which one owner may start swaps by counting, and
	// turnUse the part of it in which it does; the rest lets its last order
	// show in the state that the next owner reads.
	turnTime = time.Second
	turnUse  = 700 * time.Millisecond
	// backoffFirst and backoffMost bound the wait after a failed swap.
	backoffFirst = time.Second
	backoffMost  = 30 * time.Second
	// isolateAfter failures in a row stop the orders for isolateTime.
	isolateAfter = 5
	isolateTime  = 2 * time.Minute
	// stuckTime is the time after which a load is ordered again and no longer
	// holds up others. It exceeds the 26 s in which a version should be
	// everywhere.
	stuckTime = 30 * time.Second
	// supersedeTime is how long after the end of the chains a rollout may still
	// go on by counting.
	supersedeTime = 15 * time.Second
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
	// ConfigCurrent says that no host is known to have a newer configuration.
	// Only then may a pin order an older version than a replica runs.
	ConfigCurrent bool
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
	// Deadline is the end of this host's turn, for a swap that was started by
	// counting: the next owner counts on the state that it reads after it.
	Deadline time.Time
}

// TimeSlot is the place of this host among the owners of the data centre, by which
// they take turns.
type TimeSlot struct {
	Index, Count int
	// ViewReadAt is when this host read the view that the turns follow.
	ViewReadAt time.Time
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
	returned  time.Time // when it became reachable again after a longer time

	loadingSince time.Time

	// Towards the current target of its model:
	sawLoading bool
	baseError  string // LastError at the first observation
	baseKnown  bool
	baseAt     time.Time

	// Orders of this host:
	order       *engine.Order // planned or sent, effect not seen yet
	reserved    bool          // planned and not sent yet
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
	disturbed time.Time // when the chains became unreliable, if they did
	members   []string  // replica IDs in rollout order
	// blind says that this host was paused or has just started, so that it
	// does not know when the others learned of the target.
	blind      bool
	quietSince time.Time // since when no member loads, while blind
}
