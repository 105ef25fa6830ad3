// Package flight tracks in-flight requests. A Tracker decides, on the host that
// routes a request, which attempt runs, which chunks are delivered, when an
// attempt is retried or resumed, and which outcome is reported when there is no
// complete response. A Coordinator resolves repeated requests: it numbers the
// attempts of each request ID, supersedes older attempts and replays the
// recorded response.
//
// Each chunk index is delivered once and in order. The outcome is NotRun only
// if no attempt under the request ID reached a backend server.
//
// The package has no I/O and no clock. Its types are not safe for concurrent
// use.
package flight

import (
	"slices"
	"time"
)

const (
	// maxReachedAttempts is the maximum number of attempts of one request that
	// reach a backend server.
	maxReachedAttempts = 6
	// maxSelections is the maximum number of replica selections for one
	// request. Selections that end before a backend server is reached do not
	// count as retries, but each costs a call to a replica owner.
	maxSelections = 12
	// waitDelay is the pause before the next selection when no replica can
	// serve.
	waitDelay = 50 * time.Millisecond
)

// Outcome is the outcome of a request.
type Outcome int

// Outcomes of a request.
const (
	Completed Outcome = iota
	NotRun
	Unknown
	Partial
)

// Failure describes why an attempt, or the request as a whole, ended without a
// complete response.
type Failure struct {
	// Reached reports that the attempt reached, or may have reached, a backend
	// server.
	Reached bool
	// Crashed reports that the connection to the backend server broke.
	Crashed bool
	// NonRetryable reports that selecting another replica cannot help.
	NonRetryable bool
	// NoReplica reports that there was no replica to select.
	NoReplica bool
	Replica   string
	// Reason and Message describe the failure to the caller.
	Reason  string
	Message string
}

// Kind is the kind of an Action.
type Kind int

// Kinds of actions.
const (
	// Attempt asks to select a replica and to start attempt number Attempt from
	// chunk index Resume.
	Attempt Kind = iota
	// Deliver asks to pass the chunk on to the caller.
	Deliver
	// Cancel asks to stop attempt number Attempt.
	Cancel
	// Finish ends the request.
	Finish
)

// Action is one step to be performed for a request by the runtime adapter that
// drives the Tracker.
type Action struct {
	Kind    Kind
	Attempt int
	Resume  int
	// Delay is the pause before an Attempt.
	Delay time.Duration
	// Outcome and Failure describe a Finish.
	Outcome Outcome
	Failure Failure
}

// Tracker tracks one in-flight request. It only counts chunk indexes; the
// runtime adapter holds the tokens.
type Tracker struct {
	budget *Budget
	// replicaWait is how long the request waits for a replica that can serve
	// it. Replicas are missing only briefly: while a host starts, or while all
	// replicas of a model swap weights.
	replicaWait     time.Duration
	waitingSince    time.Time // since when no replica serves the request
	attempt         int       // current attempt; 0 before the first
	selections      int
	reachedAttempts int // attempts that reached a backend server
	nextIndex       int // index of the next chunk to deliver
	reached         bool
	finished        bool
	avoid           []string // replicas on which attempts failed after reaching the backend server
	refused         []string // replicas whose owners refused the request since the last wait
}

// New returns the Tracker of a request. Set reached if an earlier attempt under
// the same request ID reached, or may have reached, a backend server. The
// request waits up to replicaWait while no replica can serve it.
func New(budget *Budget, reached bool, replicaWait time.Duration) *Tracker {
	return &Tracker{budget: budget, reached: reached, replicaWait: replicaWait}
}

// Begin starts the first attempt.
func (t *Tracker) Begin(now time.Time) []Action {
	t.budget.RecordRequest(now)
	t.waitingSince = now
	return t.newAttempt()
}

// Chunk handles the chunk with the given index from an attempt. Chunks of
// earlier attempts and chunks that were already delivered are dropped. Set last
// for the chunk that carries the finish reason. A gap in the indexes fails the
// attempt.
func (t *Tracker) Chunk(attempt, index int, last bool, now time.Time) []Action {
	t.reached = true // even a dropped chunk proves that a backend server was reached
	if t.finished || attempt != t.attempt || index < t.nextIndex {
		return nil
	}
	if index > t.nextIndex {
		cancel := Action{Kind: Cancel, Attempt: attempt}
		failure := Failure{Reached: true, Reason: "backend-server-failed", Message: "the stream lost a chunk"}
		return append([]Action{cancel}, t.AttemptFailed(attempt, failure, now)...)
	}
	t.nextIndex++
	deliver := Action{Kind: Deliver, Attempt: attempt}
	if !last {
		return []Action{deliver}
	}
	t.finished = true
	return []Action{deliver, {Kind: Finish, Attempt: attempt, Outcome: Completed}}
}

// AttemptFailed handles an attempt that ended without a finish reason: it
// starts another attempt or finishes the request. Another attempt consumes the
// retry budget only if the failed one reached a backend server.
func (t *Tracker) AttemptFailed(attempt int, failure Failure, now time.Time) []Action {
	t.reached = t.reached || failure.Reached
	if t.finished || attempt != t.attempt {
		return nil
	}
	if failure.Reached {
		t.reachedAttempts++
		t.waitingSince = now
	}
	switch {
	case failure.Replica == "":
	case failure.Reached:
		t.avoid = append(t.avoid, failure.Replica)
	default:
		t.refused = append(t.refused, failure.Replica)
	}
	refusedByAll := !failure.Reached && !failure.NonRetryable && t.selections >= maxSelections
	if (failure.NoReplica || refusedByAll) && now.Sub(t.waitingSince) < t.replicaWait {
		return t.waitForReplica()
	}
	retry := !failure.NonRetryable && t.selections < maxSelections && t.reachedAttempts < maxReachedAttempts
	if retry && failure.Reached {
		retry = t.budget.AllowRetry(now)
	}
	if retry {
		return t.newAttempt()
	}
	return t.finish(failure)
}

// Stop finishes the request immediately, because the caller disconnected, the
// deadline passed or a newer attempt superseded it.
func (t *Tracker) Stop(failure Failure) []Action {
	if t.finished {
		return nil
	}
	actions := []Action{}
	if t.attempt > 0 {
		actions = append(actions, Action{Kind: Cancel, Attempt: t.attempt})
	}
	t.reached = t.reached || failure.Reached
	return append(actions, t.finish(failure)...)
}

// waitForReplica schedules a new selection among all replicas after a pause:
// replicas that failed and owners that refused may be able to serve by then.
func (t *Tracker) waitForReplica() []Action {
	t.selections, t.avoid, t.refused = 0, nil, nil
	actions := t.newAttempt()
	actions[0].Delay = waitDelay
	return actions
}

// Avoid returns the replicas that must not be selected now.
func (t *Tracker) Avoid() []string { return append(slices.Clone(t.avoid), t.refused...) }

// Delivered returns the number of delivered chunks.
func (t *Tracker) Delivered() int { return t.nextIndex }

// Reached reports whether an attempt reached, or may have reached, a backend
// server.
func (t *Tracker) Reached() bool { return t.reached }

func (t *Tracker) newAttempt() []Action {
	t.attempt++
	t.selections++
	return []Action{{Kind: Attempt, Attempt: t.attempt, Resume: t.nextIndex}}
}

func (t *Tracker) finish(failure Failure) []Action {
	t.finished = true
	outcome := NotRun
	switch {
	case t.nextIndex > 0:
		outcome = Partial
	case t.reached:
		outcome = Unknown
	}
	return []Action{{Kind: Finish, Attempt: t.attempt, Outcome: outcome, Failure: failure}}
}
