package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// submit adds a job whose items have the same length hint and returns the runs
// that start.
func (s *trainerStep) submit(id string, items, hint int) []Start {
	job := &jobs.Job{ID: id, MinVersion: 1}
	for i := range items {
		job.Items = append(job.Items, jobs.Item{ID: fmt.Sprintf("%s-%d", id, i), PromptTokens: testPrompt, ExpectedOutput: hint})
	}
	entry := &jobs.Entry{Job: job, ReadAt: s.now, Committed: make(map[string]int)}
	s.scheduler.AddJob(entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	return s.scheduler.Tick(s.input()).Starts
}

func (s *trainerStep) anyLeaving(*jobs.Entry) bool {
	return slices.ContainsFunc(s.replicas, func(r Replica) bool { return !r.LeavesAt.IsZero() })
}

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

// startOne starts the only item of a job on the only usable replica, and delivers events under
// weight version 1 until half of the hint is left.
func startOne(t *testing.T, s *trainerStep) Start {
	starts := s.submit("long", 1, 100*testEventTokens)
	must.SliceLen(t, 1, starts)
	for i := range 50 {
		s.now = s.now.Add(50 * time.Millisecond)
		s.scheduler.RecordEvent(starts[0].Run, int64(i), "x", 1, s.now)
	}
	return starts[0]
}

// Guards against a run that stays on a leaving replica because the best of the others lacks
// the memory for it.
func TestRunLeavesForAReplicaWithMemory(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 11)), 1, 1, 3, 4)
	s.replicas[1].Usable, s.replicas[2].Usable = false, false
	start := startOne(t, s)
	must.EqOp(t, "r0", start.Replica)
	for id, perEvent := range map[string]time.Duration{"r0": 50, "r1": 45, "r2": 90} {
		*s.scheduler.pace(id) = pace{perEvent: perEvent * time.Millisecond, events: 20, measuredAt: s.now, wasReliable: true}
	}
	need := s.scheduler.memoryNeed(s.scheduler.tasks.Get(taskKey("long", "long-0")), s.input())
	s.replicas[1].Usable, s.replicas[1].MemoryTokens = true, need-1
	s.replicas[2].Usable, s.replicas[2].MemoryTokens = true, 100*need
	s.reclaim(map[string]bool{"r0": true}, 2*time.Second)
	moved := s.scheduler.Tick(s.input()).Starts
	must.SliceLen(t, 1, moved)
	must.EqOp(t, "r2", moved[0].Replica)
}

// Guards against a move that discards an output which the leaving replica can complete, and
// against none where it cannot: the job allows a single weight version.
func TestMoveDiscardsOutputOnlyIfItWouldBeLost(t *testing.T) {
	for notice, moves := range map[time.Duration]int{2700 * time.Millisecond: 0, 2 * time.Second: 1} {
		s := newStep(rand.New(rand.NewPCG(1, 12)), 1, 1, 2, 4)
		s.replicas[0].Version, s.replicas[1].Version, s.replicas[1].Usable = 1, 2, false
		start := startOne(t, s)
		s.replicas[1].Usable = true
		s.reclaim(map[string]bool{start.Replica: true}, notice) // the rest takes some 2.5 s
		in := s.input()
		in.SingleVersion = func(*jobs.Entry) bool { return true }
		must.SliceLen(t, moves, s.scheduler.Tick(in).Starts, must.Sprint(notice))
	}
}

// Guards against rows of replicas that are built several times in a tick, or for a job with
// nothing to start while no replica is leaving.
func TestReplicasAreReadOnceAndOnlyIfNeeded(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 13)), 1, 1, 2, 4)
	s.replicas[1].Usable = false
	startOne(t, s)
	calls := 0
	tick := func() int {
		calls = 0
		in := s.input()
		in.Replicas = func(*jobs.Entry) []Replica { calls++; return s.replicas }
		s.scheduler.Tick(in)
		return calls
	}
	must.EqOp(t, 0, tick())
	s.replicas[1].Usable = true
	s.reclaim(map[string]bool{"r0": true}, time.Second)
	must.EqOp(t, 1, tick())
}
