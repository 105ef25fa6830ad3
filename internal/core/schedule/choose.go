package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Weights of the score of a replica; a score of 1 is a full replica.
const (
	// groupBonus prefers the replica that already holds the group's prompt.
	groupBonus = 0.10
	// spareCost keeps a replica that was not chosen for the model for the case
	// that the chosen ones are full or gone.
	spareCost = 2.0
	// paceWeightInScore is the cost of events that come twice as slowly as the
	// median.
	paceWeightInScore = 1.0
)

// choose filters and scores the replicas for an item, and picks the best.
func (b *Board) choose(t *task, v View, avoid string) (*Replica, string) {
	var best *Replica
	bestScore, candidates := 0.0, 0
	rows := v.Replicas(t.job)
	for i := range rows {
		r := &rows[i]
		if !b.takes(r, t, v.Now) || r.ID == avoid {
			continue
		}
		candidates++
		s := b.score(r, t, b.median, v.Now)
		if best == nil || s < bestScore {
			best, bestScore = r, s
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("score %.2f, %d candidates, own runs %d, others %d, pace %s", bestScore, candidates, b.running[best.ID], best.OthersRunning, b.pace(best.ID).perEvent)
}

// takes says whether a replica may run an item now.
func (b *Board) takes(r *Replica, t *task, now time.Time) bool {
	return r.Usable && r.Version >= t.job.Job.MinVersion &&
		b.running[r.ID]+r.OthersRunning < r.Slots && !now.Before(b.pace(r.ID).blockedUntil)
}

// score rates a replica; lower is better.
func (b *Board) score(r *Replica, t *task, median time.Duration, now time.Time) float64 {
	s := float64(b.running[r.ID]+r.OthersRunning) / float64(max(r.Slots, 1))
	if p := b.pace(r.ID); median > 0 && b.known(p, now) {
		if slower := float64(p.perEvent)/float64(median) - 1; slower > 0.25 {
			s += paceWeightInScore * slower
		}
	}
	if r.Spare {
		s += spareCost
	}
	if b.holdsGroup(r.ID, t) {
		s -= groupBonus
	}
	return s
}

func (b *Board) holdsGroup(replica string, t *task) bool {
	if t.item.Group == "" {
		return false
	}
	for i := range t.job.Job.Items {
		item := &t.job.Job.Items[i]
		if item.Group != t.item.Group || item.ID == t.item.ID {
			continue
		}
		if other := b.tasks.Get(taskKey(t.job.Job.ID, item.ID)); other != nil && other.run != nil && other.run.replica == replica {
			return true
		}
	}
	return false
}

// medianPace returns the median time between events over the replicas with
// enough events, or 0.
func (b *Board) medianPace(now time.Time) time.Duration {
	var paces []time.Duration
	for _, p := range b.paces {
		if b.known(p, now) {
			paces = append(paces, p.perEvent)
		}
	}
	if len(paces) < 3 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// moveSlow moves runs away from replicas whose events come much more slowly
// than the median. A move costs one prefill of the text so far, a few
// milliseconds, against the rest of the run at the slow pace.
func (b *Board) moveSlow(v View, actions *Actions) {
	median := b.median
	if median == 0 {
		return
	}
	limit := time.Duration(b.config.SlowFactor * float64(median))
	var slow []*task
	b.tasks.Each(func(_ string, t *task) bool {
		if r := t.run; r != nil && r.events >= 2 {
			if p := b.pace(r.replica); b.known(p, v.Now) && p.perEvent > limit {
				slow = append(slow, t)
			}
		}
		return true
	})
	slices.SortStableFunc(slow, func(x, y *task) int { return cmp.Compare(b.expected(y, v), b.expected(x, v)) })
	for _, t := range slow {
		from := t.run.replica
		choice, _ := b.choose(t, v, from)
		if choice == nil || (b.known(b.pace(choice.ID), v.Now) && b.pace(choice.ID).perEvent > limit) {
			continue
		}
		actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: fmt.Sprintf("replica %s is slow: %s an event, median %s", from, b.pace(from).perEvent, median)})
		b.release(t)
		// Stops are carried out before the next tick starts the item elsewhere.
	}
}
