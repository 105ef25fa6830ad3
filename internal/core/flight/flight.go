// Package flight decides the life of one request at its router: which attempt
// runs, which chunks are delivered, when an attempt is repeated or resumed,
// and what the refusal says when there is no whole answer. It also holds the
// table of a request's home, which settles repeated requests.
//
// Each index is delivered once and in order. "Not run" is only said when no
// attempt under the request ID reached a backend server.
//
// The package has no I/O and no clock. Its types are not safe for concurrent use.
package flight

import (
	"slices"
	"time"
)

const (
	// maxAttempts bounds the attempts of one request that reached a backend server.
	maxAttempts = 6
	// maxPicks bounds the choices of a replica for one request. Choices that
	// no backend server saw are not retries, but each costs a call to an owner.
	maxPicks = 12
	// waitDelay is the pause before choosing again when no replica can serve.
	waitDelay = 50 * time.Millisecond
)

// Outcome says what the end of a flight means for the request.
type Outcome int

// Outcomes of a flight.
const (
	Completed Outcome = iota
	NotRun
	Unknown
	Partial
)

// Failure is how one attempt ended.
type Failure struct {
	// Reached says that the attempt reached a backend server, or may have.
	Reached bool
	// Crashed says that the connection to the backend server broke.
	Crashed bool
	// NonRetryable says that no other replica can do better.
	NonRetryable bool
	// NoReplica says that there was no replica to choose.
	NoReplica bool
	Replica   string
	// Reason and Message describe the failure to the caller.
	Reason  string
	Message string
}

// Kind says what an Action asks for.
type Kind int

// Kinds of actions.
const (
	// Attempt asks to choose a replica and to start attempt number Attempt
	// from index Resume.
	Attempt Kind = iota
	// Deliver asks to give the chunk to the caller.
	Deliver
	// Cancel asks to stop attempt number Attempt.
	Cancel
	// Finish ends the flight.
	Finish
)

// Action is one step that the shell takes for a flight.
type Action struct {
	Kind    Kind
	Attempt int
	Resume  int
	// Delay is the pause before an Attempt.
	Delay time.Duration
	// Outcome and Ending describe a Finish.
	Outcome Outcome
	Failure Failure
}

// Tracker is the life of one request. It counts positions only; the shell keeps
// the tokens.
type Tracker struct {
	budget *Budget
	// patience is how long the flight waits for a replica to appear. Replicas
	// are missing for moments only: while a host starts, or while all of a
	// model's replicas swap weights.
	patience time.Duration
	began    time.Time
	attempt  int // current attempt; 0 before the first
	picks    int
	runs     int // attempts that reached a backend server
	next     int // index of the next chunk to deliver
	reached  bool
	ended    bool
	avoid    []string // replicas where attempts ended in a backend server
	refused  []string // replicas whose owners refused since the last wait
}

// New returns the flight of a request. Reached says that an earlier attempt
// under the same request ID reached a backend server, or may have. Patience is
// how long the flight waits while no replica can serve.
func New(budget *Budget, reached bool, patience time.Duration) *Tracker {
	return &Tracker{budget: budget, reached: reached, patience: patience}
}

// Begin starts the first attempt.
func (f *Tracker) Begin(now time.Time) []Action {
	f.budget.Request(now)
	f.began = now
	return f.newAttempt()
}

// Chunk decides about a chunk with an index from an attempt. Chunks of earlier
// attempts and chunks delivered before are dropped. Last marks the chunk with
// the finish reason. A gap ends the attempt.
func (f *Tracker) Chunk(attempt, index int, last bool, now time.Time) []Action {
	f.reached = true // even a chunk that is dropped shows it
	if f.ended || attempt != f.attempt || index < f.next {
		return nil
	}
	if index > f.next {
		cancel := Action{Kind: Cancel, Attempt: attempt}
		ending := Failure{Reached: true, Reason: "backend-server-failed", Message: "the stream lost a chunk"}
		return append([]Action{cancel}, f.AttemptFailed(attempt, ending, now)...)
	}
	f.next++
	deliver := Action{Kind: Deliver, Attempt: attempt}
	if !last {
		return []Action{deliver}
	}
	f.ended = true
	return []Action{deliver, {Kind: Finish, Attempt: attempt, Outcome: Completed}}
}

// AttemptFailed decides what follows the end of an attempt without a finish reason:
// another attempt, or the end of the flight. Choosing again after an attempt
// that reached no backend server is free; everything else takes from the
// retry budget.
func (f *Tracker) AttemptFailed(attempt int, ending Failure, now time.Time) []Action {
	f.reached = f.reached || ending.Reached
	if f.ended || attempt != f.attempt {
		return nil
	}
	if ending.Reached {
		f.runs++
	}
	switch {
	case ending.Replica == "":
	case ending.Reached:
		f.avoid = append(f.avoid, ending.Replica)
	default:
		f.refused = append(f.refused, ending.Replica)
	}
	refusedByAll := !ending.Reached && !ending.NonRetryable && f.picks >= maxPicks
	if (ending.NoReplica || refusedByAll) && now.Sub(f.began) < f.patience {
		return f.waitForReplica()
	}
	again := !ending.NonRetryable && f.picks < maxPicks && f.runs < maxAttempts
	if again && ending.Reached {
		again = f.budget.Retry(now)
	}
	if again {
		return f.newAttempt()
	}
	return f.finish(ending)
}

// Stop ends the flight at once, because the caller is gone, its deadline
// passed or a newer attempt superseded it.
func (f *Tracker) Stop(ending Failure) []Action {
	if f.ended {
		return nil
	}
	actions := []Action{}
	if f.attempt > 0 {
		actions = append(actions, Action{Kind: Cancel, Attempt: f.attempt})
	}
	f.reached = f.reached || ending.Reached
	return append(actions, f.finish(ending)...)
}

// waitForReplica starts to choose afresh after a pause: replicas that failed
// and owners that refused may have become able to serve meanwhile.
func (f *Tracker) waitForReplica() []Action {
	f.picks, f.avoid, f.refused = 0, nil, nil
	actions := f.newAttempt()
	actions[0].Delay = waitDelay
	return actions
}

// Avoid returns the replicas that are not to be chosen now.
func (f *Tracker) Avoid() []string { return append(slices.Clone(f.avoid), f.refused...) }

// Delivered returns the number of chunks delivered.
func (f *Tracker) Delivered() int { return f.next }

// Reached reports whether an attempt reached a backend server, or may have.
func (f *Tracker) Reached() bool { return f.reached }

func (f *Tracker) newAttempt() []Action {
	f.attempt++
	f.picks++
	return []Action{{Kind: Attempt, Attempt: f.attempt, Resume: f.next}}
}

func (f *Tracker) finish(ending Failure) []Action {
	f.ended = true
	outcome := NotRun
	switch {
	case f.next > 0:
		outcome = Partial
	case f.reached:
		outcome = Unknown
	}
	return []Action{{Kind: Finish, Attempt: f.attempt, Outcome: outcome, Failure: ending}}
}
