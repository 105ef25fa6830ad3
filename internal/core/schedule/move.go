package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of moves.
const (
	// moveCost is what a move costs the item: its text so far is read again,
	// some tens of milliseconds for the longest, and a tick passes.
	moveCost = 120 * time.Millisecond
	// minGain is the least time that a move must save.
	minGain = 250 * time.Millisecond
	// minGainShare is the least share of the rest of the run that a move must
	// save: lengths and paces are estimates.
	minGainShare = 0.15
	// settledEvents is how many events a run makes on a replica before it may
	// move for less than slowFactor: a run that has just moved is not moved on
	// for a small difference.
	settledEvents = 10
	// slowFactor is how many times as long as elsewhere events take on a replica
	// that has trouble.
	slowFactor = 1.8
	// movesPerTick bounds the moves that one tick decides, so that the paces of
	// the new replicas are seen before the next ones.
	movesPerTick = 6
	// moveInterval is the least time between two looks for moves.
	moveInterval = 50 * time.Millisecond
)

// move is a run that would end earlier on another replica.
type move struct {
	task *task
	gain time.Duration
	to   choice
}

// moveSlow moves runs to replicas on which they end earlier: away from replicas
// that turned slow, and long runs from replicas that are always slower to free
// slots of faster ones. The runs that gain most go first.
func (b *Scheduler) moveSlow(v View, actions *Actions) {
	if b.median == 0 || v.Now.Sub(b.moved) < moveInterval {
		return
	}
	b.moved = v.Now
	var moves []move
	b.tasks.Each(func(_ string, t *task) bool {
		if m, ok := b.gain(t, v); ok {
			moves = append(moves, m)
		}
		return true
	})
	slices.SortStableFunc(moves, func(x, y move) int { return cmp.Compare(y.gain, x.gain) })
	for _, m := range moves[:min(len(moves), movesPerTick)] {
		// An earlier move of this tick may have taken the place.
		again, ok := b.gain(m.task, v)
		if !ok {
			continue
		}
		from := m.task.run.replica
		actions.Stops = append(actions.Stops, Stop{Run: m.task.run.id, Reason: fmt.Sprintf(
			"replica %s makes an event each %s, %s can make one each %s: saves %s", from, b.pace(from).perEvent, again.to.replica.ID, b.paceOf(again.to.replica.ID, v.Now), again.gain)})
		b.release(m.task)
		actions.Starts = append(actions.Starts, b.start(m.task, again.to.replica, v, "moved from "+from+", "+b.explain(again.to)))
	}
}

// gain returns the best move of a run, if one is worth it.
func (b *Scheduler) gain(t *task, v View) (move, bool) {
	r := t.run
	if r == nil || r.events < 2 || !b.known(b.pace(r.replica), v.Now) {
		return move{}, false
	}
	events := b.remaining(t, v)
	pace := b.pace(r.replica).perEvent
	if r.events < settledEvents && pace < time.Duration(slowFactor*float64(b.median)) {
		return move{}, false
	}
	here := time.Duration(events * float64(pace))
	if here-time.Duration(events*float64(b.fastest)) < minGain+moveCost {
		return move{}, false
	}
	to := b.choose(t, v, r.replica)
	if to.replica == nil || !b.fits(to.replica, t, v) {
		return move{}, false
	}
	there := time.Duration(events * float64(b.paceOf(to.replica.ID, v.Now)))
	gain := here - there - moveCost
	return move{task: t, gain: gain, to: to}, gain >= minGain && gain >= time.Duration(minGainShare*float64(here))
}
