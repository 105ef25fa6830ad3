package schedule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// TickInput is the state outside the Scheduler that a tick depends on.
type TickInput struct {
	Now time.Time
	// Outdated is set if a job may have ended so long ago that none of its items may be
	// sent any more, without the host knowing. No run starts or moves then.
	Outdated bool
	// Replicas returns the replicas of a job's service, with their state for the
	// job's model.
	Replicas func(*jobs.Entry) []Replica
	// AnyLeaving reports whether the time is known at which one of them will be gone. It costs
	// less than Replicas.
	AnyLeaving func(*jobs.Entry) bool
	// SingleVersion reports whether each result of a job must be generated under
	// a single weight version.
	SingleVersion func(*jobs.Entry) bool
	// Finished returns the result of an item that was committed in another job, if
	// there is one.
	Finished func(item string) (jobs.Result, bool)
	// DueAfter returns how long after its submission a job's results are due.
	DueAfter func(*jobs.Entry) time.Duration
	// EventTokens returns the number of tokens in one event, or 0 if unknown.
	EventTokens func(*jobs.Entry) int
	// Expired reports whether a job is past its retention, so that its undecided
	// items fail.
	Expired func(*jobs.Entry) bool
	// ScoreTarget returns the service that answers an item's reward call, and false
	// if no route leads to one.
	ScoreTarget func(*jobs.Entry, *jobs.Item) (ScoreTarget, bool)
	// Leaving is set if runs on replicas in other data centres have a cost.
	Leaving *Leaving
}

// Tick decides which runs to stop and start and which results to commit.
func (s *Scheduler) Tick(in TickInput) Actions {
	var actions Actions
	s.median = s.medianPace(in.Now)
	s.fastest = s.fastestPace(in.Now)
	in.Replicas, in.AnyLeaving, in.EventTokens = memoize(in.Replicas), memoize(in.AnyLeaving), memoize(in.EventTokens)
	in.SingleVersion, in.DueAfter, in.Expired = memoize(in.SingleVersion), memoize(in.DueAfter), memoize(in.Expired)
	s.resetTick()
	s.settleItems(in, &actions)
	s.updateUsage(in)
	onTime := s.onTime(in.Now)
	s.stopStalled(in, onTime, &actions)
	if !in.Outdated {
		s.evacuate(in, &actions)
		s.startWaiting(in, &actions)
	}
	s.startScores(in, &actions)
	if onTime && !in.Outdated {
		s.moveRuns(in, &actions)
	}
	return actions
}

// resetTick clears what is valid for one tick.
func (s *Scheduler) resetTick() {
	s.eligible, s.blocked, s.granted = make(map[*jobs.Entry][]candidate), make(map[string]bool), make(map[string]int)
	s.leaves = make(map[*jobs.Entry]map[string]time.Time)
}

// Preview returns the start that an item of a job that was not added would get now. It
// starts nothing. It returns false if no replica can take the item.
func (s *Scheduler) Preview(in TickInput, e *jobs.Entry, item *jobs.Item) (Start, bool) {
	s.resetTick()
	c := s.choose(&task{job: e, item: item}, in, "")
	if c.replica == nil {
		return Start{}, false
	}
	return Start{Job: e, Item: item, Replica: c.replica.ID, Version: c.replica.Version, Reason: s.explain(c), Verdict: c.verdict}, true
}

// memoize caches the results of f for a tick.
func memoize[T any](f func(*jobs.Entry) T) func(*jobs.Entry) T {
	results := make(map[*jobs.Entry]T)
	return func(e *jobs.Entry) T {
		result, ok := results[e]
		if !ok {
			result = f(e)
			results[e] = result
		}
		return result
	}
}

