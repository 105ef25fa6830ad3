package schedule

import (
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes of runs.
const (
	Complete   Outcome = iota // all events were received
	NotRun                    // the replica refused the item without running it
	WrongState                // the replica has another identity or weight version
	Failed                    // the replica reported that the run failed
	Impossible                // the replica reported that the item can never succeed
	Broken                    // the connection broke or the response was malformed
)

func (o Outcome) String() string {
	return [...]string{"complete", "not-run", "wrong-state", "failed", "impossible", "broken"}[o]
}

// maxBackoffDoublings limits how often the backoff of a failing replica doubles.
const maxBackoffDoublings = 4

// RecordEnd records the end of a run. The result of an item is a failure after
// the given number of Failed attempts or after one Impossible run.
func (s *Scheduler) RecordEnd(runID int64, outcome Outcome, attempts int, now time.Time) {
	t := s.taskOfRun(runID)
	if t == nil {
		return
	}
	if outcome == Complete && !t.hasAllowedOutput() {
		s.discardOutput(t, now)
		return
	}
	replica := t.run.replica
	s.release(t)
	p := s.pace(replica)
	switch outcome {
	case Complete:
		p.failures = 0
		t.partial.Complete = true
		t.completeOutput(now)
	case NotRun:
		p.blockedUntil = now.Add(s.config.RefusalBackoff)
	case WrongState:
		p.blockedUntil = now.Add(2 * s.config.RefusalBackoff)
	case Failed:
		t.failures++
		t.notBefore = now.Add(s.config.FailureBackoff)
		if t.failures >= attempts {
			t.markFailed()
		}
	case Impossible:
		t.markFailed()
	case Broken:
		s.blockAfterFailure(p, now)
		// Items do not crash replicas, so the item is not delayed for the number of its
		// broken runs.
		t.notBefore = now.Add(s.config.FailureBackoff)
	}
}

// discardOutput ends the run of an item whose output has weight versions that the job does
// not allow. The item runs again from its start; its replica is between two versions.
func (s *Scheduler) discardOutput(t *task, now time.Time) {
	s.pace(t.run.replica).blockedUntil = now.Add(2 * s.config.RefusalBackoff)
	s.release(t)
	t.partial = jobs.Partial{}
	t.notBefore = now.Add(s.config.RefusalBackoff)
}

func (s *Scheduler) blockAfterFailure(p *pace, now time.Time) {
	backoff := s.config.FailureBackoff << min(p.failures, maxBackoffDoublings)
	p.failures++
	p.blockedUntil = now.Add(backoff)
}

// markFailed sets the result of the item to a failure, so that it is not run
// again.
func (t *task) markFailed() {
	t.decided, t.failed = true, true
	t.partial = jobs.Partial{}
}

// commit returns the request to commit the result of a decided item.
func (t *task) commit() Commit {
	c := Commit{Job: t.job.Job.ID}
	switch {
	case t.failed:
		c.Result = jobs.Result{Item: t.item.ID, Failed: true}
	case t.reused != nil:
		c.Result = *t.reused
		c.Result.Score, c.Result.ScoreKey, c.Result.RunMs = t.score, t.item.ScoreKey, 0
	default:
		c.Result = jobs.Result{Item: t.item.ID, Versions: jobs.DistinctVersions(t.partial.Versions), RunMs: t.ranFor.Milliseconds(), Score: t.score, ScoreKey: t.item.ScoreKey}
		c.Output = strings.Join(t.partial.Events, "\n")
	}
	return c
}

// Progress is what was last returned of an item's output.
type Progress struct {
	Events        int
	Complete      bool
	ScoreFailures int
}

// Partials returns the outputs of undecided items that gained at least minEvents
// events, and at least one, since they were last returned, or that were completed or
// whose reward call failed in the meantime. reported holds the progress last returned
// for each item and is updated.
func (s *Scheduler) Partials(reported map[string]Progress, minEvents int) []ItemPartial {
	var updated []ItemPartial
	s.tasks.Each(func(k string, t *task) bool {
		last := reported[k]
		now := Progress{Events: len(t.partial.Events), Complete: t.partial.Complete, ScoreFailures: t.partial.ScoreFailures}
		scored := now.Complete && (!last.Complete || now.ScoreFailures != last.ScoreFailures)
		if !t.decided && (now.Events-last.Events >= max(minEvents, 1) || scored) {
			updated = append(updated, ItemPartial{Job: t.job.Job.ID, Item: t.item.ID, Partial: t.partial})
			reported[k] = now
		}
		return true
	})
	return updated
}

// ItemPartial is the partial output of an item.
type ItemPartial struct {
	Job, Item string
	Partial   jobs.Partial
}
