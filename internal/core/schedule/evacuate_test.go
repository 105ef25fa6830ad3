package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// reclaim makes some replicas leave after the given time, and returns when they are gone.
func (s *trainerStep) reclaim(ids map[string]bool, notice time.Duration) time.Time {
	gone := s.now.Add(notice)
	for i := range s.replicas {
		if ids[s.replicas[i].ID] {
			s.replicas[i].Usable, s.replicas[i].LeavesAt = false, gone
		}
	}
	return gone
}

// advanceTick runs one tick, commits nothing, and delivers the events until the next one.
func (s *trainerStep) advanceTick() []Start {
	starts := s.tick().Starts
	s.now = s.now.Add(testTick)
	s.advance()
	return starts
}

// Guards against runs that stay on servers that are reclaimed: all spot servers of one of
// three data centres leave 2 s after the notice, in the middle of a round. No run may be on
// them at that time, no event may be generated twice, and the round must be on time.
func TestRunsLeaveReclaimedServersWithTheirOutput(t *testing.T) {
	for seed := range uint64(20) {
		s := newStep(rand.New(rand.NewPCG(seed, 9)), 14, 16, 44, 8)
		spot := make(map[string]bool)
		for _, r := range s.replicas[:15] {
			spot[r.ID] = true
		}
		s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
		for range 50 {
			s.advanceTick()
		}
		gone := s.reclaim(spot, 2*time.Second)
		s.advanceTick()
		for s.now.Before(gone) {
			for _, start := range s.advanceTick() {
				must.False(t, spot[start.Replica], must.Sprintf("seed %d: started on a leaving server", seed))
			}
		}
		for _, r := range s.runs {
			must.False(t, spot[r.start.Replica], must.Sprintf("seed %d: %s still runs on a server that is gone", seed, r.start.Item.ID))
		}
		ends := s.runToEnd(t)
		must.Less(t, testDeadline-50*testTick-2*time.Second, ends[s.entry.Job.WantedGroups-1], must.Sprintf("seed %d", seed))
	}
}

// Guards against moves of runs that end before their server leaves, against moves when no
// other server has a free slot, and against waiting items that take the slots of the others.
func TestOnlyRunsThatCannotEndInTimeMove(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 10)), 1, 1, 2, 4)
	s.replicas[1].Usable = false
	long := s.submit("long", 2, 100*testEventTokens)
	short := s.submit("short", 2, 10*testEventTokens)
	must.SliceLen(t, 2, long)
	must.SliceLen(t, 2, short)
	gone := s.reclaim(map[string]bool{"r0": true}, 2*time.Second)
	must.SliceEmpty(t, s.submit("waiting", 2, 50*testEventTokens), must.Sprint("started without a usable server"))
	s.replicas[1].Usable, s.replicas[1].Slots = true, 1
	actions := s.scheduler.Tick(s.input())
	must.SliceLen(t, 1, actions.Starts)
	must.EqOp(t, "r1", actions.Starts[0].Replica)
	must.EqOp(t, long[0].Item.ExpectedOutput, actions.Starts[0].Item.ExpectedOutput)
	must.EqOp(t, long[0].Run, actions.Stops[0].Run)
	s.now = gone
	must.SliceEmpty(t, s.scheduler.Tick(s.input()).Starts, must.Sprint("started without a free slot"))
}
