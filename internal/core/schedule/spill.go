package schedule

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// Leaving describes runs on replicas in other data centres than the scheduler's. The
// scheduler places the items of a service for all data centres, so no other one sends in
// the opposite direction.
type Leaving struct {
	DataCentre string // of this scheduler
	Terms      spill.Terms
	ItemBytes  int // sent for an item
	EventBytes int // received for an event
}

// inTimeShare is the share of the time until an item is due within which a run has to be
// expected to end to count as in time: some items are twice as long as their hint.
const inTimeShare = 0.5

// leavingCost is the cost of leaving for one item during a tick.
type leavingCost struct {
	*Leaving
	anyLocal bool // a local replica can run the item
	anyFree  bool // one of them can start it now
	inTime   bool // one of these is expected to end it in time
	seconds  float64
}

// leavingCost returns the cost of leaving for an item with the given number of remaining
// events, or nil if data centres make no difference.
func (s *Scheduler) leavingCost(t *task, in TickInput, events float64, avoid string) *leavingCost {
	if in.Leaving == nil {
		return nil
	}
	l := &leavingCost{Leaving: in.Leaving}
	untilDue := t.job.ReadAt.Add(in.DueAfter(t.job)).Sub(in.Now)
	list := s.candidates(t.job, in)
	for i := range list {
		c := &list[i]
		if !l.isLocal(c.Replica) || c.ID == avoid || s.blocked[c.ID] {
			continue
		}
		l.anyLocal = true
		if !s.canStart(c) {
			continue
		}
		l.anyFree = true
		l.inTime = l.inTime || events*c.pace.Seconds() <= inTimeShare*untilDue.Seconds()
	}
	l.seconds = l.cost(events, l.inTime).Seconds()
	if l.inTime {
		// An idle replica elsewhere is no reason to leave while local ones have free slots.
		l.seconds += occupancyCost
	}
	return l
}

func (l *Leaving) isLocal(r *Replica) bool { return r.DataCentre == l.DataCentre }

// cost returns the time that leaving must save for an item with the given number of
// remaining events.
func (l *Leaving) cost(events float64, inTime bool) time.Duration {
	return l.Terms.Cost(l.ItemBytes+int(events*float64(l.EventBytes)), inTime)
}

// add returns the cost that is added to the score of a replica.
func (l *leavingCost) add(r *Replica) float64 {
	if l == nil || l.isLocal(r) {
		return 0
	}
	return l.seconds
}

// verdict explains the choice of a replica.
func (l *leavingCost) verdict(r *Replica) spill.Verdict {
	switch {
	case l == nil || r == nil:
		return spill.Verdict{}
	case l.isLocal(r) && l.inTime:
		return spill.Verdict{Reason: spill.InTime}
	case l.isLocal(r):
		return spill.Verdict{Reason: spill.NoGain}
	case !l.anyLocal:
		return spill.Verdict{DataCentre: r.DataCentre, Reason: spill.NoLocalServer}
	case !l.anyFree:
		return spill.Verdict{DataCentre: r.DataCentre, Reason: spill.Full}
	case !l.inTime:
		return spill.Verdict{DataCentre: r.DataCentre, Reason: spill.Late}
	}
	return spill.Verdict{DataCentre: r.DataCentre, Reason: spill.Faster}
}

// moveLeaves returns the cost of a move from a local replica to another data centre,
// which the move has to save. A run that is in another data centre already pays nothing.
func (s *Scheduler) moveLeaves(t *task, in TickInput, to choice, events float64) time.Duration {
	if in.Leaving == nil || !to.verdict.Leaves() {
		return 0
	}
	for _, c := range s.candidates(t.job, in) {
		if c.ID == t.run.replica && !in.Leaving.isLocal(c.Replica) {
			return 0
		}
	}
	untilDue := t.job.ReadAt.Add(in.DueAfter(t.job)).Sub(in.Now)
	inTime := events*s.pace(t.run.replica).perEvent.Seconds() <= inTimeShare*untilDue.Seconds()
	return in.Leaving.cost(events, inTime)
}
