package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/duties"
)

// testControl is the control API of a test.
type testControl struct {
	mu      sync.Mutex
	reports map[int64]map[string]int64
	calls   []testControlCall
	changed []int64 // windows with two reports that differ
}

type testControlCall struct {
	at     time.Time
	tenure duties.Tenure
}

func (c *testControl) ReportUsage(_ context.Context, tenure duties.Tenure, r duties.UsageReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, testControlCall{time.Now(), tenure})
	if known, ok := c.reports[r.Window]; ok && fmt.Sprint(known) != fmt.Sprint(r.Counts) {
		c.changed = append(c.changed, r.Window)
	}
	c.reports[r.Window] = r.Counts
	return nil
}

func (c *testControl) Scale(context.Context, duties.Tenure, duties.ScaleOrder) error { return nil }

func (c *testControl) requests(workspace string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for _, counts := range c.reports {
		sum += counts[workspace]
	}
	return sum
}

// controlOwnerOf returns the host of a cluster that owns the control partition, or nil.
func controlOwnerOf(hosts []*hostHandle) *hostHandle {
	for _, h := range hosts {
		if _, owned := h.group.Owned()[controlPartition]; owned {
			return h
		}
	}
	return nil
}

// Guards against requests that are counted on one host and missing in the reports of
// another, requests that are counted although they did not run, and calls of a new holder
// that follow those of the former one too soon.
func TestUsageIsReportedByOneHolder(t *testing.T) {
	c := newTestCluster(t, 1)
	control := &testControl{reports: make(map[int64]map[string]int64)}
	c.control = control
	var allFull atomic.Bool
	c.calls = func(id string) *backend.Response {
		if id == "app-full" || allFull.Load() {
			return full(id)
		}
		return good(id)
	}
	c.streams = func(_ context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		s.OnHeaders(headOf(target))
		s.OnEvent(backend.Event{ID: 1})
		s.OnEvent(backend.Event{ID: 2})
		return backend.RunEnd{Complete: true}
	}
	c.register("app-a", testApp)
	c.register("app-full", testApp)
	hosts := []*hostHandle{c.startHost("a"), c.startHost("b"), c.startHost("c")}
	send := func(h *hostHandle, prefix, name string, n int) {
		for i := range n {
			request := &backend.Request{ID: fmt.Sprint(name, i), Method: http.MethodPost, URI: prefix + "x", HostName: testHost, Header: http.Header{}}
			caller := Caller{workspace: &workspace.Workspace{Name: name}, checked: true}
			route := h.Config().Match(testHost, prefix)
			if prefix == "/live/" {
				// The first one continues a stream; the second one has no event yet.
				h.Stream(context.Background(), caller, request, route, time.Now().Add(time.Second), int64(1-i), i < 2, &streamCaller{})
				continue
			}
			_, refusal := h.Forward(context.Background(), caller, request, route, time.Now().Add(time.Second))
			must.EqOp(t, allFull.Load(), refusal != nil)
		}
	}
	allFull.Store(true)
	send(hosts[0], "/pages/", "refused", 3)
	allFull.Store(false)
	for _, h := range hosts {
		send(h, "/pages/", "x", 4)
	}
	send(hosts[0], "/live/", "y", 3)
	c.waitUntil("the requests are reported", func() bool { return control.requests("x") == 12 && control.requests("y") == 2 })

	former := controlOwnerOf(hosts)
	must.NotNil(t, former)
	former.kill()
	var next *hostHandle
	c.waitUntil("another host owns the control partition", func() bool {
		next = controlOwnerOf(hosts)
		return next != nil && next != former
	})
	send(next, "/once/", "z", 3)
	c.waitUntil("the requests are reported", func() bool { return control.requests("z") == 3 })
	must.EqOp(t, 0, control.requests("refused"))
	control.mu.Lock()
	defer control.mu.Unlock()
	must.Len(t, 0, control.changed)
	for i, call := range control.calls[1:] {
		before := control.calls[i]
		must.GreaterEq(t, before.tenure.Fence, call.tenure.Fence)
		if call.tenure.Holder != before.tenure.Holder {
			must.GreaterEq(t, next.settings.Timing.OrderLease, call.at.Sub(before.at))
		}
	}
}

// undialled is a client whose dials last until the request ends while no server is reached.
type undialled struct {
	Backends
	reached atomic.Bool
}

func (u *undialled) Call(ctx context.Context, t backend.Target, r *backend.Request, timeout time.Duration) (*backend.Response, error) {
	if u.reached.Load() {
		return u.Backends.Call(ctx, t, r, timeout)
	}
	<-ctx.Done()
	time.Sleep(10 * time.Millisecond) // the host has answered
	return nil, backend.ErrNotSent
}

// Guards against a request that is counted although its caller left, or its deadline ended,
// before it was written.
func TestRequestThatEndsDuringADialIsNotCounted(t *testing.T) {
	c := newTestCluster(t, 1)
	control := &testControl{reports: make(map[int64]map[string]int64)}
	c.control, c.calls = control, good
	c.register("app-a", testApp)
	h := c.newEntryHost("a")
	servers := &undialled{Backends: h.backends}
	h.backends = servers
	c.start(h)
	send := func(ctx context.Context, name string, within time.Duration) {
		caller := Caller{workspace: &workspace.Workspace{Name: name}, checked: true}
		_, _ = h.Forward(ctx, caller, testRequest("/pages/x"), h.Config().Match(testHost, "/pages/x"), time.Now().Add(within))
	}
	left, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer leave()
	send(left, "left", time.Second)
	send(t.Context(), "late", 30*time.Millisecond)
	servers.reached.Store(true)
	time.Sleep(h.settings.Timing.UsageWindow) // the next request is in a later window
	send(t.Context(), "x", time.Second)
	c.waitUntil("a later request is reported", func() bool { return control.requests("x") == 1 })
	must.EqOp(t, 0, control.requests("left"))
	must.EqOp(t, 0, control.requests("late"))
}
