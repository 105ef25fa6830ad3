// Package admit is the admission controller of a replica's owner: it decides
// when a request may start on the replica.
//
// Each replica has a queue with three classes and an adaptive concurrency
// limit. Interactive requests are served first, then batch, then training.
// While training requests wait they receive a minimum share of the tokens. The
// tokens that training receives are divided among the trainers in proportion to
// their declared shares. No request starts while the number of running requests
// is at the limit. A free slot is never left idle while requests wait, except
// while the replica drains for an isolated run, that is, for a request that must
// have the replica to itself.
//
// The package has no I/O and no clock: every input carries the time and returns
// the actions to perform. A Controller is not safe for concurrent use.
package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// Admission policies. Any other policy selects adaptive limits and classes.
const (
	// PolicyBaseline admits in order of arrival up to the fixed MaxLimit.
	PolicyBaseline = "baseline"
)

// maxTrainingShare caps Config.MinTrainingShare. A share of 1 would leave no
// tokens for the other classes.
const maxTrainingShare = 0.9

// Config holds the parameters of a Controller.
type Config struct {
	Policy           string
	InitialLimit     int
	MaxLimit         int
	MinTrainingShare float64
	// MaxQueue is the maximum number of waiting requests per replica.
	MaxQueue int
	// SlowdownFactor is the ratio of the time per token to that at light load
	// above which the limit decreases.
	SlowdownFactor float64
	// AdjustInterval is the time between adjustments of a limit.
	AdjustInterval time.Duration
	// IsolationDrainTimeout is how long a request for an isolated run may wait
	// for the replica to drain before it is refused.
	IsolationDrainTimeout time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		InitialLimit:          4,
		MaxLimit:              256,
		MinTrainingShare:      0.10,
		MaxQueue:              1024,
		SlowdownFactor:        2.5,
		AdjustInterval:        500 * time.Millisecond,
		IsolationDrainTimeout: 30 * time.Second,
	}
}

// Request asks for a slot on a replica.
type Request struct {
	ID      uint64 // unique within the Controller
	Replica string
	Class   declare.Class
	Trainer string
	// Share is the trainer's declared share; values of 0 and below count as 1.
	Share float64
	// Priority orders the requests of one class or trainer; lower values run
	// first.
	Priority  int64
	MaxTokens int
	Deadline  time.Time // zero means no deadline
	// Isolated asks for a run with no other request on the replica.
	Isolated bool
}

// Kind is the kind of an Action.
type Kind int

// Kinds of actions.
const (
	Start Kind = iota
	Refuse
)

// Cause is the reason for which a request was refused.
type Cause int

// Causes of refusals. A refused request has not been started.
const (
	CauseNone Cause = iota
	CauseQueueFull
	CauseDeadline // the deadline cannot be met
	CauseLeaving
	CauseUnhealthy
	CauseUnknownReplica
)

// Action instructs the caller to start or to refuse a request.
type Action struct {
	Kind  Kind
	ID    uint64
	Cause Cause
	// Wait is the time that the request spent in the queue.
	Wait time.Duration
}

// Load is the load of one replica.
type Load struct {
	Running int
	Queued  int
	Limit   int
	// Wait is the expected queueing time of an interactive request that arrives
	// now.
	Wait time.Duration
}

// Controller holds the queues of all replicas owned by one host.
type Controller struct {
	config    Config
	replicas  *table.Table[string, replica]
	replicaOf map[uint64]string // replica ID of each waiting or running request
	nextSeq   uint64
	actions   []Action
}

// New returns a Controller without replicas.
func New(config Config) *Controller {
	config.MinTrainingShare = max(0, min(config.MinTrainingShare, maxTrainingShare))
	config.MaxLimit = max(1, config.MaxLimit)
	return &Controller{config: config, replicas: table.New[string, replica](), replicaOf: make(map[uint64]string)}
}

// SetReplica adds a replica or updates whether it accepts new requests.
// Requests that wait on a replica that is leaving or unhealthy are refused.
func (c *Controller) SetReplica(id string, healthy, leaving bool, now time.Time) []Action {
	r := c.replicas.Get(id)
	if r == nil {
		r = c.replicas.Put(id, newReplica(c.config, now))
	}
	r.healthy, r.leaving = healthy, leaving
	switch {
	case leaving:
		c.refuseAll(r, CauseLeaving, now)
	case !healthy:
		c.refuseAll(r, CauseUnhealthy, now)
	default:
		c.dispatch(r, now)
	}
	return c.takeActions()
}

