package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// item is one waiting or running request.
type item struct {
	Request
	seq     uint64
	rank    declare.Class // class that orders a queue of several classes
	arrived time.Time
	cost    float64 // expected tokens
	tokens  int     // tokens produced so far
}

// replica is the queue, the running requests and the limit of one replica.
type replica struct {
	config  Config
	healthy bool
	leaving bool
	limit   limiter
	running map[uint64]*item
	// soloRunning is set while a solo request has the replica to itself.
	soloRunning bool

	solo    queue
	callers [declare.ClassTraining]queue // interactive and batch
	flows   *table.Table[string, flow]   // training, by trainer
	floor   float64                      // lowest virtual time that counts; never falls
	credit  float64                      // tokens that training may take before callers
	sizes   map[string]size              // answer lengths by trainer or class
}

func newReplica(config Config, now time.Time) replica {
	return replica{
		config:  config,
		limit:   newLimiter(config, now),
		running: make(map[uint64]*item),
		flows:   table.New[string, flow](),
		sizes:   make(map[string]size),
	}
}

func (r *replica) queued() int {
	n := len(r.solo) + r.trainingQueued()
	for _, q := range r.callers {
		n += len(q)
	}
	return n
}

func (r *replica) trainingQueued() int {
	n := 0
	r.flows.Each(func(_ string, f *flow) bool {
		n += len(f.queue)
		return true
	})
	return n
}

func (r *replica) push(it *item) {
	switch {
	case it.Isolated && r.config.Policy != PolicyBaseline:
		it.rank = it.Class
		r.solo.push(it)
	case r.config.Policy == PolicyBaseline:
		it.Priority = 0
		r.callers[declare.ClassInteractive].push(it)
	case it.Class < declare.ClassTraining:
		r.callers[max(it.Class, declare.ClassInteractive)].push(it)
	default:
		r.flow(it.Trainer).queue.push(it)
	}
}

// remove takes a waiting request out of its queue.
func (r *replica) remove(id uint64) bool {
	if r.solo.remove(id) {
		return true
	}
	for i := range r.callers {
		if r.callers[i].remove(id) {
			return true
		}
	}
	found := false
	r.flows.Each(func(_ string, f *flow) bool {
		found = f.queue.remove(id)
		return !found
	})
	r.settle()
	return found
}

// next takes the request that starts next, or returns nil when no request may
// start now.
func (r *replica) next() *item {
	if !r.healthy || r.leaving || r.soloRunning {
		return nil
	}
	if len(r.solo) > 0 {
		if len(r.running) > 0 {
			return nil // drains for the solo request
		}
		return r.solo.pop()
	}
	if len(r.running) >= r.limit.value() {
		return nil
	}
	training := r.nextFlow()
	for i := range r.callers {
		if len(r.callers[i]) == 0 {
			continue
		}
		if training == nil {
			return r.callers[i].pop()
		}
		if r.credit >= training.queue[0].cost {
			break // training is below its minimum share
		}
		it := r.callers[i].pop()
		share := r.config.MinTrainingShare
		r.credit += it.cost * share / (1 - share)
		return it
	}
	if training == nil {
		return nil
	}
	it := training.queue.pop()
	r.credit = max(0, r.credit-it.cost)
	if r.trainingQueued() == 0 {
		r.credit = 0
	}
	return it
}

// begin marks an item that next returned as running.
func (r *replica) begin(it *item) {
	r.running[it.ID] = it
	r.limit.full = r.limit.full || len(r.running) >= r.limit.value()
	r.soloRunning = it.Isolated && r.config.Policy != PolicyBaseline
	if it.Class >= declare.ClassTraining {
		r.charge(it.Trainer, it.cost, it.Share, 1)
	}
}

// finish removes a running request and corrects what its trainer was charged.
func (r *replica) finish(id uint64, whole bool) {
	it := r.running[id]
	delete(r.running, id)
	if it.Isolated {
		r.soloRunning = false
	}
	r.learn(it, whole)
	if it.Class >= declare.ClassTraining {
		r.charge(it.Trainer, float64(it.tokens)-it.cost, it.Share, -1)
	}
	r.settle()
}

// pump starts waiting requests while the replica may take more. A request
// whose deadline would pass while it runs is refused in place of started.
func (s *Controller) pump(r *replica, now time.Time) {
	for it := r.next(); it != nil; it = r.next() {
		if s.config.Policy != PolicyBaseline && r.late(it, now) {
			s.refuse(it, CauseDeadline, now)
			continue
		}
		r.begin(it)
		s.actions = append(s.actions, Action{Kind: Start, ID: it.ID, Wait: now.Sub(it.arrived)})
	}
	r.settle()
}

func (s *Controller) refuse(it *item, cause Cause, now time.Time) {
	delete(s.where, it.ID)
	s.actions = append(s.actions, Action{Kind: Refuse, ID: it.ID, Cause: cause, Wait: now.Sub(it.arrived)})
}

// refuseAll refuses every waiting request of a replica.
func (s *Controller) refuseAll(r *replica, cause Cause, now time.Time) {
	s.refuseWhere(r, cause, now, func(*item) bool { return true })
}

// expire refuses waiting requests whose deadline passed, and solo requests for
// which the replica drained too long.
func (s *Controller) expire(r *replica, now time.Time) {
	s.refuseWhere(r, CauseDeadline, now, func(it *item) bool {
		return !it.Deadline.IsZero() && !now.Before(it.Deadline)
	})
	for _, it := range r.solo.take(func(it *item) bool { return now.Sub(it.arrived) > s.config.IsolationDrainTimeout }) {
		s.refuse(it, CauseQueueFull, now)
	}
}

func (s *Controller) refuseWhere(r *replica, cause Cause, now time.Time, match func(*item) bool) {
	refuse := func(q *queue) {
		for _, it := range q.take(match) {
			s.refuse(it, cause, now)
		}
	}
	refuse(&r.solo)
	for i := range r.callers {
		refuse(&r.callers[i])
	}
	r.flows.Each(func(_ string, f *flow) bool {
		refuse(&f.queue)
		return true
	})
	r.settle()
}
