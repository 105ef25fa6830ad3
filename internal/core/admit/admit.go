// Package admit decides when the owner of a replica starts a request there.
//
// Each replica has a queue with three classes and an adaptive concurrency
// limit. Interactive work goes first, then batch, then training; training
// keeps a minimum share while it waits, and trainers share by tokens in
// proportion to their declared share. The number of running requests never
// exceeds the limit, and a free slot is never left idle while work waits,
// except while a request that must run alone waits for the replica to drain.
//
// The package has no I/O and no clock: inputs carry the time and return the
// actions to take. A System is not safe for concurrent use.
package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// Policies of a System.
const (
	// PolicyBaseline admits first come, first served up to the fixed MaxLimit.
	PolicyBaseline = "baseline"
)

// maxTrainingShare bounds the minimum share of training.
const maxTrainingShare = 0.9

// Config holds the parameters of a System.
type Config struct {
	Policy           string
	InitialLimit     int
	MaxLimit         int
	MinTrainingShare float64
	// MaxQueue bounds the waiting requests per replica.
	MaxQueue int
	// SlowdownFactor is how many times slower than at light load a token may
	// become before the limit falls.
	SlowdownFactor float64
	// AdjustInterval is the time between changes of a limit.
	AdjustInterval time.Duration
	// IsolationDrainTimeout bounds the time that a replica drains for a solo request.
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

// Request is one request for a slot at a replica.
type Request struct {
	ID      uint64 // unique within the System
	Replica string
	Class   declare.Class
	Trainer string
	// Share is the trainer's declared share; values not above 0 count as 1.
	Share float64
	// Priority orders the work of one class or trainer; lower goes first.
	Priority  int64
	MaxTokens int
	Deadline  time.Time // zero means none
	Isolated  bool
}

// Kind says what an Action asks for.
type Kind int

// Kinds of actions.
const (
	Start Kind = iota
	Refuse
)

// Cause says why a request was refused.
type Cause int

// Causes of refusals. A refused request was never started.
const (
	CauseNone Cause = iota
	CauseQueueFull
	CauseDeadline // the deadline cannot be met
	CauseLeaving
	CauseUnhealthy
	CauseUnknownReplica
)

// Action tells the caller to start or to refuse a request.
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
	// Wait is the expected wait of an interactive request that arrives now.
	Wait time.Duration
}

// Controller holds the queues of all replicas of one owner.
type Controller struct {
	config   Config
	replicas *table.Table[string, replica]
	where    map[uint64]string // replica of each known request
	nextSeq  uint64
	actions  []Action
}

// New returns an empty System.
func New(config Config) *Controller {
	// A share of 1 would leave nothing to divide among the other classes.
	config.MinTrainingShare = max(0, min(config.MinTrainingShare, maxTrainingShare))
	config.MaxLimit = max(1, config.MaxLimit)
	return &Controller{config: config, replicas: table.New[string, replica](), where: make(map[uint64]string)}
}

// SetReplica adds a replica or changes whether it takes new work. Work that
// waits at a replica that is leaving or not healthy is refused.
func (s *Controller) SetReplica(id string, healthy, leaving bool, now time.Time) []Action {
	r := s.replicas.Get(id)
	if r == nil {
		r = s.replicas.Put(id, newReplica(s.config, now))
	}
	r.healthy, r.leaving = healthy, leaving
	switch {
	case leaving:
		s.refuseAll(r, CauseLeaving, now)
	case !healthy:
		s.refuseAll(r, CauseUnhealthy, now)
	default:
		s.pump(r, now)
	}
	return s.take()
}

// AdoptLimit makes a replica without running work go on from the limit that
// another owner had found for it.
func (s *Controller) AdoptLimit(id string, limit int, now time.Time) []Action {
	r := s.replicas.Get(id)
	if r == nil || len(r.running) > 0 || s.config.Policy == PolicyBaseline {
		return nil
	}
	r.limit.limit = float64(max(s.config.InitialLimit, min(limit, s.config.MaxLimit)))
	s.pump(r, now)
	return s.take()
}

// RemoveReplica forgets a replica and refuses the work that waits there.
// Running requests end on their own.
func (s *Controller) RemoveReplica(id string, now time.Time) []Action {
	r := s.replicas.Get(id)
	if r == nil {
		return nil
	}
	s.refuseAll(r, CauseUnknownReplica, now)
	if len(r.running) == 0 {
		s.replicas.Delete(id)
	} else {
		r.leaving = true
	}
	return s.take()
}

// Replicas returns the IDs of all known replicas in order.
func (s *Controller) Replicas() []string { return s.replicas.Keys() }

// Enqueue adds a request, or refuses it when its deadline cannot be met, the
// queue is full or the replica takes no work.
func (s *Controller) Enqueue(request Request, now time.Time) []Action {
	r := s.replicas.Get(request.Replica)
	if cause := s.refusal(r, request, now); cause != CauseNone {
		return []Action{{Kind: Refuse, ID: request.ID, Cause: cause}}
	}
	s.nextSeq++
	item := &item{Request: request, seq: s.nextSeq, arrived: now, cost: r.expectedTokens(request)}
	s.where[request.ID] = request.Replica
	r.push(item)
	s.pump(r, now)
	return s.take()
}

func (s *Controller) refusal(r *replica, request Request, now time.Time) Cause {
	switch {
	case r == nil:
		return CauseUnknownReplica
	case r.leaving:
		return CauseLeaving
	case !r.healthy:
		return CauseUnhealthy
	case r.queued() >= s.config.MaxQueue:
		return CauseQueueFull
	case s.config.Policy != PolicyBaseline && r.misses(request, now):
		return CauseDeadline
	}
	return CauseNone
}

// Cancel removes a waiting request. It reports false when the request is not
// waiting; a running one is ended with Done.
func (s *Controller) Cancel(id uint64, now time.Time) ([]Action, bool) {
	r := s.replicas.Get(s.where[id])
	if r == nil || !r.remove(id) {
		return nil, false
	}
	delete(s.where, id)
	s.pump(r, now)
	return s.take(), true
}

// ObserveToken records one more token of a running request and the time since the
// one before, or since the start for the first token.
func (s *Controller) ObserveToken(id uint64, gap time.Duration) {
	if r := s.replicas.Get(s.where[id]); r != nil {
		if run := r.running[id]; run != nil {
			run.tokens++
			if run.tokens == 1 {
				r.limit.observeFirst(gap)
			} else {
				r.limit.observe(gap)
			}
		}
	}
}

// Done ends a running request. Whole says that it ended with a finish reason,
// so that its length counts for later estimates.
func (s *Controller) Done(id uint64, whole bool, now time.Time) []Action {
	r := s.replicas.Get(s.where[id])
	if r == nil || r.running[id] == nil {
		return nil
	}
	delete(s.where, id)
	r.finish(id, whole)
	s.pump(r, now)
	return s.take()
}

// Tick adjusts limits and refuses waiting requests whose time is over.
func (s *Controller) Tick(now time.Time) []Action {
	s.replicas.Each(func(_ string, r *replica) bool {
		if s.config.Policy != PolicyBaseline {
			r.limit.adjust(now)
		}
		s.expire(r, now)
		s.pump(r, now)
		return true
	})
	return s.take()
}

// Load returns the load of a replica.
func (s *Controller) Load(id string) (Load, bool) {
	r := s.replicas.Get(id)
	if r == nil {
		return Load{}, false
	}
	return Load{
		Running: len(r.running),
		Queued:  r.queued(),
		Limit:   r.limit.value(),
		Wait:    r.expectedWait(declare.ClassInteractive),
	}, true
}

func (s *Controller) take() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}
