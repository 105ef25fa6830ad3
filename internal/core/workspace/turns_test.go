package workspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
)

// Guards against a workspace that is served less than a quarter as often as all together
// because the requests of others can wait for longer, or are many, and against rows of
// workspaces that the configuration does not have.
func TestWorkspacesTakeTurns(t *testing.T) {
	for name, others := range map[string]int{"one large": 1, "many": 74} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			limits, turns := ratelimit.NewLimits(), NewTurns()
			limits.Observe(ratelimit.Observation{Server: "a", Incarnation: 1, Named: true, PerSecond: 20, Sent: now, At: now})
			allocator := ratelimit.NewAllocator(limits)
			asked, served := make(map[string]float64), make(map[string]float64)
			ask := func(workspace string, patience time.Duration) {
				decision := allocator.Decide(ratelimit.Demand{
					Host: "h", Servers: []ratelimit.Candidate{{Server: "a", Incarnation: 1}}, Requests: 1, Patience: patience, Background: turns.Yields(workspace, now),
				}, now)
				got := len(decision.Grants) > 0
				turns.Record(workspace, got, now)
				if now.After(time.Unix(1010, 0)) {
					for _, key := range []string{workspace, "all"} {
						asked[key]++
						if got {
							served[key]++
						}
					}
				}
			}
			for tick := range 6000 {
				now = now.Add(10 * time.Millisecond)
				ask(fmt.Sprint("other-", tick%others), 10*time.Second)
				if tick%10 == 0 {
					ask("short", 100*time.Millisecond)
				}
			}
			all := served["all"] / asked["all"]
			for workspace := range asked {
				must.GreaterEq(t, all/4, served[workspace]/asked[workspace], must.Sprint(workspace))
			}
			must.GreaterEq(t, 0.8*20*50, served["all"], must.Sprint("the limit is not used"))
			d, _ := NewDirectory([]Declared{{Name: "short"}})
			turns.Retain(d)
			must.MapLen(t, 1, turns.rows)
			turns.Retain(nil)
			must.MapLen(t, 0, turns.rows)
		})
	}
}