// settleItems decides items whose result can be reused or whose job has expired,
// requests the commits of decided items, and removes committed items and those of
// ended or removed jobs.
func (s *Scheduler) settleItems(in TickInput, actions *Actions) {
	s.tasks.Each(func(k string, t *task) bool {
		e := t.job
		if _, committed := e.Committed[t.item.ID]; committed || e.Ended || e.Removed {
			s.remove(k, t, actions)
			return true
		}
		if !t.outputComplete && !t.decided {
			s.reuseResult(in, t)
		}
		if !t.outputComplete && !t.decided {
			s.reuseOutput(in, t)
		}
		if t.run != nil && !t.hasAllowedOutput() {
			actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "the job does not allow the weight versions of the output"})
			s.discardOutput(t, in.Now)
		}
		if !t.decided && in.Expired(e) {
			t.markFailed()
		}
		if t.decided {
			if t.run != nil {
				actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "result of the item is already decided"})
				s.release(t)
			}
			s.stopScoring(t, "result of the item is already decided", actions)
			actions.Commits = append(actions.Commits, t.commit())
		}
		return true
	})
}

// remove deletes an item, stops its run and, if its result is not decided, adds its
// partial output to actions.Cancelled.
func (s *Scheduler) remove(k string, t *task, actions *Actions) {
	if t.run != nil {
		actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "job ended or result of the item is committed"})
		s.release(t)
	}
	s.stopScoring(t, "job ended or result of the item is committed", actions)
	if !t.decided && len(t.partial.Events) > 0 {
		actions.Cancelled = append(actions.Cancelled, ItemPartial{Job: t.job.Job.ID, Item: t.item.ID, Partial: t.partial})
	}
	s.tasks.Delete(k)
}

// reuseResult takes an item's output from its result in another job if this job
// allows the weight versions of that result. The score is reused only if it belongs
// to the same reward call.
func (s *Scheduler) reuseResult(in TickInput, t *task) {
	if t.run != nil {
		return
	}
	r, ok := in.Finished(t.item.ID)
	if !ok || !jobs.VersionsAllowed(r.Versions, t.job.Job.MinVersion, in.SingleVersion(t.job)) {
		return
	}
	t.reused = &r
	if r.ScoreKey == t.item.ScoreKey {
		t.score = r.Score
	}
	t.completeOutput(in.Now)
}

// reuseOutput takes over a complete stored output if the job allows its weight
// versions, and discards it otherwise.
func (s *Scheduler) reuseOutput(in TickInput, t *task) {
	switch {
	case t.run != nil || !t.partial.Complete:
	case jobs.VersionsAllowed(t.partial.Versions, t.job.Job.MinVersion, in.SingleVersion(t.job)):
		t.completeOutput(in.Now)
	default:
		t.partial = jobs.Partial{}
	}
}

// onTime reports whether this host has read events without delay, judged by the
// intervals between its ticks.
func (s *Scheduler) onTime(now time.Time) bool {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) >= s.config.TickDelayThreshold {
		s.delayedUntil = now.Add(s.config.DelayGrace)
	}
	s.lastTick = now
	return !now.Before(s.delayedUntil)
}

// stopStalled stops runs without progress and blocks their replicas, except those
// that only preempted the run. A delayed host cannot distinguish a silent replica
// from events that it has not read yet, so the timeouts are longer then.
func (s *Scheduler) stopStalled(in TickInput, onTime bool, actions *Actions) {
	s.tasks.Each(func(_ string, t *task) bool {
		r := t.run
		if r == nil {
			return true
		}
		limit, since := s.config.EventTimeout, r.lastEvent
		if r.events == 0 {
			limit, since = s.config.FirstEventTimeout, r.started
		}
		silent := in.Now.Sub(since)
		if !onTime {
			limit *= delayedTimeoutFactor
		}
		preempted := onTime && !in.Outdated && silent >= s.config.PreemptTimeout && s.makesProgress(r.replica, in.Now)
		if silent < limit && !(preempted && s.hasCapacityElsewhere(t, in)) {
			return true
		}
		actions.Stops = append(actions.Stops, Stop{Run: r.id, Reason: fmt.Sprintf("no event for %s", silent)})
		if !preempted {
			s.blockAfterFailure(s.pace(r.replica), in.Now)
			s.blocked[r.replica] = true
		}
		s.release(t)
		return true
	})
}

// delayedTimeoutFactor extends the event timeouts while this host is delayed.
const delayedTimeoutFactor = 4

// makesProgress reports whether a replica currently produces events for any run.
// A silent run on such a replica waits for a slot or for memory.
func (s *Scheduler) makesProgress(replica string, now time.Time) bool {
	p := s.pace(replica)
	return s.hasRecentPace(p, now) && now.Sub(p.measuredAt) < 3*p.perEvent
}

