package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// Reward calls are designed for the burst at the end of a step: most outputs of a
// step become complete within a second, and each needs one call of a service that
// callers use as well.
const (
	// scoreSlotShare is the share of a service's slots that reward calls may occupy;
	// the rest is left to callers.
	scoreSlotShare = 0.5
	// defaultScoreObjective replaces the latency objective of a route without one.
	defaultScoreObjective = 500 * time.Millisecond
	// minScoreObjectives and maxScoreObjectives bound the time for one reward call in
	// multiples of its latency objective.
	minScoreObjectives = 2
	maxScoreObjectives = 5
	// maxScoreBackoffDoublings limits how often the backoff of a reward call doubles.
	maxScoreBackoffDoublings = 3
)

// ScoreTarget is a service that answers reward calls.
type ScoreTarget struct {
	Service   string
	Slots     int           // requests that the servers of the service run at the same time
	Objective time.Duration // latency objective of the reward call's route
}

// scoreLimit returns the number of reward calls that may be in progress.
func (t *ScoreTarget) scoreLimit() int { return max(int(scoreSlotShare*float64(t.Slots)), 1) }

// ScoreStart requests the reward call of an item whose output is complete.
type ScoreStart struct {
	Call    int64
	Job     *jobs.Entry
	Item    *jobs.Item
	Timeout time.Duration
	// Reason explains the order of the call in the decision log.
	Reason string
}

// ScoreEnd is the outcome of a reward call.
type ScoreEnd struct {
	Score string // signature of the successful response, or empty
	// Failures is the number of servers that reported that the call failed.
	Failures int
	// NotRun is set if no server has run the call.
	NotRun bool
	// RetryAfter is the least time until the next call, if no server accepted this one.
	RetryAfter time.Duration
}

// scoreCall is a reward call in progress.
type scoreCall struct {
	id      int64
	service string
}

// completeOutput records that an item's output is known to its end. The result is
// decided unless the output needs a score.
func (t *task) completeOutput(now time.Time) {
	t.outputComplete, t.completedAt = true, now
	t.decided = t.item.ScoreKey == "" || t.score != ""
}

// RecordScore records the end of a reward call. It returns the time since the output
// was complete, and false if the call was stopped or replaced in the meantime. The
// result of the item is a failure once as many failures as attempts were reported.
func (s *Scheduler) RecordScore(call int64, end ScoreEnd, attempts int, now time.Time) (time.Duration, bool) {
	t := s.tasks.Get(s.byScoreCall[call])
	if t == nil || t.scoring == nil || t.scoring.id != call {
		return 0, false
	}
	s.releaseScoring(t)
	if end.Score != "" {
		t.score, t.decided = end.Score, true
		return now.Sub(t.completedAt), true
	}
	t.partial.ScoreFailures += end.Failures
	t.partial.ScoreJob = t.job.Job.ID
	switch {
	case end.Failures > 0 && t.partial.ScoreFailures >= attempts:
		t.markFailed()
	case end.NotRun:
		t.scoreNotBefore = now.Add(max(s.config.RefusalBackoff, end.RetryAfter))
	default:
		t.scoreNotBefore = now.Add(min(s.config.FailureBackoff<<min(t.scoreRetries, maxScoreBackoffDoublings), s.config.MaxScoreBackoff))
		t.scoreRetries++
	}
	return now.Sub(t.completedAt), true
}

// stopScoring stops the reward call of a task, if one is in progress.
func (s *Scheduler) stopScoring(t *task, reason string, actions *Actions) {
	if t.scoring != nil {
		actions.Stops = append(actions.Stops, Stop{Run: t.scoring.id, Reason: reason})
		s.releaseScoring(t)
	}
}

func (s *Scheduler) releaseScoring(t *task) {
	if s.scoreCalls[t.scoring.service]--; s.scoreCalls[t.scoring.service] == 0 {
		delete(s.scoreCalls, t.scoring.service)
	}
	delete(s.byScoreCall, t.scoring.id)
	t.scoring = nil
}

// unscored is a complete output that waits for its reward call.
type unscored struct {
	task *task
	// unfinished is the number of items of the group whose output is not complete.
	unfinished int
	due        time.Time
}

// startScores starts reward calls within the limits of their services. Outputs of
// groups that lack only scores go first, then those of groups that lack the fewest
// outputs, because a trainer uses whole groups only.
func (s *Scheduler) startScores(in TickInput, actions *Actions) {
	for _, u := range s.unscored(in) {
		t := u.task
		target, ok := in.ScoreTarget(t.job, t.item)
		if !ok || s.scoreCalls[target.Service] >= target.scoreLimit() {
			continue
		}
		s.nextRun++
		t.scoring = &scoreCall{id: s.nextRun, service: target.Service}
		s.byScoreCall[s.nextRun] = taskKey(t.job.Job.ID, t.item.ID)
		s.scoreCalls[target.Service]++
		actions.Scores = append(actions.Scores, ScoreStart{
			Call: s.nextRun, Job: t.job, Item: t.item, Timeout: scoreTimeout(u.due.Sub(in.Now), target.Objective),
			Reason: fmt.Sprintf("group lacks %d outputs, %d of %d calls in progress", u.unfinished, s.scoreCalls[target.Service], target.scoreLimit()),
		})
	}
}

// unscored returns the outputs that need a reward call now, the most urgent first.
func (s *Scheduler) unscored(in TickInput) []unscored {
	var waiting []unscored
	unfinished := make(map[string]int)
	s.tasks.Each(func(_ string, t *task) bool {
		switch {
		case t.decided:
		case !t.outputComplete:
			unfinished[groupKey(t)]++
		case t.scoring == nil && !in.Now.Before(t.scoreNotBefore):
			waiting = append(waiting, unscored{task: t, due: t.job.ReadAt.Add(in.DueAfter(t.job))})
		}
		return true
	})
	for i := range waiting {
		waiting[i].unfinished = unfinished[groupKey(waiting[i].task)]
	}
	slices.SortStableFunc(waiting, func(x, y unscored) int {
		return cmp.Or(cmp.Compare(x.unfinished, y.unfinished), x.due.Compare(y.due))
	})
	return waiting
}

// scoreTimeout returns the time for a reward call: half of the time until the job is
// due, so that another call can follow, within bounds given by the latency objective.
func scoreTimeout(untilDue, objective time.Duration) time.Duration {
	objective = cmp.Or(objective, defaultScoreObjective)
	return min(max(untilDue/2, minScoreObjectives*objective), maxScoreObjectives*objective)
}
