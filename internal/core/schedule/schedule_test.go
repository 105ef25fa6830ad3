package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

const (
	testEventInterval = 40 * time.Millisecond
	testTick          = 20 * time.Millisecond
	testEventTokens   = 58
	testMaxEvents     = 192
	testPrompt        = 300
	// testDeadline is the time after which a group misses its step: due_ms plus the
	// 0.7 s that the rules of the platform add.
	testDeadline = 8200 * time.Millisecond
)

// trainerStep simulates one job of a trainer on replicas that produce an event of
// each run every testEventInterval.
type trainerStep struct {
	scheduler   *Scheduler
	entry       *jobs.Entry
	replicas    []Replica
	lengths     map[string]int
	runs        map[int64]*simulatedRun
	slowdown    map[string]float64 // factor of the event interval by replica
	jitter      func() float64     // random factor of one event interval
	stops       int
	resumed     map[string]int // runs that continue another one, by replica
	now         time.Time
	completedAt map[string]time.Duration // by item, since the start of the step
	leaving     *Leaving
	startedIn   map[string][]string // items by data centre, counted with leaving
}

type simulatedRun struct {
	start     Start
	events    int
	nextEvent time.Time
}

// newStep draws item lengths from a heavy-tailed distribution and length hints
// that are correct at the median and often far off.
func newStep(r *rand.Rand, groups, size, replicas, slots int) *trainerStep {
	s := &trainerStep{
		scheduler: NewScheduler(Defaults()), lengths: make(map[string]int), runs: make(map[int64]*simulatedRun),
		slowdown: make(map[string]float64), resumed: make(map[string]int), now: time.Unix(1000, 0), completedAt: make(map[string]time.Duration),
	}
	job := &jobs.Job{ID: "job", WantedGroups: groups * 9 / 10, MinVersion: 1}
	for i := range groups * size {
		id := fmt.Sprintf("item-%03d", i)
		length := 20 * math.Exp(0.9*r.NormFloat64()-0.4)
		if r.Float64() < 0.08 {
			length *= 5
		}
		s.lengths[id] = int(min(max(length, 1), testMaxEvents))
		hint := float64(s.lengths[id]*testEventTokens) * math.Exp(0.5*r.NormFloat64())
		job.Items = append(job.Items, jobs.Item{ID: id, Group: fmt.Sprintf("g%d", i/size), PromptTokens: testPrompt, ExpectedOutput: int(hint)})
	}
	s.entry = &jobs.Entry{Job: job, ReadAt: s.now, Committed: make(map[string]int)}
	for i := range replicas {
		s.replicas = append(s.replicas, Replica{ID: fmt.Sprintf("r%d", i), Slots: slots, Usable: true, Version: 1})
	}
	return s
}

func (s *trainerStep) input() TickInput {
	return TickInput{
		Now:           s.now,
		Replicas:      func(*jobs.Entry) []Replica { return s.replicas },
		AnyLeaving:    s.anyLeaving,
		SingleVersion: func(*jobs.Entry) bool { return false },
		Finished:      func(string) (jobs.Result, bool) { return jobs.Result{}, false },
		Expired:       func(*jobs.Entry) bool { return false },
		DueAfter:      func(*jobs.Entry) time.Duration { return 7500 * time.Millisecond },
		EventTokens:   func(*jobs.Entry) int { return testEventTokens },
		Leaving:       s.leaving,
	}
}

// runToEnd simulates the step to its end and returns the completion times of the
// groups in ascending order.
func (s *trainerStep) runToEnd(t *testing.T) []time.Duration {
	t.Helper()
	begin := s.now
	for len(s.completedAt) < len(s.lengths) {
		must.Less(t, time.Minute, s.now.Sub(begin), must.Sprint("step not complete after one minute"))
		s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
		for _, commit := range s.tick().Commits {
			must.EqOp(t, s.lengths[commit.Result.Item], countEvents(commit.Output))
			s.entry.Committed[commit.Result.Item] = len(s.entry.Committed)
			s.completedAt[commit.Result.Item] = s.now.Sub(begin)
		}
		s.now = s.now.Add(testTick)
		s.advance()
	}
	groups := make(map[string]time.Duration)
	for _, item := range s.entry.Job.Items {
		groups[item.Group] = max(groups[item.Group], s.completedAt[item.ID])
	}
	var ends []time.Duration
	for _, end := range groups {
		ends = append(ends, end)
	}
	slices.Sort(ends)
	return ends
}

