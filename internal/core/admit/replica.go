package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/declare"
)

// item is one waiting or running request.
type item struct {
	Request
	seq     uint64
	rank    declare.Class // sort key by class; used only in a queue that mixes classes
	arrived time.Time
	cost    float64 // expected length of the response in tokens
	tokens  int     // tokens produced so far
}

// replica holds the queues, the running requests and the limit of one replica.
type replica struct {
	config  Config
	healthy bool
	leaving bool
	limit   limiter
	// rate is the bucket of a replica that names a rate limit; nil without one. All
	// requests of a replica are admitted by its owner, so the owner has the whole limit.
	rate    *ratelimit.Bucket
	running map[uint64]*item
	// isolatedRunning is set while an isolated run has the replica to itself.
	isolatedRunning bool

	isolated       queue
	callers        [declare.ClassTraining]queue // interactive and batch
	flows          *table.Table[string, flow]   // training requests by trainer
	virtualTime    float64                      // system virtual time of the flows; never decreases
	trainingCredit float64                      // tokens owed to training, which is served before callers once they cover its next request
	lengths        map[string]lengthEstimate    // response lengths by trainer or class
}

func newReplica(config Config, now time.Time) replica {
	return replica{
		config:  config,
		limit:   newLimiter(config, now),
		running: make(map[uint64]*item),
		flows:   table.New[string, flow](),
		lengths: make(map[string]lengthEstimate),
	}
}

func (r *replica) queued() int {
	n := len(r.isolated) + r.trainingQueued()
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
		r.isolated.push(it)
	case r.config.Policy == PolicyBaseline:
		it.Priority = 0
		r.callers[declare.ClassInteractive].push(it)
	case it.Class < declare.ClassTraining:
		r.callers[max(it.Class, declare.ClassInteractive)].push(it)
	default:
		r.flow(it.Trainer).queue.push(it)
	}
}

// remove removes a waiting request from its queue.
func (r *replica) remove(id uint64) bool {
	if r.isolated.remove(id) {
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
	r.advanceVirtualTime()
	return found
}

// popNext removes and returns the request to start next, or returns nil if none
// may start now.
func (r *replica) popNext(now time.Time) *item {
	if !r.healthy || r.leaving || r.isolatedRunning || r.rateWait(now) > 0 {
		return nil
	}
	if len(r.isolated) > 0 {
		if len(r.running) > 0 {
			return nil // the replica drains for the isolated run
		}
		return r.isolated.pop()
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
		if r.trainingCredit >= training.queue[0].cost {
			break // training is below its minimum share
		}
		it := r.callers[i].pop()
		share := r.config.MinTrainingShare
		r.trainingCredit += it.cost * share / (1 - share)
		return it
	}
	if training == nil {
		return nil
	}
	it := training.queue.pop()
	r.trainingCredit = max(0, r.trainingCredit-it.cost)
	if r.trainingQueued() == 0 {
		r.trainingCredit = 0
	}
	return it
}

// rateWait returns the time until the rate limit allows the next request.
func (r *replica) rateWait(now time.Time) time.Duration {
	if r.rate == nil {
		return 0
	}
	return r.rate.Wait(now)
}

// begin marks an item returned by popNext as running.
func (r *replica) begin(it *item, now time.Time) {
	if r.rate != nil {
		r.rate.Take(now)
	}
	r.running[it.ID] = it
	r.limit.limitReached = r.limit.limitReached || len(r.running) >= r.limit.value()
	r.isolatedRunning = it.Isolated && r.config.Policy != PolicyBaseline
	if it.Class >= declare.ClassTraining {
		r.charge(it.Trainer, it.cost, it.Share, 1)
	}
}

// finish removes a running request and replaces the expected tokens charged to
// its trainer by the actual ones.
func (r *replica) finish(id uint64, completed bool) {
	it := r.running[id]
	delete(r.running, id)
	if it.Isolated {
		r.isolatedRunning = false
	}
	r.observeLength(it, completed)
	if it.Class >= declare.ClassTraining {
		r.charge(it.Trainer, float64(it.tokens)-it.cost, it.Share, -1)
	}
	r.advanceVirtualTime()
}

// dispatch starts waiting requests until the replica accepts no more. A request
// that would finish after its deadline is refused instead of started.
func (c *Controller) dispatch(r *replica, now time.Time) {
	for it := r.popNext(now); it != nil; it = r.popNext(now) {
		if c.config.Policy != PolicyBaseline && r.wouldMissDeadline(it, now) {
			c.refuse(it, CauseDeadline, now)
			continue
		}
		r.begin(it, now)
		c.actions = append(c.actions, Action{Kind: Start, ID: it.ID, Wait: now.Sub(it.arrived)})
	}
	r.advanceVirtualTime()
}

func (c *Controller) refuse(it *item, cause Cause, now time.Time) {
	delete(c.replicaOf, it.ID)
	c.actions = append(c.actions, Action{Kind: Refuse, ID: it.ID, Cause: cause, Wait: now.Sub(it.arrived)})
}

// refuseAll refuses every waiting request of a replica.
func (c *Controller) refuseAll(r *replica, cause Cause, now time.Time) {
	c.refuseWhere(r, cause, now, func(*item) bool { return true })
}

// expire refuses waiting requests whose deadline has passed, and requests for
// an isolated run that have waited longer than IsolationDrainTimeout.
func (c *Controller) expire(r *replica, now time.Time) {
	c.refuseWhere(r, CauseDeadline, now, func(it *item) bool {
		return !it.Deadline.IsZero() && !now.Before(it.Deadline)
	})
	for _, it := range r.isolated.removeMatching(func(it *item) bool { return now.Sub(it.arrived) > c.config.IsolationDrainTimeout }) {
		c.refuse(it, CauseQueueFull, now)
	}
}

func (c *Controller) refuseWhere(r *replica, cause Cause, now time.Time, match func(*item) bool) {
	refuse := func(q *queue) {
		for _, it := range q.removeMatching(match) {
			c.refuse(it, cause, now)
		}
	}
	refuse(&r.isolated)
	for i := range r.callers {
		refuse(&r.callers[i])
	}
	r.flows.Each(func(_ string, f *flow) bool {
		refuse(&f.queue)
		return true
	})
	r.advanceVirtualTime()
}
