package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// Costs that are added to a replica's score for an item. The score itself is the
// expected duration of the item's run on the replica; all values are in seconds.
const (
	// occupancyCost applies in full to a replica with all slots taken and in
	// proportion otherwise: each run slows the others down a little.
	occupancyCost = 0.3
	// memoryCost applies in proportion to the expected memory need beyond the
	// usable share: exceeding it by the whole memory of the replica costs this
	// much. A replica that runs out of memory preempts its newest run until
	// another one ends.
	memoryCost = 10.0
	// usableMemoryShare is the share of a replica's memory that can be allocated
	// without cost. The rest is a reserve: expected lengths are often far off, and
	// the memory of finished prompts is freed with a delay.
	usableMemoryShare = 0.9
	// groupBonus favours a replica that already holds the group's prompt.
	groupBonus = 0.05
	// unassignedCost reserves a replica that is not assigned to the model for the
	// models that it is assigned to.
	unassignedCost = 0.2
)

// choice is the replica selected for a run, with its score and the number of
// replicas it was selected from. The replica is nil if there was none.
type choice struct {
	replica    *Replica
	score      float64
	candidates int
	verdict    spill.Verdict // why the item leaves its data centre or stays; zero if that makes no difference
}

// candidate is a replica that is eligible to run items of a job during a tick.
type candidate struct {
	*Replica
	usage *usage
	pace  time.Duration
}

// isGranted reports whether the rate limit of a replica, if it has one, allows another
// run in this tick.
func (s *Scheduler) isGranted(c *candidate) bool { return !c.RateLimited || s.granted[c.ID] < c.Grants }

// canStart reports whether another run may be started on a replica.
func (s *Scheduler) canStart(c *candidate) bool { return c.usage.runs < c.Slots && s.isGranted(c) }

// candidates returns the replicas that are eligible to run items of a job,
// including those without a free slot. The result is cached for the tick.
func (s *Scheduler) candidates(e *jobs.Entry, in TickInput) []candidate {
	list, ok := s.eligible[e]
	if ok {
		return list
	}
	rows := in.Replicas(e)
	for i := range rows {
		r := &rows[i]
		if r.Usable && r.Version >= e.Job.MinVersion && !in.Now.Before(s.pace(r.ID).blockedUntil) {
			list = append(list, candidate{Replica: r, usage: s.usage(r.ID), pace: s.expectedPace(r.ID, in.Now)})
		}
	}
	s.eligible[e] = list
	return list
}

// anyFreeSlot reports whether another run of a job may be started on any eligible
// replica.
func (s *Scheduler) anyFreeSlot(e *jobs.Entry, in TickInput) bool {
	list := s.candidates(e, in)
	for i := range list {
		if s.canStart(&list[i]) {
			return true
		}
	}
	return false
}

// choose returns the replica with the lowest score for an item among those on which
// another run may be started. It skips those blocked during this tick. For a task that has a
// run on the replica avoid, it also skips that and those without the memory for the run.
func (s *Scheduler) choose(t *task, in TickInput, avoid string) choice {
	var best choice
	list := s.candidates(t.job, in)
	events, memoryNeed, group := s.remainingEvents(t, in), s.memoryNeed(t, in), groupKey(t)
	leaving := s.leavingCost(t, in, events, avoid)
	for i := range list {
		c := &list[i]
		if !s.canStart(c) || c.ID == avoid || s.blocked[c.ID] {
			continue
		}
		if avoid != "" && !s.hasMemoryFor(c.Replica, memoryNeed) {
			continue
		}
		cost := c.score(events, memoryNeed, group) + leaving.add(c.Replica)
		if best.replica == nil || cost < best.score {
			best.replica, best.score = c.Replica, cost
		}
		best.candidates++
	}
	best.verdict = leaving.verdict(best.replica)
	return best
}

func (s *Scheduler) explain(c choice) string {
	u := s.usage(c.replica.ID)
	return fmt.Sprintf("score %.2f, %d candidates, runs %d, tokens %d of %d, pace %s", c.score, c.candidates, u.runs, u.tokens, c.replica.MemoryTokens, s.pace(c.replica.ID).perEvent)
}

// score rates the replica for an item with the given number of remaining events
// and memory need in tokens. Lower is better.
func (c *candidate) score(events float64, memory int, group string) float64 {
	s := events * c.pace.Seconds()
	s += occupancyCost * float64(c.usage.runs) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		needed := float64(c.usage.tokens+memory) / float64(c.MemoryTokens)
		s += memoryCost * max(needed-usableMemoryShare, 0)
	}
	if c.Unassigned {
		s += unassignedCost
	}
	if c.usage.groups[group] > 0 {
		s -= groupBonus
	}
	return s
}

// medianPace returns the median time between events over the replicas with a
// recent pace, or 0 if there are fewer than three.
func (s *Scheduler) medianPace(now time.Time) time.Duration {
	var paces []time.Duration
	for _, p := range s.paces {
		if s.hasRecentPace(p, now) {
			paces = append(paces, p.perEvent)
		}
	}
	if len(paces) < 3 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// fastestPace returns the shortest expected time between events over all
// replicas.
func (s *Scheduler) fastestPace(now time.Time) time.Duration {
	fastest := s.median
	for id := range s.paces {
		fastest = min(fastest, s.expectedPace(id, now))
	}
	return fastest
}

// retainedPaceFactor limits, as a multiple of the median, the slowness that is
// still expected of a replica after its measured pace has expired. Replicas
// differ permanently by some tens of percent; a larger difference indicates a
// fault, which may have passed since.
const retainedPaceFactor = 1.5

// expectedPace returns the expected time between events of a replica: its recent
// pace, its expired pace within retainedPaceFactor, or the median.
func (s *Scheduler) expectedPace(replica string, now time.Time) time.Duration {
	p := s.paces[replica]
	typical := s.median
	if typical == 0 {
		typical = defaultPace
	}
	switch {
	case p == nil || p.perEvent == 0:
		return typical
	case s.hasRecentPace(p, now):
		return p.perEvent
	case p.wasReliable && p.perEvent <= time.Duration(retainedPaceFactor*float64(typical)):
		return p.perEvent
	}
	return typical
}
