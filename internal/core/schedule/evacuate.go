package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// leaveMargin is kept before the time at which a replica is expected to be gone: its
	// notice was read late by up to about a heartbeat of the registry.
	leaveMargin = 500 * time.Millisecond
	// leaveSafety is the factor by which a run's expected rest is extended before it
	// counts as one that ends in time, because lengths are often underestimated.
	leaveSafety = 1.3
)

// leavingRun is a run on a replica that will be gone before the run is expected to end.
type leavingRun struct {
	task *task
	rest time.Duration // expected duration of the rest of the run
	left time.Duration // time until the replica is gone
}

// evacuate moves the runs that cannot end before their replica is gone, those with the
// longest rest first, to other replicas as far as these have free slots and memory. It
// precedes the start of waiting items. The load is a reclaim: all spot servers of a data
// centre leave within 2 s of the notice, in the middle of a round.
func (s *Scheduler) evacuate(in TickInput, actions *Actions) {
	var runs []leavingRun
	s.tasks.Each(func(_ string, t *task) bool {
		if l, ok := s.leavingRun(t, in); ok {
			runs = append(runs, l)
		}
		return true
	})
	slices.SortStableFunc(runs, func(x, y leavingRun) int { return cmp.Compare(y.rest, x.rest) })
	for _, l := range runs {
		from := l.task.run.replica
		to := s.choose(l.task, in, from)
		if to.replica == nil || l.rest <= l.left && discardsOutput(l.task, to.replica, in) {
			continue // an output that would be discarded is completed here if it is expected to be in time
		}
		actions.Stops = append(actions.Stops, Stop{Run: l.task.run.id, Reason: fmt.Sprintf(
			"replica %s leaves in %s, the run is expected to take %s", from, l.left, l.rest)})
		s.release(l.task)
		actions.Starts = append(actions.Starts, s.start(l.task, to, in, "moved from leaving "+from+", "+s.explain(to)))
	}
}

// leavingRun returns the run of a task if its replica will be gone before it is expected to
// end. A run whose replica stays longer than that is not moved: a move delays the item.
func (s *Scheduler) leavingRun(t *task, in TickInput) (leavingRun, bool) {
	if t.run == nil || !in.AnyLeaving(t.job) {
		return leavingRun{}, false
	}
	leavesAt := s.leaveTimes(t, in)[t.run.replica]
	if leavesAt.IsZero() {
		return leavingRun{}, false
	}
	rest := time.Duration(s.remainingEvents(t, in) * float64(s.expectedPace(t.run.replica, in.Now)))
	left := leavesAt.Sub(in.Now)
	return leavingRun{task: t, rest: rest, left: left}, time.Duration(leaveSafety*float64(rest)) > left-leaveMargin
}

// leaveTimes returns the times at which replicas of a task's service will be gone. The
// result is cached for the tick.
func (s *Scheduler) leaveTimes(t *task, in TickInput) map[string]time.Time {
	times, ok := s.leaves[t.job]
	if ok {
		return times
	}
	for _, r := range in.Replicas(t.job) {
		if !r.LeavesAt.IsZero() {
			if times == nil {
				times = make(map[string]time.Time)
			}
			times[r.ID] = r.LeavesAt
		}
	}
	s.leaves[t.job] = times
	return times
}