// SetRate sets the rate limit that a replica names, in requests per second, or removes
// it if named is false.
func (c *Controller) SetRate(id string, named bool, perSecond float64, now time.Time) []Action {
	r := c.replicas.Get(id)
	switch {
	case r == nil:
		return nil
	case !named:
		r.rate = nil
	case r.rate == nil:
		r.rate = ratelimit.NewBucket(perSecond, now)
	default:
		r.rate.SetRate(perSecond, now)
	}
	c.dispatch(r, now)
	return c.takeActions()
}

// AdoptLimit initializes the limit of a replica without running requests to the
// value that its previous owner had reached.
func (c *Controller) AdoptLimit(id string, limit int, now time.Time) []Action {
	r := c.replicas.Get(id)
	if r == nil || len(r.running) > 0 || c.config.Policy == PolicyBaseline {
		return nil
	}
	r.limit.limit = float64(max(c.config.InitialLimit, min(limit, c.config.MaxLimit)))
	c.dispatch(r, now)
	return c.takeActions()
}

// RemoveReplica refuses the requests that wait for a replica and removes it.
// While it has running requests it is only marked as leaving; a call after they
// have ended with Done removes it.
func (c *Controller) RemoveReplica(id string, now time.Time) []Action {
	r := c.replicas.Get(id)
	if r == nil {
		return nil
	}
	c.refuseAll(r, CauseUnknownReplica, now)
	if len(r.running) == 0 {
		c.replicas.Delete(id)
	} else {
		r.leaving = true
	}
	return c.takeActions()
}

// Replicas returns the IDs of all replicas in ascending order.
func (c *Controller) Replicas() []string { return c.replicas.Keys() }

// Enqueue adds a request, or refuses it if its deadline cannot be met, the
// queue is full or the replica accepts no requests.
func (c *Controller) Enqueue(request Request, now time.Time) []Action {
	r := c.replicas.Get(request.Replica)
	if cause := c.refusal(r, request, now); cause != CauseNone {
		return []Action{{Kind: Refuse, ID: request.ID, Cause: cause}}
	}
	c.nextSeq++
	item := &item{Request: request, seq: c.nextSeq, arrived: now, cost: r.expectedTokens(request)}
	c.replicaOf[request.ID] = request.Replica
	r.push(item)
	c.dispatch(r, now)
	return c.takeActions()
}

func (c *Controller) refusal(r *replica, request Request, now time.Time) Cause {
	switch {
	case r == nil:
		return CauseUnknownReplica
	case r.leaving:
		return CauseLeaving
	case !r.healthy:
		return CauseUnhealthy
	case r.queued() >= c.config.MaxQueue:
		return CauseQueueFull
	case c.config.Policy != PolicyBaseline && r.cannotMeetDeadline(request, now):
		return CauseDeadline
	}
	return CauseNone
}

// Cancel removes a waiting request. It returns false if the request is not
// waiting; a running request is ended with Done.
func (c *Controller) Cancel(id uint64, now time.Time) ([]Action, bool) {
	r := c.replicas.Get(c.replicaOf[id])
	if r == nil || !r.remove(id) {
		return nil, false
	}
	delete(c.replicaOf, id)
	c.dispatch(r, now)
	return c.takeActions(), true
}

// ObserveToken records that a running request produced a token, and the time
// since its previous token or, for the first token, since its start.
func (c *Controller) ObserveToken(id uint64, gap time.Duration) {
	if r := c.replicas.Get(c.replicaOf[id]); r != nil {
		if run := r.running[id]; run != nil {
			run.tokens++
			if run.tokens == 1 {
				r.limit.observeFirstToken(gap)
			} else {
				r.limit.observe(gap)
			}
		}
	}
}

// Done ends a running request. Set completed if it ended with a finish reason;
// the lengths of completed responses feed later estimates.
func (c *Controller) Done(id uint64, completed bool, now time.Time) []Action {
	r := c.replicas.Get(c.replicaOf[id])
	if r == nil || r.running[id] == nil {
		return nil
	}
	delete(c.replicaOf, id)
	r.finish(id, completed)
	c.dispatch(r, now)
	return c.takeActions()
}

// Tick adjusts the limits and refuses waiting requests whose deadline has
// passed.
func (c *Controller) Tick(now time.Time) []Action {
	c.replicas.Each(func(_ string, r *replica) bool {
		if c.config.Policy != PolicyBaseline {
			r.limit.adjust(now)
		}
		c.expire(r, now)
		c.dispatch(r, now)
		return true
	})
	return c.takeActions()
}

// Load returns the load of a replica, or false if the replica is unknown.
func (c *Controller) Load(id string, now time.Time) (Load, bool) {
	r := c.replicas.Get(id)
	if r == nil {
		return Load{}, false
	}
	return Load{
		Running: len(r.running),
		Queued:  r.queued(),
		Limit:   r.limit.value(),
		Wait:    r.expectedWait(declare.ClassInteractive, now),
	}, true
}

func (c *Controller) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