// tick runs one tick and carries out its stops and starts.
func (s *trainerStep) tick() Actions {
	actions := s.scheduler.Tick(s.input())
	s.stops += len(actions.Stops)
	for _, stop := range actions.Stops {
		delete(s.runs, stop.Run)
	}
	for _, start := range actions.Starts {
		if s.leaving != nil {
			s.countStart(start)
		}
		if len(start.Partial.Events) > 0 {
			s.resumed[start.Replica]++
		}
		s.runs[start.Run] = &simulatedRun{start: start, events: len(start.Partial.Events), nextEvent: s.now.Add(s.eventInterval(start.Replica))}
	}
	return actions
}

func (s *trainerStep) eventInterval(replica string) time.Duration {
	return time.Duration(float64(testEventInterval) * max(s.slowdown[replica], 1))
}

// nextInterval returns the time until the next event of a run. The last event has
// fewer tokens and follows sooner.
func (s *trainerStep) nextInterval(r *simulatedRun) time.Duration {
	gap := float64(s.eventInterval(r.start.Replica))
	if s.jitter != nil {
		gap *= s.jitter()
	}
	if r.events == s.lengths[r.start.Item.ID]-1 {
		gap /= 4
	}
	return time.Duration(gap)
}

func countEvents(output string) int {
	n := 1
	for _, c := range output {
		if c == '\n' {
			n++
		}
	}
	return n
}

// advance delivers the events that are due, and ends complete runs.
func (s *trainerStep) advance() {
	ids := make([]int64, 0, len(s.runs))
	for id := range s.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	used := make(map[string]int)
	for _, id := range ids {
		r := s.runs[id]
		if !s.reserveMemory(r, used) {
			r.nextEvent = s.now.Add(s.eventInterval(r.start.Replica))
			continue
		}
		for !s.now.Before(r.nextEvent) && r.events < s.lengths[r.start.Item.ID] {
			r.events++
			s.scheduler.RecordEvent(id, int64(r.events), "event", 1, r.nextEvent)
			r.nextEvent = r.nextEvent.Add(s.nextInterval(r))
		}
		if r.events == s.lengths[r.start.Item.ID] {
			delete(s.runs, id)
			s.scheduler.RecordEnd(id, Complete, 3, s.now)
		}
	}
}

// reserveMemory adds a run to the memory of its replica and reports whether there
// was space. Engines preempt their newest runs when memory is full.
func (s *trainerStep) reserveMemory(r *simulatedRun, used map[string]int) bool {
	id := r.start.Replica
	tokens := testPrompt + r.events*testEventTokens
	for _, replica := range s.replicas {
		if replica.ID == id && replica.MemoryTokens > 0 && used[id]+tokens > replica.MemoryTokens {
			return false
		}
	}
	used[id] += tokens
	return true
}

// Guards against steps that take longer than their longest item. 72 items with a
// heavy tail are submitted at once to 36 slots. The last group must complete soon
// after the longest item can, even if hints are far off, and within the deadline.
func TestWantedGroupsCompleteWithTheLongestItem(t *testing.T) {
	const seeds = 60
	var totalExcess time.Duration
	for seed := range uint64(seeds) {
		s := newStep(rand.New(rand.NewPCG(seed, 1)), 18, 4, 3, 12)
		longest := 0
		for _, n := range s.lengths {
			longest = max(longest, n)
		}
		ends := s.runToEnd(t)
		last := ends[len(ends)-1]
		totalExcess += max(last-time.Duration(longest)*testEventInterval, 0)
		must.Less(t, testDeadline, last, must.Sprintf("seed %d", seed))
	}
	must.Less(t, 200*time.Millisecond, totalExcess/seeds)
}

// Guards against long runs that stay on a replica that produces events four times as
// slowly as the others and so determine the duration of the step.
func TestRunsMoveAwayFromSlowReplica(t *testing.T) {
	for seed := range uint64(20) {
		s := newStep(rand.New(rand.NewPCG(seed, 2)), 18, 4, 6, 12)
		s.slowdown["r1"] = 4
		ends := s.runToEnd(t)
		must.Less(t, 11*time.Second, ends[len(ends)-1], must.Sprintf("seed %d", seed))
	}
}

// Guards against wanted groups that miss the deadline because their long items run
// on slow replicas while faster ones have free slots. A third of the replicas are
// permanently slower by 30 %; an item of maximum length takes 10 s there.
func TestLongItemsRunOnFasterReplicas(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		s := newStep(rand.New(rand.NewPCG(seed, 4)), 14, 16, 30, 8)
		for i := 0; i < len(s.replicas); i += 3 {
			s.slowdown[s.replicas[i].ID] = 1.3
		}
		ends := s.runToEnd(t)
		must.Less(t, testDeadline, ends[s.entry.Job.WantedGroups-1], must.Sprintf("seed %d", seed))
	}
}

