package flight

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// world is a model of engines, network and caller around one flight. Events of
// every attempt that ever started may arrive at any time.
type world struct {
	flight    *Tracker
	attempts  map[int]int // next index that each attempt produces
	reached   bool        // an attempt reached a backend server before the end
	delivered []int
	finish    *Action
	length    int
}

func (w *world) reach() { w.reached = w.reached || w.finish == nil }

func (w *world) take(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Attempt:
			w.attempts[a.Attempt] = a.Resume
		case Deliver:
			w.delivered = append(w.delivered, len(w.delivered))
		case Finish:
			w.finish = &a
		}
	}
}

// Guards against lost, repeated or reordered chunks, against two ends of one
// flight, and against "not run" after an attempt reached a backend server,
// whatever arrives late, crossed or twice and whoever leaves in between.
func TestFlightUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		earlier := rapid.Bool().Draw(t, "earlier attempt reached")
		w := &world{
			flight: New(NewBudget(0.1, rapid.IntRange(0, 4).Draw(t, "reserve")), earlier,
				time.Duration(rapid.IntRange(0, 20).Draw(t, "patience"))*time.Second),
			attempts: make(map[int]int), reached: earlier,
			length: rapid.IntRange(1, 6).Draw(t, "length"),
		}
		w.take(w.flight.Begin(now))
		for step := 0; step < 60; step++ {
			ended := w.finish != nil
			attempt := rapid.IntRange(1, len(w.attempts)).Draw(t, "attempt")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := len(w.delivered)
			var actions []Action
			switch rapid.SampledFrom([]string{"chunk", "chunk", "chunk", "again", "gap", "cut", "refused", "gone"}).Draw(t, "event") {
			case "chunk":
				index := w.attempts[attempt]
				if index < w.length {
					w.reach()
					w.attempts[attempt]++
					actions = w.flight.Chunk(attempt, index, index == w.length-1, now)
				}
			case "again":
				if index := w.attempts[attempt] - 1; index >= 0 && w.reached {
					actions = w.flight.Chunk(attempt, index, index == w.length-1, now)
				}
			case "gap":
				if index := w.attempts[attempt] + 1; index < w.length {
					w.reach()
					actions = w.flight.Chunk(attempt, index, index == w.length-1, now)
				}
			case "cut":
				w.reach()
				actions = w.flight.AttemptFailed(attempt, Failure{Reached: true, Crashed: true, Replica: "r"}, now)
			case "refused":
				ending := Failure{Replica: "r", NonRetryable: rapid.Bool().Draw(t, "final")}
				if ending.NoReplica = rapid.Bool().Draw(t, "no replica"); ending.NoReplica {
					ending.Replica, ending.NonRetryable = "", true
				}
				actions = w.flight.AttemptFailed(attempt, ending, now)
			case "gone":
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					actions = w.flight.Stop(Failure{})
				}
			}
			if ended && len(actions) > 0 {
				t.Fatalf("actions %v after the end", actions)
			}
			w.take(actions)
			if len(w.delivered) > before+1 || len(w.delivered) > w.length {
				t.Fatalf("delivered %d chunks of %d", len(w.delivered), w.length)
			}
		}
		if w.flight.Delivered() != len(w.delivered) {
			t.Fatalf("position %d after %d deliveries", w.flight.Delivered(), len(w.delivered))
		}
		if w.finish == nil {
			return
		}
		switch w.finish.Outcome {
		case Completed:
			if len(w.delivered) != w.length {
				t.Fatalf("whole after %d of %d chunks", len(w.delivered), w.length)
			}
		case NotRun:
			if w.reached {
				t.Fatal("not run, although an attempt reached a backend server")
			}
		case Partial:
			if len(w.delivered) == 0 {
				t.Fatal("partial without a chunk")
			}
		}
	})
}

// Guards against retries that go over the share and the reserve in any window
// of ten seconds.
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
				b.Request(now)
				requests = append(requests, now.Unix())
				continue
			}
			allowed := float64(since(retries)+1) <= share*float64(since(requests))+float64(reserve)
			if got := b.Retry(now); got != allowed {
				t.Fatalf("retry allowed: %v, want %v", got, allowed)
			}
			if allowed {
				retries = append(retries, now.Unix())
			}
		}
	})
}

// Guards against a crossed chunk of an earlier attempt being delivered when
// its index happens to be the next one.
func TestLateChunkOfEarlierAttemptIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New(NewBudget(0, 3), false, 0)
	f.Begin(now)
	must.Len(t, 1, f.Chunk(1, 0, false, now))
	next := f.AttemptFailed(1, Failure{Reached: true, Crashed: true, Replica: "r"}, now)
	must.Eq(t, []Action{{Kind: Attempt, Attempt: 2, Resume: 1}}, next)
	must.SliceEmpty(t, f.Chunk(1, 1, true, now))
	must.Len(t, 2, f.Chunk(2, 1, true, now))
}

// Guards against refusing a request in the moment in which all replicas of its
// model swap weights, and against waiting without end.
func TestWaitsForAReplicaWithinItsPatience(t *testing.T) {
	start := time.Unix(0, 0)
	f := New(NewBudget(0, 0), false, time.Second)
	attempt := f.Begin(start)[0].Attempt
	missing := Failure{NonRetryable: true, NoReplica: true, Reason: "no-replica"}
	again := f.AttemptFailed(attempt, missing, start.Add(500*time.Millisecond))[0]
	must.Eq(t, Attempt, again.Kind)
	must.Positive(t, again.Delay)
	must.SliceEmpty(t, f.Avoid())
	end := f.AttemptFailed(again.Attempt, missing, start.Add(2*time.Second))[0]
	must.Eq(t, Finish, end.Kind)
	must.Eq(t, NotRun, end.Outcome)
}
