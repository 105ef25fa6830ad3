package schedule

import (
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// Outcome says how a run ended.
type Outcome int

// Outcomes of runs.
const (
	Complete   Outcome = iota // all events were read
	NotRun                    // the replica refused; it did not run the item
	WrongState                // the replica is another one or has another version
	Failed                    // the replica answered that the run failed
	Impossible                // the replica answered that the item can never be done
	Broken                    // the connection broke, or what came was no answer
)

func (o Outcome) String() string {
	return [...]string{"complete", "not-run", "wrong-state", "failed", "impossible", "broken"}[o]
}

// maxBackoff bounds how often the pause after failures of a replica doubles.
const maxBackoff = 4

// RecordEnd notes the end of a run.
func (b *Scheduler) RecordEnd(runID int64, outcome Outcome, attempts int, now time.Time) {
	t := b.taskOf(runID)
	if t == nil {
		return
	}
	replica, events := t.run.replica, t.run.events
	b.release(t)
	p := b.pace(replica)
	switch outcome {
	case Complete:
		p.failures = 0
		t.done = true
	case NotRun:
		p.blockedUntil = now.Add(b.config.RefusalBackoff)
	case WrongState:
		p.blockedUntil = now.Add(2 * b.config.RefusalBackoff)
	case Failed:
		t.failures++
		t.notBefore = now.Add(b.config.FailureBackoff)
		if t.failures >= attempts {
			t.fail()
		}
	case Impossible:
		t.fail()
	case Broken:
		b.blockAfterFailure(p, now)
		t.notBefore = now.Add(b.config.FailureBackoff)
		if events == 0 {
			t.broken++
			if t.broken >= b.config.MaxBrokenRuns {
				t.notBefore = now.Add(b.config.SuspectBackoff)
			}
		}
	}
}

func (b *Scheduler) blockAfterFailure(p *pace, now time.Time) {
	pause := b.config.FailureBackoff << min(p.failures, maxBackoff)
	p.failures++
	p.blockedUntil = now.Add(pause)
}

// fail marks an item that will not be run again.
func (t *task) fail() {
	t.done, t.failed = true, true
	t.partial = jobs.Partial{}
}

// listing returns the result of a decided item.
func (t *task) listing() Commit {
	l := Commit{Job: t.job.Job.ID}
	switch {
	case t.failed:
		l.Result = jobs.Result{Item: t.item.ID, Failed: true}
	case t.reused != nil:
		l.Result = *t.reused
	default:
		l.Result = jobs.Result{Item: t.item.ID, Versions: jobs.DistinctVersions(t.partial.Versions)}
		l.Output = strings.Join(t.partial.Events, "\n")
	}
	return l
}

// Partials returns the stored text of running items that have grown by at
// least minEvents since the last call with the same seen table.
func (b *Scheduler) Partials(seen map[string]int, minEvents int) []ItemPartial {
	var grown []ItemPartial
	b.tasks.Each(func(k string, t *task) bool {
		n := len(t.partial.Events)
		if !t.done && n-seen[k] >= max(minEvents, 1) {
			grown = append(grown, ItemPartial{Job: t.job.Job.ID, Item: t.item.ID, Partial: t.partial})
			seen[k] = n
		}
		return true
	})
	return grown
}

// ItemPartial names the item of a partial text.
type ItemPartial struct {
	Job, Item string
	Partial   jobs.Partial
}