// Guards against a long item placed on a replica without memory for it, where the
// engine would preempt its run. The replica with enough memory must be chosen even
// if it has more runs.
func TestLongItemRunsOnReplicaWithFreeMemory(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 5)), 1, 1, 2, 8)
	for i := range s.replicas {
		s.replicas[i].MemoryTokens = 15_000
	}
	first := s.submit("first", 1, 10_000)
	must.SliceLen(t, 1, first)
	for i := range s.replicas {
		s.replicas[i].Usable = s.replicas[i].ID != first[0].Replica
	}
	short := s.submit("short", 5, 500)
	must.SliceLen(t, 5, short)
	for i := range s.replicas {
		s.replicas[i].Usable = true
	}
	second := s.submit("second", 1, 10_000)
	must.SliceLen(t, 1, second)
	must.EqOp(t, short[0].Replica, second[0].Replica)
}

// Guards against a preempted run that waits for the event timeout. A replica that
// is silent for one run while it produces events for others has preempted it: the
// run must continue on another replica, and the replica must not count as failed.
func TestPreemptedRunContinuesOnAnotherReplica(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 6)), 2, 2, 2, 8)
	for id := range s.lengths {
		s.lengths[id] = 150
	}
	s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	starts := s.scheduler.Tick(s.input()).Starts
	must.SliceLen(t, 4, starts)
	silent := starts[0]
	var actions Actions
	for range 40 {
		s.now = s.now.Add(testEventInterval)
		for _, start := range starts[1:] {
			task := s.scheduler.taskOfRun(start.Run)
			s.scheduler.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
		}
		if actions = s.scheduler.Tick(s.input()); len(actions.Stops) > 0 {
			break
		}
	}
	must.SliceLen(t, 1, actions.Stops)
	must.EqOp(t, silent.Run, actions.Stops[0].Run)
	must.SliceLen(t, 1, actions.Starts)
	must.EqOp(t, 0, s.scheduler.pace(silent.Replica).failures)
}

// Guards against runs stopped as silent on a host with too little processor time.
// Such a host reads events late and in bursts, and the runs that it starts again
// would add to its load.
func TestDelayedHostDoesNotStopRuns(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 8)), 4, 4, 4, 8)
	for id := range s.lengths {
		s.lengths[id] = testMaxEvents
	}
	s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	starts := s.scheduler.Tick(s.input()).Starts
	must.SliceLen(t, 16, starts)
	for range 12 {
		// Events are read only every half second, and those of every second run
		// only after the tick.
		s.now = s.now.Add(500 * time.Millisecond)
		for i, start := range starts {
			if i%2 == 0 {
				task := s.scheduler.taskOfRun(start.Run)
				must.NotNil(t, task)
				s.scheduler.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
			}
		}
		s.now = s.now.Add(testTick)
		stops := s.scheduler.Tick(s.input()).Stops
		must.SliceEmpty(t, stops, must.Sprint(stops))
		for i, start := range starts {
			if i%2 == 1 {
				task := s.scheduler.taskOfRun(start.Run)
				s.scheduler.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
			}
		}
	}
}

// Guards against runs that move back and forth because single events arrive early
// or late: engines process prompts between tokens, and the last event of an item
// is short. All replicas are equally fast here, so no move can save time.
func TestRunsStayOnEquallyFastReplicas(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := newStep(r, 14, 16, 30, 8)
		s.jitter = func() float64 { return 0.75 + 0.5*r.Float64() }
		s.runToEnd(t)
		must.EqOp(t, 0, s.stops, must.Sprintf("seed %d", seed))
	}
}

// Guards against more runs on a replica than it has slots, runs on unusable
// replicas or old weight versions, and two concurrent runs of one item.
func TestSchedulerInvariants(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := newStep(r, 8, 4, 4, 5)
		perItem := make(map[string]int)
		runs := make(map[int64]Start)
		for range 400 {
			for i := range s.replicas {
				s.replicas[i].Usable = r.Float64() < 0.8
				s.replicas[i].Version = int64(r.IntN(2)) // 0 is too old
			}
			s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
			actions := s.scheduler.Tick(s.input())
			for _, stop := range actions.Stops {
				perItem[runs[stop.Run].Item.ID]--
				delete(runs, stop.Run)
			}
			perReplica := make(map[string]int)
			for _, start := range actions.Starts {
				runs[start.Run] = start
				perItem[start.Item.ID]++
				must.EqOp(t, 1, perItem[start.Item.ID])
				must.EqOp(t, 1, start.Version)
				must.EqOp(t, 0, len(start.Partial.Events)-int(start.Partial.LastID))
			}
			for _, run := range runs {
				perReplica[run.Replica]++
			}
			for id, n := range perReplica {
				must.LessEq(t, 5, n, must.Sprint(id))
			}
			s.endRandomRuns(r, runs, perItem)
			s.now = s.now.Add(testTick)
		}
	}
}

