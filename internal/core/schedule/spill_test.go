package schedule

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// countStart records the data centre in which an item was started.
func (s *trainerStep) countStart(start Start) {
	for _, r := range s.replicas {
		if r.ID == start.Replica {
			s.startedIn[r.DataCentre] = append(s.startedIn[r.DataCentre], start.Item.ID)
		}
	}
}

// spread distributes the replicas of a step over data centres and sets the cost of leaving
// the first one.
func (s *trainerStep) spread(dataCentres int) {
	for i := range s.replicas {
		s.replicas[i].DataCentre = fmt.Sprintf("dc-%d", i%dataCentres)
	}
	s.startedIn = make(map[string][]string)
	s.leaving = &Leaving{DataCentre: "dc-0", Terms: spill.DefaultTerms(), ItemBytes: 800, EventBytes: 380}
}

// setLengths gives all items the same length, which is also their hint.
func (s *trainerStep) setLengths(events func(i int) int) {
	for i := range s.entry.Job.Items {
		item := &s.entry.Job.Items[i]
		s.lengths[item.ID] = events(i)
		item.ExpectedOutput = events(i) * testEventTokens
	}
}

func inTime(ends []time.Duration) int {
	n := 0
	for _, end := range ends {
		if end <= testDeadline {
			n++
		}
	}
	return n
}

// Guards against bytes between data centres while local slots are idle and the items end
// in time.
func TestItemsStayWhileLocalSlotsAreFree(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 1)), 4, 4, 9, 8) // 16 items, 24 local slots
	s.spread(3)
	s.setLengths(func(int) int { return 17 })
	s.runToEnd(t)
	must.Len(t, 16, s.startedIn["dc-0"])
}

// Guards against items that wait for local slots, or end late, while other data centres
// have room: a burst must end as early as without the cost of bytes.
func TestBurstUsesAllDataCentres(t *testing.T) {
	for seed := range uint64(10) {
		without := newStep(rand.New(rand.NewPCG(seed, 2)), 30, 4, 9, 8) // 120 items, 72 slots
		with := newStep(rand.New(rand.NewPCG(seed, 2)), 30, 4, 9, 8)
		with.spread(3)
		must.GreaterEq(t, inTime(without.runToEnd(t)), inTime(with.runToEnd(t)))
		must.Greater(t, 0, len(with.startedIn["dc-1"]))
		must.Greater(t, 0, len(with.startedIn["dc-2"]))
	}
}

// playSlowLocal plays 8 items of 120 events and 24 of 12 on slower local replicas and
// faster remote ones. It returns the ends of the groups and the number of long and of short
// items that left.
func playSlowLocal(t *testing.T, slowdown float64) (ends []time.Duration, long, short int) {
	s := newStep(rand.New(rand.NewPCG(3, 3)), 8, 4, 4, 16)
	s.spread(2)
	s.slowdown["r0"], s.slowdown["r2"] = slowdown, slowdown // dc-0
	s.setLengths(func(i int) int {
		if i%4 == 0 {
			return 120
		}
		return 12
	})
	for _, r := range s.replicas { // paces are known from earlier steps
		p := s.scheduler.pace(r.ID)
		p.perEvent, p.events, p.measuredAt, p.wasReliable = s.eventInterval(r.ID), 100, s.now, true
	}
	ends = s.runToEnd(t)
	for _, id := range s.startedIn["dc-1"] {
		if s.lengths[id] == 120 {
			long++
		} else {
			short++
		}
	}
	return ends, long, short
}

// Guards against long items that stay on slow local replicas and would be late, and
// against short ones that leave although they end in time and save less than their bytes
// cost.
func TestLongItemsLeaveSlowReplicas(t *testing.T) {
	ends, long, _ := playSlowLocal(t, 1.7) // 8.2 s locally, 4.8 s elsewhere
	must.EqOp(t, 8, inTime(ends))
	must.EqOp(t, 8, long)
	_, long, short := playSlowLocal(t, 1.05) // 240 ms and 24 ms
	must.EqOp(t, 8, long)
	must.EqOp(t, 0, short)
}

// Guards against other choices than those without spillover while all replicas are in one
// data centre, and against decisions that do not say why.
func TestLeavingChangesNothingWithinDataCentre(t *testing.T) {
	starts := func(leaving *Leaving) string {
		s := newStep(rand.New(rand.NewPCG(5, 5)), 20, 4, 6, 8)
		for i := range s.replicas {
			s.replicas[i].DataCentre = "dc-0"
		}
		s.leaving, s.startedIn = leaving, make(map[string][]string)
		var all strings.Builder
		s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
		for _, start := range s.scheduler.Tick(s.input()).Starts {
			fmt.Fprintln(&all, start.Item.ID, start.Replica, start.Reason)
			must.EqOp(t, leaving != nil, start.Verdict.Reason != "")
		}
		return all.String()
	}
	must.EqOp(t, starts(nil), starts(&Leaving{DataCentre: "dc-0", Terms: spill.DefaultTerms()}))
}
