package drain

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that a stopping host takes and cannot serve before it ends.
func TestLateRequestsAreAdmittedOnlyIfTheyEndInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	w := Window{NoticeEnd: start.Add(3 * time.Second), End: start.Add(7 * time.Second)}
	for _, c := range []struct {
		name    string
		at      time.Duration // after start
		allowed time.Duration // that the request may take
		longest time.Duration
		want    bool
	}{
		{"ends in time, early", 0, time.Second, 0, true},
		{"ends in time, late", 6 * time.Second, time.Second, 0, true},
		{"may end too late, early, usually short", time.Second, 10 * time.Second, 2 * time.Second, true},
		{"may end too late, early, usually as long", time.Second, 10 * time.Second, 5 * time.Second, false},
		{"may end too late, early, unknown duration", time.Second, 10 * time.Second, 0, false},
		{"may end too late, after the notice", 3 * time.Second, 10 * time.Second, 100 * time.Millisecond, false},
		{"after the end", 7 * time.Second, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(c.at)
			must.EqOp(t, c.want, w.Admits(now, now.Add(c.allowed), c.longest))
		})
	}
	must.False(t, Closed().Admits(start, start, time.Millisecond))
}

// Guards against an estimate that one slow request of long ago determines for ever.
func TestDurationsForgetOldRequests(t *testing.T) {
	d, start := NewDurations(), time.Unix(1000, 0)
	d.Record("a", 4*time.Second, start)
	d.Record("a", time.Second, start.Add(time.Second))
	must.EqOp(t, 4*time.Second, d.Longest("a", start.Add(2*time.Second)))
	must.EqOp(t, 0, d.Longest("b", start.Add(2*time.Second)))
	must.EqOp(t, 4*time.Second, d.Longest("a", start.Add(durationPeriod)))
	must.EqOp(t, 0, d.Longest("a", start.Add(2*durationPeriod)))
	d.Record("a", time.Second, start.Add(2*durationPeriod))
	must.EqOp(t, time.Second, d.Longest("a", start.Add(2*durationPeriod)))
	must.EqOp(t, 0, d.Longest("a", start.Add(5*durationPeriod)))
}

// Guards against a slow host that outlasts its grace period, and against one that gives up
// requests because of a single pause.
func TestAllowanceFollowsThePaceOfTheHost(t *testing.T) {
	observed := func(late ...time.Duration) time.Duration {
		var p Pace
		for _, l := range late {
			p.Observe(l)
		}
		return p.Allowance()
	}
	must.EqOp(t, 0, observed())
	must.EqOp(t, 0, observed(300*time.Millisecond))
	must.Between(t, 350*time.Millisecond, observed(slices.Repeat([]time.Duration{100 * time.Millisecond}, 50)...), 400*time.Millisecond)
	must.EqOp(t, 0, observed(slices.Repeat([]time.Duration{30 * time.Millisecond}, 50)...))
	must.EqOp(t, maxAllowance, observed(time.Minute))
}
