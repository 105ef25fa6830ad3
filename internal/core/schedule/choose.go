package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// The score of a replica for an item is the time in which the item's run is
// expected to end there, plus these costs. All are in seconds.
const (
	// crowdCost is the cost of a replica with all slots taken: each run makes
	// the others a little slower.
	crowdCost = 0.3
	// memoryCost is the cost of a replica whose runs are expected to need twice
	// its memory. A replica without memory puts its newest run off until another
	// one ends.
	memoryCost = 10.0
	// memoryShare is the share of a replica's memory that may be planned for:
	// expected lengths are often far off, and finished prompts leave late.
	memoryShare = 0.9
	// groupBonus prefers the replica that already holds the group's prompt.
	groupBonus = 0.05
	// spareCost leaves a replica that was not chosen for the model to the models
	// that it was chosen for.
	spareCost = 0.2
)

// choice is a replica for a run and why it was chosen.
type choice struct {
	replica    *Replica
	score      float64
	candidates int
}

// candidate is a replica that may run items of a job during a tick.
type candidate struct {
	*Replica
	usage *usage
	pace  time.Duration
}

func (c *candidate) free() bool { return c.usage.runs < c.Slots }

// candidates returns the replicas that may run items of a job, whether they have
// a free slot or not. They are the same for a whole tick.
func (b *Scheduler) candidates(e *jobs.Entry, v View) []candidate {
	known, ok := b.eligible[e]
	if ok {
		return known
	}
	rows := v.Replicas(e)
	for i := range rows {
		r := &rows[i]
		if r.Usable && r.Version >= e.Job.MinVersion && !v.Now.Before(b.pace(r.ID).blockedUntil) {
			known = append(known, candidate{Replica: r, usage: b.usage(r.ID), pace: b.paceOf(r.ID, v.Now)})
		}
	}
	b.eligible[e] = known
	return known
}

// hasSlot says whether some replica has a free slot for items of a job.
func (b *Scheduler) hasSlot(e *jobs.Entry, v View) bool {
	list := b.candidates(e, v)
	for i := range list {
		if list[i].free() {
			return true
		}
	}
	return false
}

// choose filters and scores the replicas for an item, and picks the best.
func (b *Scheduler) choose(t *task, v View, avoid string) choice {
	var best choice
	list := b.candidates(t.job, v)
	events, memory, group := b.remaining(t, v), b.memory(t, v), groupKey(t)
	for i := range list {
		c := &list[i]
		if !c.free() || c.ID == avoid || b.blocked[c.ID] {
			continue
		}
		s := c.score(events, memory, group)
		if best.replica == nil || s < best.score {
			best.replica, best.score = c.Replica, s
		}
		best.candidates++
	}
	return best
}

func (b *Scheduler) explain(c choice) string {
	u := b.usage(c.replica.ID)
	return fmt.Sprintf("score %.2f, %d candidates, runs %d, tokens %d of %d, pace %s", c.score, c.candidates, u.runs, u.tokens, c.replica.MemoryTokens, b.pace(c.replica.ID).perEvent)
}

// score rates a replica for an item that has some events left and needs some
// memory; lower is better.
func (c *candidate) score(events float64, memory int, group string) float64 {
	s := events * c.pace.Seconds()
	s += crowdCost * float64(c.usage.runs) / float64(max(c.Slots, 1))
	if c.MemoryTokens > 0 {
		needed := float64(c.usage.tokens+memory) / float64(c.MemoryTokens)
		s += memoryCost * max(needed-memoryShare, 0)
	}
	if c.Unassigned {
		s += spareCost
	}
	if c.usage.groups[group] > 0 {
		s -= groupBonus
	}
	return s
}

// medianPace returns the median time between events over the replicas with
// enough events, or 0.
func (b *Scheduler) medianPace(now time.Time) time.Duration {
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

// fastestPace returns the least expected time between events of a replica.
func (b *Scheduler) fastestPace(now time.Time) time.Duration {
	fastest := b.median
	for id := range b.paces {
		fastest = min(fastest, b.paceOf(id, now))
	}
	return fastest
}

// rememberedFactor is how much slower than the median a replica may have been
// when its last events came to be expected to be as slow again. Replicas differ
// for good by some tens of percent; one that was slower than that had trouble,
// which may be over.
const rememberedFactor = 1.5

// paceOf returns the expected time between events of a replica.
func (b *Scheduler) paceOf(replica string, now time.Time) time.Duration {
	p := b.paces[replica]
	usual := b.median
	if usual == 0 {
		usual = defaultPace
	}
	switch {
	case p == nil || p.perEvent == 0:
		return usual
	case b.known(p, now):
		return p.perEvent
	case p.settled && p.perEvent <= time.Duration(rememberedFactor*float64(usual)):
		return p.perEvent
	}
	return usual
}
