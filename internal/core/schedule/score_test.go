package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

const (
	testScoreAttempts = 3
	testScoreTime     = 80 * time.Millisecond
)

// scoredJob is a job whose items have reward calls, on a scheduler with enough slots
// for all of them.
type scoredJob struct {
	*trainerStep
	target   ScoreTarget
	finished map[string]jobs.Result
	stored   map[string]jobs.Partial
	expired  bool
	single   bool // the route demands a single version for each result
}

func newScoredJob(id string, groups, size int) *scoredJob {
	s := &scoredJob{
		trainerStep: &trainerStep{scheduler: NewScheduler(Defaults()), now: time.Unix(1000, 0)},
		target:      ScoreTarget{Service: "quotes", Slots: 12, Objective: 400 * time.Millisecond},
		finished:    make(map[string]jobs.Result), stored: make(map[string]jobs.Partial),
	}
	job := &jobs.Job{ID: id, WantedGroups: groups, MinVersion: 2}
	for i := range groups * size {
		item := fmt.Sprintf("item-%03d", i)
		job.Items = append(job.Items, jobs.Item{ID: item, Group: fmt.Sprintf("g%d", i/size), ExpectedOutput: 100, ScoreKey: "call-" + item})
	}
	s.entry = &jobs.Entry{Job: job, ReadAt: s.now, Committed: make(map[string]int)}
	s.replicas = []Replica{{ID: "r0", Slots: groups * size, Usable: true, Version: 2}}
	return s
}

func (s *scoredJob) tick() Actions {
	s.now = s.now.Add(testTick)
	s.scheduler.AddJob(s.entry, func(item string) (jobs.Partial, bool) {
		p, ok := s.stored[item]
		return p, ok
	})
	in := s.input()
	in.Finished = func(item string) (jobs.Result, bool) {
		r, ok := s.finished[item]
		return r, ok
	}
	in.SingleVersion = func(*jobs.Entry) bool { return s.single }
	in.Expired = func(*jobs.Entry) bool { return s.expired }
	in.ScoreTarget = func(*jobs.Entry, *jobs.Item) (ScoreTarget, bool) { return s.target, true }
	return s.scheduler.Tick(in)
}

// finish produces the output of a run.
func (s *scoredJob) finish(start Start) {
	s.scheduler.RecordEvent(start.Run, 1, "output of "+start.Item.ID, 2, s.now)
	s.scheduler.RecordEnd(start.Run, Complete, testScoreAttempts, s.now)
}

// oneScore ticks until the only item of the job needs its reward call.
func (s *scoredJob) oneScore(t *testing.T) ScoreStart {
	t.Helper()
	for range 100 {
		actions := s.tick()
		must.SliceEmpty(t, actions.Commits)
		for _, start := range actions.Starts {
			s.finish(start)
		}
		if len(actions.Scores) > 0 {
			return actions.Scores[0]
		}
	}
	t.Fatal("no reward call within 100 ticks")
	return ScoreStart{}
}

// Guards against a result without a score, and against a reward call that is sent
// before the last event of the output.
func TestResultWaitsForItsScore(t *testing.T) {
	s := newScoredJob("job", 1, 1)
	start := s.tick().Starts[0]
	s.scheduler.RecordEvent(start.Run, 1, "first", 2, s.now)
	must.SliceEmpty(t, s.tick().Scores)
	s.scheduler.RecordEvent(start.Run, 2, "last", 2, s.now)
	must.SliceEmpty(t, s.tick().Scores)
	s.scheduler.RecordEnd(start.Run, Complete, testScoreAttempts, s.now)
	actions := s.tick()
	must.SliceLen(t, 1, actions.Scores)
	must.SliceEmpty(t, actions.Commits)
	must.SliceEmpty(t, s.tick().Scores) // one call at a time
	_, counted := s.scheduler.RecordScore(actions.Scores[0].Call, ScoreEnd{Score: "signature"}, testScoreAttempts, s.now)
	must.True(t, counted)
	commits := s.tick().Commits
	must.Eq(t, []Commit{{Job: "job", Output: "first\nlast", Result: jobs.Result{
		Item: "item-000", Versions: []int64{2}, RunMs: testTick.Milliseconds(), Score: "signature", ScoreKey: "call-item-000"}}}, commits)
}

