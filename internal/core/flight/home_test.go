package flight

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against two attempts of one request ID both being answered with
// different answers, against an unbounded table, and against forgetting that
// an earlier attempt reached a backend server.
func TestHomeUnderRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := CoordinatorConfig{Retention: time.Minute, MaxRecords: rapid.IntRange(1, 6).Draw(t, "records"), MaxBytes: 40}
		h := NewCoordinator(config)
		now := time.Unix(1000, 0)
		type claim struct {
			id      string
			attempt int64
		}
		var open []claim
		newest := make(map[string]int64)
		answers := make(map[string][]byte)
		answeredAt := make(map[string]time.Time)
		reachedAt := make(map[string]time.Time)
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"claim", "claim", "complete", "release"}).Draw(t, "event") {
			case "claim":
				id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
				grant := h.Claim(id, "fingerprint", false, now)
				if grant.Replayed {
					if !bytes.Equal(grant.Replay, answers[id]) {
						t.Fatalf("replayed %q, recorded %q", grant.Replay, answers[id])
					}
					continue
				}
				if at, ok := reachedAt[id]; ok && now.Sub(at) < config.Retention && !grant.EarlierReached {
					t.Fatalf("request %s: an attempt reached a backend server %v ago and was forgotten", id, now.Sub(at))
				}
				newest[id] = grant.Attempt
				open = append(open, claim{id, grant.Attempt})
			case "complete":
				if len(open) == 0 {
					continue
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "open")]
				answer := []byte(fmt.Sprintf("answer %d", c.attempt))
				if !h.Complete(c.id, c.attempt, answer, now) {
					continue
				}
				if at, ok := answeredAt[c.id]; ok && h.records.Get(c.id) != nil && newest[c.id] != c.attempt {
					t.Fatalf("request %s: attempt %d accepted after %d was granted; answered %v ago",
						c.id, c.attempt, newest[c.id], now.Sub(at))
				}
				answers[c.id], answeredAt[c.id], reachedAt[c.id] = answer, now, now
			case "release":
				if len(open) == 0 {
					continue
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "open")]
				known := h.records.Get(c.id)
				counts := known != nil && known.attempt == c.attempt && known.running
				h.Release(c.id, c.attempt, true, now)
				if counts {
					reachedAt[c.id] = now
				}
			}
			if h.Len() > config.MaxRecords || h.Bytes() > config.MaxBytes+len("answer 00") {
				t.Fatalf("%d records and %d bytes", h.Len(), h.Bytes())
			}
		}
	})
}

// Guards against a newer attempt not superseding the running one, and against
// the superseded one still being able to commit its answer.
func TestNewerAttemptSupersedesAndAnswerIsReplayed(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewCoordinator(CoordinatorDefaults())
	first := h.Claim("id", "f", false, now)
	must.False(t, first.EarlierReached)
	second := h.Claim("id", "f", false, now)
	must.Eq(t, first.Attempt, second.Superseded)
	must.True(t, second.EarlierReached)
	must.False(t, h.Complete("id", first.Attempt, []byte("one"), now))
	must.True(t, h.Complete("id", second.Attempt, []byte("two"), now))
	third := h.Claim("id", "f", false, now.Add(time.Second))
	must.True(t, third.Replayed)
	must.Eq(t, "two", string(third.Replay))
	must.True(t, h.Claim("id", "other content", false, now).Conflict)
	must.False(t, h.Claim("id", "f", false, now.Add(121*time.Second)).Replayed)
}

// Guards against an attempt that never reached a backend server making later
// refusals say "unknown", and the other way round.
func TestReleaseRemembersWhetherABackendServerWasReached(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewCoordinator(CoordinatorDefaults())
	for _, reached := range []bool{false, true} {
		grant := h.Claim("id", "f", false, now)
		must.False(t, grant.EarlierReached)
		h.Release("id", grant.Attempt, reached, now)
	}
	must.True(t, h.Claim("id", "f", false, now).EarlierReached)
	must.True(t, h.Claim("other", "f", true, now).EarlierReached)
	must.True(t, h.Reached("unknown", true, now))
	must.False(t, h.Reached("unknown", false, now))
	grant := h.Claim("third", "f", false, now)
	must.True(t, h.Reached("third", false, now)) // it still may
	h.Release("third", grant.Attempt, false, now)
	must.False(t, h.Reached("third", false, now))
}
