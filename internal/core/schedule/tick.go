package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// View is what a tick needs to know of the outside.
type View struct {
	Now time.Time
	// Replicas returns the replicas of a job's service and model.
	Replicas func(*jobs.Entry) []Replica
	// SingleVersion says whether results of a job may have one version only.
	SingleVersion func(*jobs.Entry) bool
	// Finished returns an earlier result of an item that was listed in another
	// job, if there is one.
	Finished func(item string) (jobs.Result, bool)
	// DueAfter returns how long after its submission a job's results are wanted.
	DueAfter func(*jobs.Entry) time.Duration
	// EventTokens returns how many tokens one event holds; 0 if that is unknown.
	EventTokens func(*jobs.Entry) int
	// Expired says whether a job's items are given up for good.
	Expired func(*jobs.Entry) bool
}

// Tick decides what to stop, list and start.
func (b *Scheduler) Tick(v View) Actions {
	var actions Actions
	b.median = b.medianPace(v.Now)
	b.fastest = b.fastestPace(v.Now)
	v.EventTokens = onceEach(v.EventTokens)
	v.SingleVersion, v.DueAfter, v.Expired = onceEach(v.SingleVersion), onceEach(v.DueAfter), onceEach(v.Expired)
	b.eligible, b.blocked = make(map[*jobs.Entry][]candidate), make(map[string]bool)
	b.sweep(v, &actions)
	b.recount(v)
	onTime := b.onTime(v.Now)
	b.stopStalled(v, onTime, &actions)
	b.startWaiting(v, &actions)
	if onTime {
		b.moveSlow(v, &actions)
	}
	return actions
}

// onceEach makes a function's results last for a tick.
func onceEach[T any](f func(*jobs.Entry) T) func(*jobs.Entry) T {
	known := make(map[*jobs.Entry]T)
	return func(e *jobs.Entry) T {
		result, ok := known[e]
		if !ok {
			result = f(e)
			known[e] = result
		}
		return result
	}
}

// sweep lists decided items, and drops items of ended jobs and listed ones.
func (b *Scheduler) sweep(v View, actions *Actions) {
	b.tasks.Each(func(k string, t *task) bool {
		e := t.job
		if _, listed := e.Committed[t.item.ID]; listed || e.Ended || e.Removed {
			b.drop(k, t, actions)
			return true
		}
		if !t.done {
			b.reuse(v, t)
		}
		if !t.done && v.Expired(e) {
			t.fail()
		}
		if t.done {
			if t.run != nil {
				actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "result is decided"})
				b.release(t)
			}
			actions.Commits = append(actions.Commits, t.listing())
		}
		return true
	})
}

func (b *Scheduler) drop(k string, t *task, actions *Actions) {
	if t.run != nil {
		actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "job ended or item listed"})
		b.release(t)
	}
	if !t.done && len(t.partial.Events) > 0 {
		actions.Cancelled = append(actions.Cancelled, ItemPartial{Job: t.job.Job.ID, Item: t.item.ID, Partial: t.partial})
	}
	b.tasks.Delete(k)
}

// reuse takes an earlier result of an item whose versions fit this job.
func (b *Scheduler) reuse(v View, t *task) {
	if t.run != nil {
		return
	}
	r, ok := v.Finished(t.item.ID)
	if !ok || !jobs.VersionsAllowed(r.Versions, t.job.Job.MinVersion, v.SingleVersion(t.job)) {
		return
	}
	t.reused, t.done = &r, true
}

// onTime says whether this host has read events as they came.
func (b *Scheduler) onTime(now time.Time) bool {
	if !b.ticked.IsZero() && now.Sub(b.ticked) >= b.config.TickDelayThreshold {
		b.late = now.Add(b.config.DelayGrace)
	}
	b.ticked = now
	return !now.Before(b.late)
}