// Guards against a score that a stopped call brings late: after the item expired, and
// after its job ended.
func TestScoreOfAStoppedCallIsDropped(t *testing.T) {
	for _, end := range []func(*scoredJob){func(s *scoredJob) { s.expired = true }, func(s *scoredJob) { s.entry.Ended = true }} {
		s := newScoredJob("job", 1, 1)
		score := s.oneScore(t)
		end(s)
		actions := s.tick()
		must.SliceLen(t, 1, actions.Stops)
		must.EqOp(t, score.Call, actions.Stops[0].Run)
		_, counted := s.scheduler.RecordScore(score.Call, ScoreEnd{Score: "late"}, testScoreAttempts, s.now)
		must.False(t, counted)
		for _, commit := range s.tick().Commits {
			must.True(t, commit.Result.Failed)
		}
	}
}

// Guards against an item that fails before its reward call received all attempts of
// reported failures, counted over the owners of its job, and against lost responses
// or refusals that count as failures.
func TestItemFailsAfterReportedFailuresOfAllOwners(t *testing.T) {
	s := newScoredJob("job", 1, 1)
	for _, end := range []ScoreEnd{{}, {NotRun: true}, {Failures: 1}, {}, {Failures: 1}, {NotRun: true}, {}} {
		_, counted := s.scheduler.RecordScore(s.oneScore(t).Call, end, testScoreAttempts, s.now)
		must.True(t, counted)
	}
	// A refusal does not fail the item, however few attempts the route has now.
	s.scheduler.RecordScore(s.oneScore(t).Call, ScoreEnd{NotRun: true}, 1, s.now)
	must.SliceEmpty(t, s.tick().Commits)
	stored := s.scheduler.Partials(make(map[string]Progress), 1)
	must.SliceLen(t, 1, stored)

	next := newScoredJob("job", 1, 1) // the next owner of the same job
	next.stored["item-000"] = stored[0].Partial
	next.scheduler.RecordScore(next.oneScore(t).Call, ScoreEnd{Failures: 1}, testScoreAttempts, next.now)
	commits := next.tick().Commits
	must.SliceLen(t, 1, commits)
	must.True(t, commits[0].Result.Failed)

	other := newScoredJob("later job", 1, 1) // counts its own failures only
	other.stored["item-000"] = stored[0].Partial
	other.scheduler.RecordScore(other.oneScore(t).Call, ScoreEnd{Failures: 1}, testScoreAttempts, other.now)
	must.SliceEmpty(t, other.tick().Commits)
}

// Guards against a second run of an output that the former owner had received whole,
// and against an output whose versions are too old, or mixed where one is demanded.
func TestStoredOutputIsScoredIfItsVersionsAreAllowed(t *testing.T) {
	for _, test := range []struct {
		versions []int64
		rerun    bool
	}{{[]int64{2, 2}, false}, {[]int64{2, 3}, false}, {[]int64{1, 2}, true}} {
		s := newScoredJob("job", 1, 1)
		s.stored["item-000"] = jobs.Partial{Events: []string{"a", "b"}, Versions: test.versions, LastID: 2, Complete: true}
		actions := s.tick()
		must.EqOp(t, test.rerun, len(actions.Starts) == 1)
		must.EqOp(t, test.rerun, len(actions.Scores) == 0)
		if test.rerun {
			must.SliceEmpty(t, actions.Starts[0].Partial.Events)
		}
	}
}

