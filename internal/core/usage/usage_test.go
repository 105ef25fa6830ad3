package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// testHost is a host that counts and reports.
type testHost struct {
	name string
	*Counter
}

// report sends what is pending to a holder.
func (h testHost) report(c *Collector, now time.Time) {
	h.Advance(now)
	sent := h.Pending(now)
	c.Add(h.name, sent, now)
	h.Settle(c.Closed())
	h.Delivered(sent)
}

func newTestHosts(now time.Time, names ...string) []testHost {
	hosts := make([]testHost, len(names))
	for i, name := range names {
		hosts[i] = testHost{name, NewCounter(testWindows, now)}
	}
	return hosts
}

func newTestCollector(now time.Time) *Collector {
	return NewCollector(testWindows, now, testWindow-1, true)
}

// mustClose requires that the next window is closed with some counts.
func mustClose(t *testing.T, c *Collector, now time.Time, window int64, counts map[string]int64) {
	t.Helper()
	next, decision := c.Next(now)
	must.EqOp(t, window, next)
	must.EqOp(t, Close, decision)
	must.Eq(t, Report{Window: window, Counts: counts}, c.Report())
	c.Advance(now)
}

func mustWait(t *testing.T, c *Collector, now time.Time) {
	t.Helper()
	_, decision := c.Next(now)
	must.EqOp(t, Wait, decision)
}

// Guards against requests that are lost, counted twice or in a wrong window when they are
// sent again, refused, or moved.
func TestCountsAreCumulative(t *testing.T) {
	h := newTestHosts(testStart, "a")[0]
	c := newTestCollector(testStart)
	h.Began("x", after(time.Second))
	h.report(c, after(2*time.Second))
	sent := []Counts{{Window: testWindow, ByWorkspace: map[string]int64{"x": 1}}}
	c.Add("a", sent, after(2*time.Second))
	refused := h.Began("x", after(4*time.Second))
	queued := h.Began("y", after(4900*time.Millisecond))
	h.report(c, after(5*time.Second))
	h.Cancel(refused)
	must.EqOp(t, testWindow+1, h.Move(queued, after(5100*time.Millisecond)).Window)
	h.report(c, after(5400*time.Millisecond))
	mustClose(t, c, after(5400*time.Millisecond), testWindow, map[string]int64{"x": 1})
	must.Len(t, 0, h.Pending(after(5400*time.Millisecond)), must.Sprint("nothing has changed"))
	h.report(c, after(10400*time.Millisecond))
	mustClose(t, c, after(10400*time.Millisecond), testWindow+1, map[string]int64{"y": 1})
	must.EqOp(t, 0, h.TakeDropped())
}

// Guards against counts that change a report after it was stored.
func TestLateCountsAreDropped(t *testing.T) {
	hosts := newTestHosts(testStart, "a", "b")
	c := newTestCollector(testStart)
	for _, h := range hosts {
		h.Began("x", after(time.Second))
	}
	hosts[0].report(c, after(5400*time.Millisecond))
	hosts[1].report(c, after(2500*time.Millisecond))
	hosts[1].Began("x", after(3*time.Second))
	mustWait(t, c, after(5400*time.Millisecond))
	mustClose(t, c, after(8*time.Second), testWindow, map[string]int64{"x": 2})
	hosts[1].report(c, after(9*time.Second))
	c.Add("b", []Counts{{Window: testWindow, ByWorkspace: map[string]int64{"x": 9}}}, after(9*time.Second))
	mustWait(t, c, after(9*time.Second))
	late := hosts[1].Began("x", after(4*time.Second))
	must.EqOp(t, late, hosts[1].Move(late, after(9*time.Second)), must.Sprint("a request of a reported window is not counted again"))
	must.EqOp(t, 2, hosts[1].TakeDropped(), must.Sprint("delivered late, and after the window was settled"))
}

// Guards against windows that wait for a host that is gone for longer than their deadline
// allows, and against windows that wait for one that has stopped.
func TestWindowDoesNotWaitForLostHosts(t *testing.T) {
	hosts := newTestHosts(testStart, "a", "killed", "stopped")
	c := newTestCollector(testStart)
	for _, h := range hosts {
		h.Began("x", after(time.Second))
		h.report(c, after(4*time.Second))
	}
	c.Leave("stopped")
	hosts[0].report(c, after(5400*time.Millisecond))
	mustWait(t, c, after(5400*time.Millisecond))
	mustClose(t, c, after(8*time.Second), testWindow, map[string]int64{"x": 3})
	hosts[0].report(c, after(10400*time.Millisecond))
	mustClose(t, c, after(10400*time.Millisecond), testWindow+1, map[string]int64{})
}

// Guards against counts that are lost with a holder that had received, but not stored them,
// and against a window that is closed before the hosts have found the next holder.
func TestNextHolderGetsAllCounts(t *testing.T) {
	hosts := newTestHosts(testStart, "a", "b")
	lost := newTestCollector(testStart)
	for _, h := range hosts {
		h.Began("x", after(time.Second))
		h.report(lost, after(5400*time.Millisecond))
	}
	next := newTestCollector(after(7 * time.Second))
	hosts[0].NewSession()
	hosts[0].report(next, after(7500*time.Millisecond))
	mustWait(t, next, after(8*time.Second))
	hosts[1].NewSession()
	hosts[1].report(next, after(9500*time.Millisecond))
	mustWait(t, next, after(9900*time.Millisecond))
	mustClose(t, next, after(10*time.Second), testWindow, map[string]int64{"x": 2})
}

