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
	testEvent       = 40 * time.Millisecond
	testTick        = 20 * time.Millisecond
	testEventTokens = 58
	testMaxEvents   = 192
	testPrompt      = 300
	// testDue is when the groups of a step are late: due_ms and the 0.7 s that
	// the platform's rules add.
	testDue = 8200 * time.Millisecond
)

// step is one job of a trainer on replicas that make one event each testEvent.
type step struct {
	board    *Scheduler
	entry    *jobs.Entry
	replicas []Replica
	lengths  map[string]int
	running  map[int64]*running
	slow     map[string]float64 // times as slow, by replica
	jitter   func() float64     // factor of the time of one event
	stops    int
	now      time.Time
	whole    map[string]time.Duration // of items
}

type running struct {
	start Start
	made  int
	next  time.Time
}

// newStep draws lengths with a heavy tail and hints that are right at the
// median and often far off.
func newStep(r *rand.Rand, groups, size, replicas, slots int) *step {
	s := &step{
		board: NewScheduler(Defaults()), lengths: make(map[string]int), running: make(map[int64]*running),
		slow: make(map[string]float64), now: time.Unix(1000, 0), whole: make(map[string]time.Duration),
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

func (s *step) view() View {
	return View{
		Now:           s.now,
		Replicas:      func(*jobs.Entry) []Replica { return s.replicas },
		SingleVersion: func(*jobs.Entry) bool { return false },
		Finished:      func(string) (jobs.Result, bool) { return jobs.Result{}, false },
		Expired:       func(*jobs.Entry) bool { return false },
		DueAfter:      func(*jobs.Entry) time.Duration { return 7500 * time.Millisecond },
		EventTokens:   func(*jobs.Entry) int { return testEventTokens },
	}
}

// play runs the step to its end and returns when each group was whole, in order.
func (s *step) play(t *testing.T) []time.Duration {
	t.Helper()
	begin := s.now
	for len(s.whole) < len(s.lengths) {
		must.Less(t, time.Minute, s.now.Sub(begin), must.Sprint("the step does not end"))
		s.board.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
		actions := s.board.Tick(s.view())
		s.stops += len(actions.Stops)
		for _, stop := range actions.Stops {
			delete(s.running, stop.Run)
		}
		for _, start := range actions.Starts {
			s.running[start.Run] = &running{start: start, made: len(start.Partial.Events), next: s.now.Add(s.pace(start.Replica))}
		}
		for _, l := range actions.Commits {
			must.EqOp(t, s.lengths[l.Result.Item], countEvents(l.Output))
			s.entry.Committed[l.Result.Item] = len(s.entry.Committed)
			s.whole[l.Result.Item] = s.now.Sub(begin)
		}
		s.now = s.now.Add(testTick)
		s.advance()
	}
	groups := make(map[string]time.Duration)
	for _, item := range s.entry.Job.Items {
		groups[item.Group] = max(groups[item.Group], s.whole[item.ID])
	}
	var ends []time.Duration
	for _, end := range groups {
		ends = append(ends, end)
	}
	slices.Sort(ends)
	return ends
}

func (s *step) pace(replica string) time.Duration {
	return time.Duration(float64(testEvent) * max(s.slow[replica], 1))
}

// gap returns the time until a run's next event. The last event has few tokens.
func (s *step) gap(r *running) time.Duration {
	gap := float64(s.pace(r.start.Replica))
	if s.jitter != nil {
		gap *= s.jitter()
	}
	if r.made == s.lengths[r.start.Item.ID]-1 {
		gap /= 4
	}
	return time.Duration(gap)
}

func countEvents(text string) int {
	n := 1
	for _, c := range text {
		if c == '\n' {
			n++
		}
	}
	return n
}

func (s *step) advance() {
	ids := make([]int64, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	used := make(map[string]int)
	for _, id := range ids {
		r := s.running[id]
		if !s.inMemory(r, used) {
			r.next = s.now.Add(s.pace(r.start.Replica))
			continue
		}
		for !s.now.Before(r.next) && r.made < s.lengths[r.start.Item.ID] {
			r.made++
			s.board.RecordEvent(id, int64(r.made), "event", 1, r.next)
			r.next = r.next.Add(s.gap(r))
		}
		if r.made == s.lengths[r.start.Item.ID] {
			delete(s.running, id)
			s.board.RecordEnd(id, Complete, 3, s.now)
		}
	}
}

// inMemory takes a run into its replica's memory, unless that is full: engines
// put their newest runs off then.
func (s *step) inMemory(r *running, used map[string]int) bool {
	id := r.start.Replica
	tokens := testPrompt + r.made*testEventTokens
	for _, replica := range s.replicas {
		if replica.ID == id && replica.MemoryTokens > 0 && used[id]+tokens > replica.MemoryTokens {
			return false
		}
	}
	used[id] += tokens
	return true
}

// Answers the burst at the start of a trainer's step: 72 items with a heavy tail
// on 36 slots. The wanted groups must be whole about as soon as the longest item
// among all can be, however far off the hints are, and no group may be late.
func TestWantedGroupsAreWholeAsSoonAsTheirLongestItem(t *testing.T) {
	const seeds = 60
	var over time.Duration
	for seed := range uint64(seeds) {
		s := newStep(rand.New(rand.NewPCG(seed, 1)), 18, 4, 3, 12)
		longest := 0
		for _, n := range s.lengths {
			longest = max(longest, n)
		}
		ends := s.play(t)
		last := ends[len(ends)-1]
		over += max(last-time.Duration(longest)*testEvent, 0)
		must.Less(t, testDue, last, must.Sprintf("seed %d", seed))
	}
	must.Less(t, 200*time.Millisecond, over/seeds)
}

// Answers a replica that turns slow: its long runs must move, and the step must
// not take as long as the slow replica would.
func TestRunsMoveAwayFromASlowReplica(t *testing.T) {
	for seed := range uint64(20) {
		s := newStep(rand.New(rand.NewPCG(seed, 2)), 18, 4, 6, 12)
		s.slow["r1"] = 4
		ends := s.play(t)
		must.Less(t, 11*time.Second, ends[len(ends)-1], must.Sprintf("seed %d", seed))
	}
}

// Answers replicas of which a third are always slower by 30%: an item of the
// greatest length takes 10 s there. Wanted groups must not be late because their
// long items run there while faster replicas have free slots.
func TestLongItemsRunOnTheFasterReplicas(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		s := newStep(rand.New(rand.NewPCG(seed, 4)), 14, 16, 30, 8)
		for i := 0; i < len(s.replicas); i += 3 {
			s.slow[s.replicas[i].ID] = 1.3
		}
		ends := s.play(t)
		must.Less(t, testDue, ends[s.entry.Job.WantedGroups-1], must.Sprintf("seed %d", seed))
	}
}

// Answers engines that put their newest run off when their memory is full: a
// second long item must go to a replica that has memory for it, even if more
// runs are there.
func TestLongItemGoesWhereMemoryIsLeft(t *testing.T) {
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

// submit adds a job of items with a hint and returns what starts.
func (s *step) submit(id string, items, hint int) []Start {
	job := &jobs.Job{ID: id, MinVersion: 1}
	for i := range items {
		job.Items = append(job.Items, jobs.Item{ID: fmt.Sprintf("%s-%d", id, i), PromptTokens: testPrompt, ExpectedOutput: hint})
	}
	entry := &jobs.Entry{Job: job, ReadAt: s.now, Committed: make(map[string]int)}
	s.board.AddJob(entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	return s.board.Tick(s.view()).Starts
}

// Answers a replica that puts a run off while it goes on with others: the run
// must go on elsewhere well before a silent replica is given up, and the replica
// must not count as failed.
func TestRunThatIsPutOffGoesOnElsewhere(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 6)), 2, 2, 2, 8)
	for id := range s.lengths {
		s.lengths[id] = 150
	}
	s.board.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	starts := s.board.Tick(s.view()).Starts
	must.SliceLen(t, 4, starts)
	silent := starts[0]
	var actions Actions
	for range 40 {
		s.now = s.now.Add(testEvent)
		for _, start := range starts[1:] {
			task := s.board.taskOf(start.Run)
			s.board.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
		}
		if actions = s.board.Tick(s.view()); len(actions.Stops) > 0 {
			break
		}
	}
	must.SliceLen(t, 1, actions.Stops)
	must.EqOp(t, silent.Run, actions.Stops[0].Run)
	must.SliceLen(t, 1, actions.Starts)
	must.EqOp(t, 0, s.board.pace(silent.Replica).failures)
}

// Answers a host with too little processor time, which reads events late and in
// bursts: guards against runs that are ended as silent although their events
// wait to be read, which makes yet more work.
func TestLateHostDoesNotGiveRunsUp(t *testing.T) {
	s := newStep(rand.New(rand.NewPCG(1, 8)), 4, 4, 4, 8)
	for id := range s.lengths {
		s.lengths[id] = testMaxEvents
	}
	s.board.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	starts := s.board.Tick(s.view()).Starts
	must.SliceLen(t, 16, starts)
	for range 12 {
		// The events of half a second are read at once, and those of some runs
		// come after the tick.
		s.now = s.now.Add(500 * time.Millisecond)
		for i, start := range starts {
			if i%2 == 0 {
				task := s.board.taskOf(start.Run)
				must.NotNil(t, task)
				s.board.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
			}
		}
		s.now = s.now.Add(testTick)
		stops := s.board.Tick(s.view()).Stops
		must.SliceEmpty(t, stops, must.Sprint(stops))
		for i, start := range starts {
			if i%2 == 1 {
				task := s.board.taskOf(start.Run)
				s.board.RecordEvent(start.Run, task.partial.LastID+1, "event", 1, s.now)
			}
		}
	}
}

// Guards against runs that are moved back and forth because single events come
// early or late: engines read prompts between tokens, and the last event of an
// item is short. All replicas are alike here, so no move can save anything.
func TestRunsStayOnReplicasThatAreAlike(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := newStep(r, 14, 16, 30, 8)
		s.jitter = func() float64 { return 0.75 + 0.5*r.Float64() }
		s.play(t)
		must.EqOp(t, 0, s.stops, must.Sprintf("seed %d", seed))
	}
}

// Guards against more runs on a replica than it has slots, runs on replicas that
// load or have an old version, and two runs of one item at once.
func TestBoardKeepsItsInvariants(t *testing.T) {
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
			s.board.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
			actions := s.board.Tick(s.view())
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
			s.end(r, runs, perItem)
			s.now = s.now.Add(testTick)
		}
	}
}

// end gives random runs an event or an outcome.
func (s *step) end(r *rand.Rand, runs map[int64]Start, perItem map[string]int) {
	ids := make([]int64, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch {
		case r.Float64() < 0.3:
			t := s.board.taskOf(id)
			s.board.RecordEvent(id, t.partial.LastID+1, "event", 1, s.now)
		case r.Float64() < 0.1:
			s.board.RecordEnd(id, Outcome(1+r.IntN(int(Broken))), 3, s.now)
			perItem[runs[id].Item.ID]--
			delete(runs, id)
		}
	}
}