// Guards against a score of another reward call: a result from another job keeps its
// output, but its score only if it answers the same call.
func TestReusedResultKeepsOnlyTheScoreOfTheSameCall(t *testing.T) {
	output := jobs.BlobRef{Key: "t/former/item-000/1", Records: 1, Bytes: 4}
	for _, key := range []string{"call-item-000", "another call", ""} {
		s := newScoredJob("job", 1, 1)
		s.finished["item-000"] = jobs.Result{Item: "item-000", Output: output, Versions: []int64{2}, Score: "former", ScoreKey: key}
		actions := s.tick()
		must.SliceEmpty(t, actions.Starts)
		if key == "call-item-000" {
			must.EqOp(t, "former", actions.Commits[0].Result.Score)
			continue
		}
		must.SliceEmpty(t, actions.Commits)
		s.scheduler.RecordScore(actions.Scores[0].Call, ScoreEnd{Score: "new"}, testScoreAttempts, s.now)
		must.Eq(t, []Commit{{Job: "job", Result: jobs.Result{
			Item: "item-000", Output: output, Versions: []int64{2}, Score: "new", ScoreKey: "call-item-000"}}}, s.tick().Commits)
	}
}

// Guards against reward calls that take all slots of a service from its callers when
// the outputs of a step become complete at once, and against whole groups that wait
// behind the outputs of groups that still run.
func TestBurstOfOutputsIsScoredByWholeGroups(t *testing.T) {
	const groups, size = 12, 8
	s := newScoredJob("job", groups, size)
	starts := s.tick().Starts
	must.SliceLen(t, groups*size, starts)
	open := make(map[string]bool) // groups of which one output is missing
	for _, start := range starts {
		if start.Item.ID == "item-000" || start.Item.ID == "item-009" {
			open[start.Item.Group] = true
			continue
		}
		s.finish(start)
	}
	type call struct {
		ScoreStart
		ends time.Time
	}
	var inProgress []call
	begun, ofOpenGroups := 0, 0
	for range 200 {
		for _, score := range s.tick().Scores {
			inProgress = append(inProgress, call{score, s.now.Add(testScoreTime)})
			must.LessEq(t, s.target.Objective*maxScoreObjectives, score.Timeout)
			if open[score.Item.Group] {
				ofOpenGroups++
			} else {
				must.EqOp(t, 0, ofOpenGroups)
			}
			begun++
		}
		must.LessEq(t, s.target.Slots/2, len(inProgress))
		for len(inProgress) > 0 && !s.now.Before(inProgress[0].ends) {
			s.scheduler.RecordScore(inProgress[0].Call, ScoreEnd{Score: "signature"}, testScoreAttempts, s.now)
			inProgress = inProgress[1:]
		}
	}
	must.EqOp(t, groups*size-2, begun)
}

// Guards against outputs of former runs whose versions the job does not allow: too old
// ones, and mixed ones or ones of another version than the replica's where a single
// version is demanded. This holds for results of other jobs, and for stored outputs that
// are complete or to be resumed.
func TestFormerOutputsAreUsedOnlyIfTheirVersionsAreAllowed(t *testing.T) {
	const (
		asResult   = "result of another job"
		asComplete = "complete stored output"
		asPartial  = "partial stored output"
	)
	for _, test := range []struct {
		versions []int64
		single   bool
		used     bool
	}{
		{[]int64{2}, false, true}, {[]int64{2, 3}, false, true}, {[]int64{1}, false, false}, {[]int64{1, 2}, false, false},
		{[]int64{2}, true, true}, {[]int64{2, 3}, true, false}, {[]int64{1}, true, false},
	} {
		for _, source := range []string{asResult, asComplete, asPartial} {
			s := newScoredJob("job", 1, 1)
			s.single = test.single
			partial := jobs.Partial{Versions: test.versions, Complete: source == asComplete}
			for range test.versions {
				partial.Events = append(partial.Events, "event")
				partial.LastID++
			}
			if source == asResult {
				s.finished["item-000"] = jobs.Result{Item: "item-000", Versions: test.versions}
			} else {
				s.stored["item-000"] = partial
			}
			actions := s.tick()
			what := must.Sprintf("%s, versions %v, single %t", source, test.versions, test.single)
			if source != asPartial {
				must.EqOp(t, !test.used, len(actions.Starts) == 1, what)
				must.EqOp(t, test.used, len(actions.Scores) == 1, what)
			}
			for _, start := range actions.Starts {
				resumed := source == asPartial && test.used
				must.EqOp(t, resumed, len(start.Partial.Events) > 0, what)
			}
		}
	}
}
