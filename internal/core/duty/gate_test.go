package duty

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

const (
	testSubject = "usage"
	testLease   = 3 * time.Second
	// testUnanswered is how long a call without a response may still be executed.
	testUnanswered = 2500 * time.Millisecond
)

var (
	testStart = time.Unix(1000, 0)
	former    = Caller{Process: "a", Fence: 4}
	next      = Caller{Process: "b", Fence: 7}
)

// Guards against a call of a new holder that arrives less than a lease after one of the
// former holder, or before a call without a response.
func TestNewHolderWaitsForTheFormerCall(t *testing.T) {
	g := NewGate(testLease)
	must.True(t, g.Earliest(testSubject, next).IsZero())
	g.Observe(testSubject, NewIntent(former, 1, time.Second), testStart)
	must.EqOp(t, testStart.Add(time.Second+testUnanswered+testLease), g.Earliest(testSubject, next))
	must.True(t, g.Earliest(testSubject, former).IsZero(), must.Sprint("the holder repeats its own call"))
	must.True(t, g.Earliest("scale", next).IsZero(), must.Sprint("another subject"))

	answered := NewIntent(former, 1, time.Second)
	answered.Answered = true
	g.Observe(testSubject, answered, testStart.Add(200*time.Millisecond))
	must.EqOp(t, testStart.Add(200*time.Millisecond+testLease), g.Earliest(testSubject, next))
	g.Observe(testSubject, answered, testStart.Add(time.Second))
	must.EqOp(t, testStart.Add(200*time.Millisecond+testLease), g.Earliest(testSubject, next), must.Sprint("read again"))
}

// Guards against a call of a host that becomes the holder again while its own call under
// the former number may still be executed.
func TestSameProcessWaitsForItsUnansweredCall(t *testing.T) {
	g := NewGate(testLease)
	again := Caller{Process: former.Process, Fence: former.Fence + 5}
	g.Observe(testSubject, NewIntent(former, 1, MinIntentTime), testStart)
	must.EqOp(t, testStart.Add(MinIntentTime+testUnanswered), g.Earliest(testSubject, again))
	must.False(t, g.Superseded(testSubject, again))
	must.True(t, g.Superseded(testSubject, Caller{Process: "c", Fence: 1}))
}

// Guards against a usage report that the next holder sends after its deadline, if the
// former one was lost right after it had stored it.
func TestNextHolderMeetsTheDeadlineOfAReport(t *testing.T) {
	const closedAfter, deadline, callTime = 3 * time.Second, 10 * time.Second, 500 * time.Millisecond
	g := NewGate(testLease)
	g.Observe(testSubject, NewIntent(former, 1, MinIntentTime), testStart.Add(closedAfter))
	must.LessEq(t, deadline, g.Earliest(testSubject, next).Sub(testStart)+callTime)
}

// simulatedCall is a call with the time of its execution.
type simulatedCall struct {
	caller Caller
	at     time.Time
}

// Guards against calls that are executed out of the order of their fencing numbers, or of
// two processes less than a lease apart, whatever is slow: the store, the sender, the
// reading of the next holder, and the API.
func TestCallsAreExecutedInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		gates := map[string]*Gate{"a": NewGate(testLease), "b": NewGate(testLease), "c": NewGate(testLease)}
		now := testStart
		var executed []simulatedCall
		number := int64(0)
		for fence := range int64(rapid.IntRange(1, 8).Draw(t, "tenures")) {
			c := Caller{Process: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process"), Fence: fence}
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				if at := gates[c.Process].Earliest(testSubject, c); at.After(now) {
					now = at
				}
				number++
				intent := NewIntent(c, number, IntentTime(delay("latency", 2*time.Second)))
				began, stored := now, delay("append", intent.SentWithin())
				// Each host reads the record when it is stored, or later.
				for _, g := range gates {
					g.Observe(testSubject, intent, began.Add(stored+delay("read", time.Second)))
				}
				sent := began.Add(stored + delay("freeze", intent.SentWithin()-stored))
				execution := sent.Add(delay("execution", testUnanswered))
				executed = append(executed, simulatedCall{c, execution})
				now = sent
				if rapid.Bool().Draw(t, "answered") {
					now = execution
					intent.Answered = true
					for _, g := range gates {
						g.Observe(testSubject, intent, now.Add(delay("read", time.Second)))
					}
				}
			}
		}
		for i, later := range executed {
			for _, earlier := range executed[:i] {
				if earlier.caller.Fence == later.caller.Fence {
					continue
				}
				must.False(t, later.at.Before(earlier.at), must.Sprint("a lower number after a higher one"))
				if earlier.caller.Process != later.caller.Process {
					must.GreaterEq(t, testLease, later.at.Sub(earlier.at))
				}
			}
		}
	})
}