// Guards against reports that are missing or wrong after a time without any holder, and
// after the loss of all hosts.
func TestWindowsWithoutHolder(t *testing.T) {
	h := newTestHosts(testStart, "a")[0]
	h.Began("x", after(time.Second))
	began := after(31 * time.Second)
	c := newTestCollector(began)
	h.report(c, began)
	now := after(34 * time.Second)
	mustClose(t, c, now, testWindow, map[string]int64{"x": 1})
	for w := testWindow + 1; w <= testWindow+5; w++ {
		h.report(c, now)
		mustClose(t, c, now, w, map[string]int64{})
	}

	fresh := newTestHosts(began, "b")[0]
	fresh.Began("x", began)
	c = newTestCollector(began)
	fresh.report(c, now)
	for w := testWindow; ; w++ {
		next, decision := c.Next(now)
		if decision != Skip {
			must.EqOp(t, testWindow+4, next, must.Sprint("the first window that is not past its deadline"))
			break
		}
		c.Advance(now)
	}
	mustClose(t, c, now, testWindow+4, map[string]int64{})
	mustClose(t, c, now, testWindow+5, map[string]int64{})

	c = NewCollector(testWindows, began, 0, false)
	newTestHosts(testStart, "a")[0].report(c, began)
	next, _ := c.Next(now)
	must.EqOp(t, testWindow, next, must.Sprint("the first holder begins with the first counted window"))
	c = newTestCollector(after(time.Hour))
	_, decision := c.Next(after(time.Hour + 3*time.Second))
	must.EqOp(t, Skip, decision)
}

// Guards against a host that counts nothing after its clock was hours ahead.
func TestCounterFollowsCorrectedClock(t *testing.T) {
	h := newTestHosts(after(time.Hour), "a")[0]
	h.Advance(testStart)
	h.Began("x", testStart)
	c := newTestCollector(testStart)
	h.report(c, after(5400*time.Millisecond))
	mustClose(t, c, after(5400*time.Millisecond), testWindow, map[string]int64{"x": 1})
}

// Guards against a report that is sent although it was answered or is too old, that keeps
// others from their deadline, or whose removal loses which window was closed last.
func TestOutgoingReports(t *testing.T) {
	o := NewOutgoing(testWindows, []Report{{Window: testWindow}, {Window: testWindow + 8}})
	now := after(46 * time.Second)
	first, ok := o.Next(now)
	must.True(t, ok)
	must.EqOp(t, testWindow+8, first.Window, must.Sprint("the other one is late anyway"))
	o.Sent(first.Window, false, now)
	_, ok = o.Next(now)
	must.False(t, ok, must.Sprint("a pause after a failure"))
	now = now.Add(minBackoff)
	o.Sent(first.Window, true, now)
	late, ok := o.Next(now)
	must.True(t, ok)
	must.EqOp(t, testWindow, late.Window)
	windows, _ := o.Done(now)
	must.Len(t, 0, windows)
	windows, unanswered := o.Done(now.Add(sendFor))
	must.Eq(t, []int64{testWindow}, windows)
	must.EqOp(t, 1, unanswered)
	_, ok = o.Next(now.Add(sendFor))
	must.False(t, ok)
	o.Remove(testWindow)
	windows, _ = o.Done(now.Add(sendFor))
	must.Len(t, 0, windows)
}

// Guards against a report of many workspaces that does not fit into one record, and against
// bytes that differ when it is made again.
func TestReportIsSplitIntoParts(t *testing.T) {
	r := Report{Window: testWindow, Counts: make(map[string]int64)}
	for i := range 20000 {
		r.Counts[fmt.Sprintf("workspace-%d", i)] = int64(i)
	}
	parts, err := r.Encode(262144)
	must.NoError(t, err)
	must.Greater(t, 1, len(parts))
	decoded, err := DecodeReport(parts)
	must.NoError(t, err)
	must.Eq(t, r, decoded)
	again, err := decoded.Encode(262144)
	must.NoError(t, err)
	must.Eq(t, parts, again)
	_, err = DecodeReport(parts[:1])
	must.Error(t, err)
}

// Guards against counts that differ from the requests that ran while no host is lost or cut
// off for longer than windows wait, whatever messages are lost and whenever the holder
// changes.
func TestReportsHaveAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := newTestHosts(testStart, "a", "b", "c")
		c := newTestCollector(testStart)
		want, got := make(map[int64]int64), make(map[int64]int64)
		last := testWindow + 5
		lostInARow := make(map[string]int)
		for now := testStart; c.Closed() < last; now = now.Add(250 * time.Millisecond) {
			// A holder that is replaced sooner closes no window, and windows are skipped that
			// ended a minute ago.
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 && now.Sub(c.began) > 5*time.Second {
				c = NewCollector(testWindows, now, c.Closed(), true)
				for _, h := range hosts {
					h.NewSession()
				}
			}
			for _, h := range hosts {
				h.Advance(now)
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					want[h.Began("x", now).Window]++
				}
				if pending := h.Pending(now); rapid.IntRange(0, 3).Draw(t, "lost") == 0 && lostInARow[h.name] < 5 {
					lostInARow[h.name]++
					h.Lost(pending)
				} else {
					lostInARow[h.name] = 0
					c.Add(h.name, pending, now)
					h.Delivered(pending)
				}
				h.Settle(c.Closed())
			}
			if w, decision := c.Next(now); decision == Close {
				got[w] = c.Report().Counts["x"]
				c.Advance(now)
			} else {
				must.EqOp(t, Wait, decision)
			}
		}
		for w := testWindow; w <= last; w++ {
			must.EqOp(t, want[w], got[w], must.Sprintf("window %d", w))
		}
	})
}