// stopStalled ends runs without progress. A host that is late itself cannot tell
// a silent replica from events that it has not read yet; only replicas that were
// silent for long are given up then.
func (b *Scheduler) stopStalled(v View, onTime bool, actions *Actions) {
	b.tasks.Each(func(_ string, t *task) bool {
		r := t.run
		if r == nil {
			return true
		}
		limit, since := b.config.EventTimeout, r.lastEvent
		if r.events == 0 {
			limit, since = b.config.FirstEventTimeout, r.started
		}
		silent := v.Now.Sub(since)
		if !onTime {
			limit *= lateFactor
		}
		putOff := onTime && silent >= b.config.PreemptTimeout && b.progresses(r.replica, v.Now)
		if silent < limit && !(putOff && b.hasRoomElsewhere(t, v)) {
			return true
		}
		actions.Stops = append(actions.Stops, Stop{Run: r.id, Reason: fmt.Sprintf("no event for %s", silent)})
		if !putOff {
			b.blockAfterFailure(b.pace(r.replica), v.Now)
			b.blocked[r.replica] = true
		}
		b.release(t)
		return true
	})
}

// lateFactor is how many times longer a replica may be silent while this host is
// late.
const lateFactor = 4

// progresses says whether a replica makes events of some run now. A silent run
// there waits for a slot or for memory.
func (b *Scheduler) progresses(replica string, now time.Time) bool {
	p := b.pace(replica)
	return b.known(p, now) && now.Sub(p.measured) < 3*p.perEvent
}

// hasRoomElsewhere says whether another replica has a slot and memory for a run.
func (b *Scheduler) hasRoomElsewhere(t *task, v View) bool {
	to := b.choose(t, v, t.run.replica)
	return to.replica != nil && b.fits(to.replica, t, v)
}

// fits says whether a replica is expected to have memory for an item's whole run.
func (b *Scheduler) fits(r *Replica, t *task, v View) bool {
	return r.MemoryTokens == 0 || b.usage(r.ID).tokens+b.memory(t, v) <= r.MemoryTokens
}

// startWaiting starts items in the order of urgency while replicas have room.
func (b *Scheduler) startWaiting(v View, actions *Actions) {
	for _, t := range b.waiting(v) {
		if c := b.choose(t, v, ""); c.replica != nil {
			actions.Starts = append(actions.Starts, b.start(t, c.replica, v, b.explain(c)))
		}
	}
}

func (b *Scheduler) start(t *task, to *Replica, v View, reason string) Start {
	b.nextRun++
	least, single := t.job.Job.MinVersion, v.SingleVersion(t.job)
	if !jobs.VersionsAllowed(t.partial.Versions, least, single) || (single && len(t.partial.Versions) > 0 && t.partial.Versions[0] != to.Version) {
		t.partial = jobs.Partial{}
	}
	t.run = &run{id: b.nextRun, replica: to.ID, started: v.Now, lastEvent: v.Now}
	b.byRun[t.run.id] = taskKey(t.job.Job.ID, t.item.ID)
	b.count(t, v)
	return Start{
		Run: t.run.id, Job: t.job, Item: t.item, Replica: to.ID, Version: to.Version,
		Partial: t.partial, Reason: reason,
	}
}

// waiting returns the items that may start now, those with the least slack
// first: the time until the job is due less the expected time of the run. In one
// job this puts the longest items first, and a long item of a new job before a
// short one of the job before. Leaving the groups that the trainer does not wait
// for to the end would save nothing: which groups these are is known only when
// the others are whole, and a long item that starts late holds up its group.
func (b *Scheduler) waiting(v View) []*task {
	var tasks []*task
	hasSlot := onceEach(func(e *jobs.Entry) bool { return b.hasSlot(e, v) })
	b.tasks.Each(func(_ string, t *task) bool {
		if t.run == nil && !t.done && !v.Now.Before(t.notBefore) && hasSlot(t.job) {
			t.latest = t.job.ReadAt.Add(v.DueAfter(t.job) - b.expected(t, v))
			tasks = append(tasks, t)
		}
		return true
	})
	slices.SortStableFunc(tasks, func(x, y *task) int { return x.latest.Compare(y.latest) })
	return tasks
}
