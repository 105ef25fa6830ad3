package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Conditions for moving a run to another replica.
const (
	// moveCost is the delay that a move adds to the item: the new replica reads
	// the partial output again, which takes some tens of milliseconds for the
	// longest, and the run waits for a tick.
	moveCost = 120 * time.Millisecond
	// minSaving is the minimum time that a move must save.
	minSaving = 250 * time.Millisecond
	// minSavingShare is the minimum share of the remaining run time that a move
	// must save, because lengths and paces are estimates.
	minSavingShare = 0.15
	// minEventsBeforeMove is the number of events that a run must produce on a
	// replica before it can be moved, unless the replica is slowReplicaFactor times
	// as slow as the median. It prevents repeated moves for small differences.
	minEventsBeforeMove = 10
	// slowReplicaFactor is the ratio of a replica's time per event to the median
	// from which the replica counts as faulty.
	slowReplicaFactor = 1.8
	// movesPerTick limits the moves in one tick, so that their effect on the paces
	// of the new replicas is measured before further moves.
	movesPerTick = 6
	// moveInterval is the minimum time between two searches for moves.
	moveInterval = 50 * time.Millisecond
)

// move is a proposal to continue an item's run on another replica, with the time
// that it saves.
type move struct {
	task   *task
	saving time.Duration
	to     choice
}

// moveRuns moves runs to replicas on which they are expected to end earlier: away
// from replicas that became slow, and long runs from permanently slower replicas
// to free slots of faster ones. Moves that save the most time go first.
func (s *Scheduler) moveRuns(in TickInput, actions *Actions) {
	if s.median == 0 || in.Now.Sub(s.lastMoveCheck) < moveInterval {
		return
	}
	s.lastMoveCheck = in.Now
	var moves []move
	s.tasks.Each(func(_ string, t *task) bool {
		if m, ok := s.bestMove(t, in); ok {
			moves = append(moves, m)
		}
		return true
	})
	slices.SortStableFunc(moves, func(x, y move) int { return cmp.Compare(y.saving, x.saving) })
	for _, m := range moves[:min(len(moves), movesPerTick)] {
		// An earlier move of this tick may have taken the slot.
		current, ok := s.bestMove(m.task, in)
		if !ok {
			continue
		}
		from := m.task.run.replica
		actions.Stops = append(actions.Stops, Stop{Run: m.task.run.id, Reason: fmt.Sprintf(
			"replica %s produces an event every %s, %s is expected to produce one every %s: saves %s", from, s.pace(from).perEvent, current.to.replica.ID, s.expectedPace(current.to.replica.ID, in.Now), current.saving)})
		s.release(m.task)
		actions.Starts = append(actions.Starts, s.start(m.task, current.to, in, "moved from "+from+", "+s.explain(current.to)))
	}
}

// bestMove returns the move of a run to the best replica, if it saves enough
// time.
func (s *Scheduler) bestMove(t *task, in TickInput) (move, bool) {
	r := t.run
	if r == nil || r.events < 2 || !s.hasRecentPace(s.pace(r.replica), in.Now) {
		return move{}, false
	}
	events := s.remainingEvents(t, in)
	pace := s.pace(r.replica).perEvent
	if r.events < minEventsBeforeMove && pace < time.Duration(slowReplicaFactor*float64(s.median)) {
		return move{}, false
	}
	timeHere := time.Duration(events * float64(pace))
	if timeHere-time.Duration(events*float64(s.fastest)) < minSaving+moveCost {
		return move{}, false
	}
	to := s.choose(t, in, r.replica)
	// A move to a replica with a rate limit would take the run of a waiting item.
	if to.replica == nil || to.replica.RateLimited {
		return move{}, false
	}
	timeThere := time.Duration(events * float64(s.expectedPace(to.replica.ID, in.Now)))
	saving := timeHere - timeThere - moveCost - s.moveLeaves(t, in, to, events)
	return move{task: t, saving: saving, to: to}, saving >= minSaving && saving >= time.Duration(minSavingShare*float64(timeHere))
}
