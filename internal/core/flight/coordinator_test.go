package flight

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against responses of two attempts being accepted for one request ID,
// against unbounded memory, and against losing the information that an earlier
// attempt reached a backend server.
func TestCoordinatorUnderRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := CoordinatorConfig{Retention: time.Minute, MaxRecords: rapid.IntRange(1, 6).Draw(t, "records"), MaxBytes: 40}
		coord := NewCoordinator(config)
		now := time.Unix(1000, 0)
		type claim struct {
			id      string
			attempt int64
		}
		var open []claim
		newest := make(map[string]int64)
		responses := make(map[string][]byte)
		respondedAt := make(map[string]time.Time)
		reachedAt := make(map[string]time.Time)
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"claim", "claim", "complete", "release"}).Draw(t, "event") {
			case "claim":
				id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
				grant := coord.Claim(id, "fingerprint", false, now)
				if grant.Replayed {
					if !bytes.Equal(grant.Replay, responses[id]) {
						t.Fatalf("replayed %q, recorded %q", grant.Replay, responses[id])
					}
					continue
				}
				if at, ok := reachedAt[id]; ok && now.Sub(at) < config.Retention && !grant.EarlierReached {
					t.Fatalf("request %s: claim did not report the attempt that reached a backend server %v ago", id, now.Sub(at))
				}
				newest[id] = grant.Attempt
				open = append(open, claim{id, grant.Attempt})
			case "complete":
				if len(open) == 0 {
					continue
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "open")]
				response := []byte(fmt.Sprintf("answer %d", c.attempt))
				if !coord.Complete(c.id, c.attempt, response, now) {
					continue
				}
				if at, ok := respondedAt[c.id]; ok && coord.records.Get(c.id) != nil && newest[c.id] != c.attempt {
					t.Fatalf("request %s: response of attempt %d accepted after attempt %d was granted; previous response %v ago",
						c.id, c.attempt, newest[c.id], now.Sub(at))
				}
				responses[c.id], respondedAt[c.id], reachedAt[c.id] = response, now, now
			case "release":
				if len(open) == 0 {
					continue
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "open")]
				known := coord.records.Get(c.id)
				counts := known != nil && known.attempt == c.attempt && known.running
				coord.Release(c.id, c.attempt, true, now)
				if counts {
					reachedAt[c.id] = now
				}
			}
			if coord.Len() > config.MaxRecords || coord.Bytes() > config.MaxBytes+len("answer 00") {
				t.Fatalf("%d records and %d bytes exceed the limits", coord.Len(), coord.Bytes())
			}
		}
	})
}

// Guards against a newer attempt that does not supersede the running one, and
// against a superseded attempt that can still commit its response.
func TestNewerAttemptSupersedesAndResponseIsReplayed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCoordinator(CoordinatorDefaults())
	first := c.Claim("id", "f", false, now)
	must.False(t, first.EarlierReached)
	second := c.Claim("id", "f", false, now)
	must.Eq(t, first.Attempt, second.Superseded)
	must.True(t, second.EarlierReached)
	must.False(t, c.Complete("id", first.Attempt, []byte("one"), now))
	must.True(t, c.Complete("id", second.Attempt, []byte("two"), now))
	third := c.Claim("id", "f", false, now.Add(time.Second))
	must.True(t, third.Replayed)
	must.Eq(t, "two", string(third.Replay))
	must.True(t, c.Claim("id", "other content", false, now).Conflict)
	must.False(t, c.Claim("id", "f", false, now.Add(121*time.Second)).Replayed)
}

// Guards against reporting the outcome Unknown after attempts that never
// reached a backend server, and NotRun after one that did.
func TestReleaseRecordsWhetherABackendServerWasReached(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCoordinator(CoordinatorDefaults())
	for _, reached := range []bool{false, true} {
		grant := c.Claim("id", "f", false, now)
		must.False(t, grant.EarlierReached)
		c.Release("id", grant.Attempt, reached, now)
	}
	must.True(t, c.Claim("id", "f", false, now).EarlierReached)
	must.True(t, c.Claim("other", "f", true, now).EarlierReached)
	must.True(t, c.Reached("unknown", true, now))
	must.False(t, c.Reached("unknown", false, now))
	grant := c.Claim("third", "f", false, now)
	must.True(t, c.Reached("third", false, now)) // still running
	c.Release("third", grant.Attempt, false, now)
	must.False(t, c.Reached("third", false, now))
}
