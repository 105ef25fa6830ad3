package flight

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// environment models the engines, the network and the caller of one request.
// Events of every attempt that was ever started may arrive at any time.
type environment struct {
	tracker   *Tracker
	attempts  map[int]int // next index that each attempt produces
	reached   bool        // an attempt reached a backend server before the end
	delivered []int
	finish    *Action
	length    int
}

func (e *environment) reach() { e.reached = e.reached || e.finish == nil }

func (e *environment) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Attempt:
			e.attempts[a.Attempt] = a.Resume
		case Deliver:
			e.delivered = append(e.delivered, len(e.delivered))
		case Finish:
			e.finish = &a
		}
	}
}

// Guards against lost, duplicated or reordered chunks, against finishing a
// request twice, and against the outcome NotRun after an attempt reached a
// backend server, under delayed, reordered and duplicated events and callers
// that disconnect at any time.
func TestTrackerUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		earlier := rapid.Bool().Draw(t, "earlier attempt reached")
		e := &environment{
			tracker: New(NewBudget(0.1, rapid.IntRange(0, 4).Draw(t, "reserve")), earlier,
				time.Duration(rapid.IntRange(0, 20).Draw(t, "replica wait"))*time.Second),
			attempts: make(map[int]int), reached: earlier,
			length: rapid.IntRange(1, 6).Draw(t, "length"),
		}
		e.apply(e.tracker.Begin(now))
		for step := 0; step < 60; step++ {
			ended := e.finish != nil
			attempt := rapid.IntRange(1, len(e.attempts)).Draw(t, "attempt")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := len(e.delivered)
			var actions []Action
			switch rapid.SampledFrom([]string{"chunk", "chunk", "chunk", "duplicate", "gap", "crash", "refused", "disconnect"}).Draw(t, "event") {
			case "chunk":
				index := e.attempts[attempt]
				if index < e.length {
					e.reach()
					e.attempts[attempt]++
					actions = e.tracker.Chunk(attempt, index, index == e.length-1, now)
				}
			case "duplicate":
				if index := e.attempts[attempt] - 1; index >= 0 && e.reached {
					actions = e.tracker.Chunk(attempt, index, index == e.length-1, now)
				}
			case "gap":
				if index := e.attempts[attempt] + 1; index < e.length {
					e.reach()
					actions = e.tracker.Chunk(attempt, index, index == e.length-1, now)
				}
			case "crash":
				e.reach()
				actions = e.tracker.AttemptFailed(attempt, Failure{Reached: true, Crashed: true, Replica: "r"}, now)
			case "refused":
				failure := Failure{Replica: "r", NonRetryable: rapid.Bool().Draw(t, "non-retryable")}
				if failure.NoReplica = rapid.Bool().Draw(t, "no replica"); failure.NoReplica {
					failure.Replica, failure.NonRetryable = "", true
				}
				actions = e.tracker.AttemptFailed(attempt, failure, now)
			case "disconnect":
				if rapid.IntRange(0, 9).Draw(t, "disconnects") == 0 {
					actions = e.tracker.Stop(Failure{})
				}
			}
			if ended && len(actions) > 0 {
				t.Fatalf("actions %v after the request was finished", actions)
			}
			e.apply(actions)
			if len(e.delivered) > before+1 || len(e.delivered) > e.length {
				t.Fatalf("delivered %d chunks of %d", len(e.delivered), e.length)
			}
		}
		if e.tracker.Delivered() != len(e.delivered) {
			t.Fatalf("Delivered() = %d after %d deliveries", e.tracker.Delivered(), len(e.delivered))
		}
		if e.finish == nil {
			return
		}
		switch e.finish.Outcome {
		case Completed:
			if len(e.delivered) != e.length {
				t.Fatalf("outcome Completed after %d of %d chunks", len(e.delivered), e.length)
			}
		case NotRun:
			if e.reached {
				t.Fatal("outcome NotRun although an attempt reached a backend server")
			}
		case Partial:
			if len(e.delivered) == 0 {
				t.Fatal("outcome Partial without a delivered chunk")
			}
		}
	})
}

// Guards against retries that exceed the share and the reserve in any window of
// ten seconds.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		reserve := rapid.IntRange(0, 5).Draw(t, "reserve")
		b := NewBudget(share, reserve)
		now := time.Unix(1000, 0)
		var requests, retries []int64
		since := func(times []int64) (n int) {
			for _, at := range times {
				if at > now.Unix()-budgetSeconds {
					n++
				}
			}
			return n
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now.Unix())
				continue
			}
			allowed := float64(since(retries)+1) <= share*float64(since(requests))+float64(reserve)
			if got := b.AllowRetry(now); got != allowed {
				t.Fatalf("AllowRetry() = %v, want %v", got, allowed)
			}
			if allowed {
				retries = append(retries, now.Unix())
			}
		}
	})
}

// Guards against delivering a delayed chunk of an earlier attempt whose index
// happens to be the next one.
func TestDelayedChunkOfEarlierAttemptIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(NewBudget(0, 3), false, 0)
	tracker.Begin(now)
	must.Len(t, 1, tracker.Chunk(1, 0, false, now))
	next := tracker.AttemptFailed(1, Failure{Reached: true, Crashed: true, Replica: "r"}, now)
	must.Eq(t, []Action{{Kind: Attempt, Attempt: 2, Resume: 1}}, next)
	must.SliceEmpty(t, tracker.Chunk(1, 1, true, now))
	must.Len(t, 2, tracker.Chunk(2, 1, true, now))
}

// Guards against refusing a request while all replicas of its model swap
// weights, and against waiting longer than the configured time.
func TestWaitsForAReplicaUntilTheTimeout(t *testing.T) {
	start := time.Unix(0, 0)
	tracker := New(NewBudget(0, 0), false, time.Second)
	attempt := tracker.Begin(start)[0].Attempt
	missing := Failure{NonRetryable: true, NoReplica: true, Reason: "no-replica"}
	again := tracker.AttemptFailed(attempt, missing, start.Add(500*time.Millisecond))[0]
	must.Eq(t, Attempt, again.Kind)
	must.Positive(t, again.Delay)
	must.SliceEmpty(t, tracker.Avoid())
	end := tracker.AttemptFailed(again.Attempt, missing, start.Add(2*time.Second))[0]
	must.Eq(t, Finish, end.Kind)
	must.Eq(t, NotRun, end.Outcome)
}

// Guards against a generation that ends because its only replica was silent for longer
// than a request waits for a replica: the replica may go on with it.
func TestGenerationReturnsToItsOnlyReplicaAfterSilence(t *testing.T) {
	const replicaWait = 3 * time.Second
	now := time.Unix(1000, 0)
	tracker := New(NewBudget(0.1, 3), false, replicaWait)
	tracker.Begin(now)
	tracker.Chunk(1, 0, false, now)
	now = now.Add(2 * replicaWait)
	actions := tracker.AttemptFailed(1, Failure{Reached: true, Replica: "only"}, now)
	must.EqOp(t, Attempt, actions[0].Kind)
	must.Eq(t, []string{"only"}, tracker.Avoid())
	actions = tracker.AttemptFailed(2, Failure{NonRetryable: true, NoReplica: true}, now)
	must.EqOp(t, Attempt, actions[0].Kind)
	must.EqOp(t, 1, actions[0].Resume)
	must.SliceEmpty(t, tracker.Avoid())
	actions = tracker.AttemptFailed(3, Failure{NonRetryable: true, NoReplica: true}, now.Add(replicaWait))
	must.EqOp(t, Finish, actions[0].Kind)
}