// hasCapacityElsewhere reports whether another replica has a free slot and enough
// memory for a task's run.
func (s *Scheduler) hasCapacityElsewhere(t *task, in TickInput) bool {
	return s.choose(t, in, t.run.replica).replica != nil
}

// hasMemoryFor reports whether a replica is expected to have enough memory for an
// item with the given need until the end of its run.
func (s *Scheduler) hasMemoryFor(r *Replica, need int) bool {
	return r.MemoryTokens == 0 || s.usage(r.ID).tokens+need <= r.MemoryTokens
}

// startWaiting starts runnable items in the order of urgency while replicas have
// free slots.
func (s *Scheduler) startWaiting(in TickInput, actions *Actions) {
	for _, t := range s.runnable(in) {
		if c := s.choose(t, in, ""); c.replica != nil {
			actions.Starts = append(actions.Starts, s.start(t, c, in, s.explain(c)))
		}
	}
	actions.NeedGrant = s.needGrant(in)
}

// needGrant returns the replicas with a rate limit that have free slots, but no
// further granted runs, for items that could not start.
func (s *Scheduler) needGrant(in TickInput) []string {
	replicas, checked := make(map[string]bool), make(map[*jobs.Entry]bool)
	s.tasks.Each(func(_ string, t *task) bool {
		if !t.waiting(in.Now) || checked[t.job] {
			return true
		}
		checked[t.job] = true
		list := s.candidates(t.job, in)
		for i := range list {
			if c := &list[i]; c.usage.runs < c.Slots && !s.isGranted(c) {
				replicas[c.ID] = true
			}
		}
		return true
	})
	return slices.Sorted(maps.Keys(replicas))
}

// waiting reports whether an item needs a run now.
func (t *task) waiting(now time.Time) bool {
	return t.run == nil && !t.decided && !t.outputComplete && !now.Before(t.notBefore)
}

// discardsOutput reports whether the job does not allow to continue a task's partial output
// on a replica.
func discardsOutput(t *task, to *Replica, in TickInput) bool {
	versions, single := t.partial.Versions, in.SingleVersion(t.job)
	return !jobs.VersionsAllowed(versions, t.job.Job.MinVersion, single) || (single && len(versions) > 0 && versions[0] != to.Version)
}

// start creates a run of an item on a replica. It discards a partial output that
// the job does not allow to continue there.
func (s *Scheduler) start(t *task, c choice, in TickInput, reason string) Start {
	to := c.replica
	s.nextRun++
	if discardsOutput(t, to, in) {
		t.partial = jobs.Partial{}
	}
	t.run = &run{id: s.nextRun, replica: to.ID, started: in.Now, lastEvent: in.Now, singleVersion: in.SingleVersion(t.job)}
	s.granted[to.ID]++
	s.byRun[t.run.id] = taskKey(t.job.Job.ID, t.item.ID)
	s.addUsage(t, in)
	return Start{
		Run: t.run.id, Job: t.job, Item: t.item, Replica: to.ID, Version: to.Version,
		Partial: t.partial, Reason: reason, Verdict: c.verdict,
	}
}

// runnable returns the items that can start now, ordered by slack: the time until
// the job is due minus the expected duration of the run. Within a job this puts
// the longest items first, and across jobs a long item of a new job before a
// short one of an older job. Deferring the groups that the trainer does not wait
// for would save nothing: which groups these are is known only when the others
// are complete, and a long item that starts late delays its group.
func (s *Scheduler) runnable(in TickInput) []*task {
	var tasks []*task
	anyFreeSlot := memoize(func(e *jobs.Entry) bool { return s.anyFreeSlot(e, in) })
	s.tasks.Each(func(_ string, t *task) bool {
		if t.waiting(in.Now) && anyFreeSlot(t.job) {
			t.latestStart = t.job.ReadAt.Add(in.DueAfter(t.job) - s.remainingTime(t, in))
			tasks = append(tasks, t)
		}
		return true
	})
	slices.SortStableFunc(tasks, func(x, y *task) int { return x.latestStart.Compare(y.latestStart) })
	return tasks
}
