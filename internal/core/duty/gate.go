// Package duty decides when the holder of the duties may call the platform's control API.
//
// The load that it handles: a holder that is lost, frozen, cut off or slow in the middle of
// a call, and an API that executes a call without a response seconds later, while nothing
// but the order of arrival protects the API. docs/design/duties.md has the reasons.
//
// The package has no I/O and no clock. All times are on a clock that runs while the
// machine is suspended.
package duty

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// MinIntentTime and MaxIntentTime bound the time within which a call is sent after the
	// append of its intent began.
	MinIntentTime = 600 * time.Millisecond
	MaxIntentTime = 2500 * time.Millisecond
	// unansweredShare is the part of the lease for which a call without a response may
	// still be executed after it was sent: 2.5 s of a lease of 3 s. With both and the time
	// of an intent, the next holder sends a usage report before its deadline, 10 s after
	// the end of its window.
	unansweredShare = 5.0 / 6
)

// IntentTime returns the time of an intent for a store that takes some time for an append
// of few bytes: that append and a repeated one.
func IntentTime(latency time.Duration) time.Duration {
	return min(max(2*latency, MinIntentTime), MaxIntentTime)
}

// Caller is a process during one tenure.
type Caller struct {
	Process string `json:"process"` // unique to the process, also after a restart of its host
	Fence   int64  `json:"fence"`
}

// Intent is the record of a call, which is stored before the call is sent, and again when
// it was answered.
type Intent struct {
	Caller
	// Number counts the calls of the process.
	Number int64 `json:"number"`
	// IntentMs is the time, in milliseconds, within which the call is sent after its append
	// began.
	IntentMs int64 `json:"intent_ms"`
	// Answered is set if the call has a response, or was not sent and will not be.
	Answered bool `json:"answered,omitempty"`
}

// NewIntent returns the intent of a call that is sent within limit.
func NewIntent(c Caller, number int64, limit time.Duration) Intent {
	return Intent{Caller: c, Number: number, IntentMs: limit.Milliseconds()}
}

// Encode returns the value of the intent's record.
func (i Intent) Encode() ([]byte, error) { return json.Marshal(i) }

// DecodeIntent decodes the value of an intent's record.
func DecodeIntent(data []byte) (Intent, error) {
	var i Intent
	if err := json.Unmarshal(data, &i); err != nil {
		return Intent{}, fmt.Errorf("decode the intent of a call: %w", err)
	}
	return i, nil
}

// SentWithin returns the time within which the call was sent after its append began.
func (i Intent) SentWithin() time.Duration {
	return min(max(time.Duration(i.IntentMs)*time.Millisecond, MinIntentTime), MaxIntentTime)
}

// Gate holds the newest call of each subject, and decides when the next one may be sent.
type Gate struct {
	lease time.Duration
	last  map[string]lastCall // by subject
}

// lastCall is the newest call of a subject.
type lastCall struct {
	Intent
	arrived time.Time // the call has been executed by then, or never will be
	// earlier is the same for the calls before it that had no response.
	earlier time.Time
}

// settled returns the time by which no call of the subject can be executed any more.
func (c lastCall) settled() time.Time {
	if c.earlier.After(c.arrived) {
		return c.earlier
	}
	return c.arrived
}

// NewGate returns a gate without calls. Calls of two processes for one subject are at least
// a lease apart.
func NewGate(lease time.Duration) *Gate {
	return &Gate{lease: lease, last: make(map[string]lastCall)}
}

// unansweredTime returns how long after it was sent a call without a response may still be
// executed.
func (g *Gate) unansweredTime() time.Duration {
	return time.Duration(unansweredShare * float64(g.lease))
}

// Observe applies an intent that was read at a time. The call was sent at most the intent's
// time after that, because the intent cannot be read before its append began.
func (g *Gate) Observe(subject string, i Intent, readAt time.Time) {
	known, isKnown := g.last[subject]
	same := isKnown && known.Caller == i.Caller && known.Number == i.Number
	switch {
	case same && (known.Answered || !i.Answered), isKnown && i.isBefore(known.Intent):
		return // read again, e.g. after it was applied when it was appended
	case same:
		known.Answered, known.arrived = true, readAt
		g.last[subject] = known
		return
	}
	call := lastCall{Intent: i, arrived: readAt, earlier: known.earlier}
	if !i.Answered {
		call.arrived = readAt.Add(i.SentWithin() + g.unansweredTime())
	}
	if isKnown && !known.Answered {
		call.earlier = known.settled()
	}
	g.last[subject] = call
}

// isBefore reports whether the same process has made another call later.
func (i Intent) isBefore(other Intent) bool {
	return i.Process == other.Process && i.Number < other.Number
}

// Forget removes a subject.
func (g *Gate) Forget(subject string) { delete(g.last, subject) }

// Earliest returns the time from which a caller may call for a subject; zero if it may call
// at once.
func (g *Gate) Earliest(subject string, c Caller) time.Time {
	last, known := g.last[subject]
	switch {
	case !known || last.Caller == c:
		return time.Time{}
	case last.Process == c.Process:
		return last.settled()
	}
	return last.settled().Add(g.lease)
}

// Superseded reports whether a call for the subject with a higher fencing number is known.
func (g *Gate) Superseded(subject string, c Caller) bool {
	return g.last[subject].Fence > c.Fence
}
