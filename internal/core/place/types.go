package place

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// maxStoreLoads is the number of replicas per model and data centre that
	// load a version from the rate-limited weight store. With 2, a rollout to
	// 27 replicas with a minimum serving share of 0.75 needs one more wave.
	maxStoreLoads = 3
	// minChainPhase and waveDuration determine how long a rollout follows
	// chains: for waveDuration per wave, and at least for minChainPhase.
	minChainPhase = 15 * time.Second
	waveDuration  = 5 * time.Second
	// startDelay is the delay before a rollout begins. A version that is
	// published within it replaces the first one on all owners, including
	// those that never received the first.
	startDelay = time.Second
	// pauseThreshold is the gap between two updates above which this host
	// counts as having been paused. It is shorter than startDelay by more than
	// the time in which a version reaches all owners.
	pauseThreshold = 600 * time.Millisecond
	// noLoadPeriod is the time without any load after which no owner can be
	// following the chains of a rollout: the gap between two swaps of a chain
	// is under a second.
	noLoadPeriod = 3 * time.Second
	// propagationTime covers the time within which all owners learn of a
	// version, a view or a changed host list, and the delivery of the orders
	// that they sent before.
	propagationTime = 2 * time.Second
	// chainOrderTimeout is the time within which an order of a chain must be sent. It
	// is shorter than propagationTime, because owners count after that time.
	chainOrderTimeout = time.Second
	// maxStateAge is the age up to which an observed state counts as current.
	maxStateAge = 1500 * time.Millisecond
	// unreachableGrace is how long an unreachable replica blocks a rollout.
	unreachableGrace = 3 * time.Second
	// orderEffectTimeout is the time within which an order must show in the
	// state of the engine.
	orderEffectTimeout = 2500 * time.Millisecond
	// slotDuration is the length of the time slot in which one owner may start
	// swaps by counting. It starts them only within the first slotUsableTime of
	// the slot; the rest lets its last order show in the state that the next
	// owner reads.
	slotDuration   = time.Second
	slotUsableTime = 700 * time.Millisecond
	// initialBackoff and maxBackoff bound the wait after a failed swap.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// isolateAfterFailures is the number of consecutive failures after which a
	// replica gets no orders for isolationPeriod.
	isolateAfterFailures = 5
	isolationPeriod      = 2 * time.Minute
	// loadTimeout is the time after which a load is ordered again and no longer
	// blocks other replicas. It exceeds the 26 s in which a version should
	// reach all replicas.
	loadTimeout = 30 * time.Second
	// supersedeGrace is how long after the end of the chains a rollout may
	// still continue by counting.
	supersedeGrace = 15 * time.Second
)

// Server is an engine of this data centre, as given in the host list.
type Server struct {
	ID      string
	Addr    string
	Model   string // model that the engine was started for
	Leaving bool
}

// Declarations is the part of the configuration that placement uses.
type Declarations struct {
	Version int64
	Models  map[string]*declare.Model
	Needs   map[string]*declare.Need
	// ConfigCurrent specifies that no newer configuration is known. Only then
	// may a pin order a version older than the one that a replica runs.
	ConfigCurrent bool
}

// Target is the weight version that a model's replicas should run.
type Target struct {
	Version int64
	Pinned  bool
}

// Reason explains why an order is sent or withheld.
type Reason string

const (
	ReasonModel    Reason = "wrong model"
	ReasonVersion  Reason = "version differs"
	ReasonAdapter  Reason = "adapter missing"
	ReasonRole     Reason = "role differs"
	ReasonIsolated Reason = "isolated after failures"
)

// Action is an order for a replica. The controller adds the fencing number and
// the order owner.
type Action struct {
	Replica string
	Addr    string
	Order   engine.Order
	Reason  Reason
	// Deadline is set for a swap of a replica that serves, because other owners rely
	// on the state that they read later. For a swap that was started by counting, it
	// is the end of this host's time slot.
	Deadline time.Time
}

// TimeSlot is the position of this host in the round-robin rotation of time
// slots among the owners of the data centre.
type TimeSlot struct {
	Index, Count int
	// ViewReadAt is when this host read the view of the owners, which
	// determines the rotation (see package lease).
	ViewReadAt time.Time
}

// Plan is the result of one call of Planner.Plan.
type Plan struct {
	Actions []Action
	// Watch lists replicas of other owners whose state should be read soon.
	Watch []string
	// Isolated lists replicas that this call isolated because of repeated
	// failures.
	Isolated []string
}

// replica is the planner's state of one engine.
type replica struct {
	Server
	assignedModel    string
	observed         bool
	reachable        bool
	state            engine.State
	observedAt       time.Time
	unreachableSince time.Time
	reachableAgainAt time.Time // end of the last unreachable period of at least unreachableGrace/2

	loadingSince time.Time

	// State relative to the current target of its model:
	loadObserved  bool   // a load was observed
	baselineError string // LastError at the first observation or at the last order
	baselineKnown bool
	baselineAt    time.Time // time of the first observation

	// Orders sent by this host:
	pendingOrder      *engine.Order // planned or sent, has not taken effect yet
	unsent            bool          // pendingOrder is planned and not sent yet
	orderedAt         time.Time
	orderLoadObserved bool // a load was observed since the order was sent
	failures          int
	retryAt           time.Time
	isolated          bool
}

// rollout is the state of the rollout of a model's current target.
type rollout struct {
	target    Target
	startedAt time.Time
	// startDisputed is set if the version replaced another one so shortly before or
	// after startDelay that some owners may have started that rollout and others not.
	// The former count, the latter follow chains, so this host does neither until the
	// chains have ended.
	startDisputed  bool
	chainsBrokenAt time.Time // when the chains became unreliable; zero if they are reliable
	members        []string  // replica IDs in rollout order
	// startUnknown is set if this host was paused or has just started, so that
	// it does not know when the other owners learned of the target.
	startUnknown bool
	noLoadSince  time.Time // start of the period without loads, while startUnknown is set
}