// endRandomRuns records events for some runs and ends others with a random
// failure.
func (s *trainerStep) endRandomRuns(r *rand.Rand, runs map[int64]Start, perItem map[string]int) {
	ids := make([]int64, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch {
		case r.Float64() < 0.3:
			t := s.scheduler.taskOfRun(id)
			s.scheduler.RecordEvent(id, t.partial.LastID+1, "event", 1, s.now)
		case r.Float64() < 0.1:
			s.scheduler.RecordEnd(id, Outcome(1+r.IntN(int(Broken))), 3, s.now)
			perItem[runs[id].Item.ID]--
			delete(runs, id)
		}
	}
}

// Guards against a result of several weight versions, or of one that the job does not
// allow, because the replica loaded a version under the run.
func TestOutputOfDisallowedVersionsIsDiscarded(t *testing.T) {
	for name, test := range map[string]struct {
		single   bool
		versions []int64 // of the events of the first run
		want     []int64
	}{
		"two versions":           {true, []int64{1, 2}, []int64{2}},
		"two versions allowed":   {false, []int64{1, 2}, []int64{1, 2}},
		"below the least":        {false, []int64{0, 1}, []int64{2}},
		"one version, as wanted": {true, []int64{1, 1}, []int64{1}},
	} {
		for _, tickBetween := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tick between=%t", name, tickBetween), func(t *testing.T) {
				s := newStep(rand.New(rand.NewPCG(1, 1)), 1, 1, 2, 4)
				input := func() TickInput {
					in := s.input()
					in.SingleVersion = func(*jobs.Entry) bool { return test.single }
					return in
				}
				s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
				starts := s.scheduler.Tick(input()).Starts
				must.SliceLen(t, 1, starts)
				for id, version := range test.versions {
					s.scheduler.RecordEvent(starts[0].Run, int64(id), "x", version, s.now)
				}
				stopped := false
				if tickBetween {
					stopped = len(s.scheduler.Tick(input()).Stops) > 0
				}
				if !stopped {
					s.scheduler.RecordEnd(starts[0].Run, Complete, 3, s.now)
				}
				var commits []Commit
				for len(commits) == 0 {
					s.now = s.now.Add(testTick)
					must.Less(t, time.Minute, s.now.Sub(s.entry.ReadAt))
					actions := s.scheduler.Tick(input())
					commits = actions.Commits
					for _, start := range actions.Starts {
						must.SliceEmpty(t, start.Partial.Events)
						s.scheduler.RecordEvent(start.Run, 0, "y", 2, s.now)
						s.scheduler.RecordEnd(start.Run, Complete, 3, s.now)
					}
				}
				must.Eq(t, test.want, commits[0].Result.Versions)
			})
		}
	}
}

// Guards against items, moved runs included, that start while their job may have ended
// long ago without the host knowing.
func TestNothingStartsWhileOutdated(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 2)), 4, 4, 3, 2)
	s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	in := s.input()
	in.Outdated = true
	must.Len(t, 0, s.scheduler.Tick(in).Starts)
	in.Outdated = false
	must.Positive(t, len(s.scheduler.Tick(in).Starts))
}

// Guards against an item that loses its place in the queue of a server while it may not
// start at another.
func TestWaitingRunKeepsItsPlaceWhileOutdated(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 6)), 2, 2, 2, 8)
	for id := range s.lengths {
		s.lengths[id] = 150
	}
	s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	starts := s.scheduler.Tick(s.input()).Starts
	must.SliceLen(t, 4, starts)
	for elapsed := time.Duration(0); elapsed < Defaults().FirstEventTimeout-testEventInterval; elapsed += testEventInterval {
		s.now = s.now.Add(testEventInterval)
		for _, start := range starts[1:] {
			task := s.scheduler.taskOfRun(start.Run)
			s.scheduler.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
		}
		in := s.input()
		in.Outdated = true
		actions := s.scheduler.Tick(in)
		must.SliceLen(t, 0, actions.Stops, must.Sprintf("after %s: %v", elapsed, actions.Stops))
	}
}
