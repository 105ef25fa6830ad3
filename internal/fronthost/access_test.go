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
	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

const testKey = "Bearer key"

// accessHost is a host with strict revocation and one workspace. Its boot clock can be
// moved, as after a suspension.
type accessHost struct {
	*hostHandle
	t         *testing.T
	suspended atomic.Int64
}

func startAccessHost(c *testCluster, id string) *accessHost {
	h := &accessHost{hostHandle: c.newEntryHost(id), t: c.t}
	h.permission.terms.Strict = true
	h.permission.now = func() time.Time { return boottime.Now().Add(time.Duration(h.suspended.Load())) }
	_, refusal := h.Authorize("r1", nil, []string{testKey})
	must.EqOp(c.t, cluster.ReasonNotReady, refusal.Reason) // nothing was read yet
	h.start(c.t.Context())
	c.waitUntil("host is ready", h.Ready)
	h.declare("key")
	return h
}

// declare replaces the keys of the workspace.
func (h *accessHost) declare(keys ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	config := *h.state.Config
	config.Workspaces, _ = workspace.NewDirectory([]workspace.Declared{{Name: "albums", Keys: keys}})
	h.state.Config = &config
}

// caller returns the caller of a request that has arrived.
func (h *accessHost) caller() Caller {
	caller, refusal := h.Authorize("r1", nil, []string{testKey})
	must.Nil(h.t, refusal)
	return caller
}

func testRequest(uri string) *backend.Request {
	return &backend.Request{ID: "r1", Method: http.MethodPost, URI: uri, HostName: testHost, Header: http.Header{}}
}

// withdrawals are the ways in which a host loses the permission for a request under way.
var withdrawals = map[cluster.Reason]func(*accessHost){
	cluster.ReasonUnauthorized: func(h *accessHost) { h.declare() },
	cluster.ReasonNoPermission: func(h *accessHost) { h.suspended.Store(int64(time.Hour)) },
}

// Guards against a retry after the key was removed or the machine was suspended, and
// against the outcome "not run" although the first send may have run.
func TestRequestIsNotSentAgainWithoutPermission(t *testing.T) {
	for reason, withdraw := range withdrawals {
		for name, first := range map[string]*backend.Response{"full": full(""), "broken": nil} {
			t.Run(fmt.Sprint(reason, " ", name), func(t *testing.T) {
				c := newTestCluster(t, 1)
				c.register("app-a", testApp)
				c.register("app-b", testApp)
				h := startAccessHost(c, "a")
				var sends atomic.Int64
				c.calls = func(string) *backend.Response {
					sends.Add(1)
					withdraw(h)
					return first
				}
				_, refusal := h.Forward(context.Background(), h.caller(), testRequest("/pages/x"), h.Config().Match(testHost, "/pages/x"), time.Now().Add(time.Second))
				must.EqOp(t, 1, sends.Load())
				if first == nil {
					must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
					return
				}
				must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
				must.EqOp(t, reason, refusal.Reason)
			})
		}
	}
}

// Guards against a submission that is accepted although its key was removed, or the
// permission lapsed, while its body arrived.
func TestLateSubmissionNeedsPermission(t *testing.T) {
	for reason, withdraw := range withdrawals {
		h := startAccessHost(newTestCluster(t, 1), "a")
		caller := h.caller()
		must.Nil(t, h.Readmit("job-1", caller))
		withdraw(h)
		must.EqOp(t, reason, h.Readmit("job-1", caller).Reason)
	}
}

// Guards against a stream that is resumed at another server without permission.
func TestStreamIsNotResumedWithoutPermission(t *testing.T) {
	for reason, withdraw := range withdrawals {
		t.Run(string(reason), func(t *testing.T) {
			c := newTestCluster(t, 1)
			c.register("app-a", testApp)
			c.register("app-b", testApp)
			h := startAccessHost(c, "a")
			var sends atomic.Int64
			c.streams = func(_ context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
				must.EqOp(t, "albums", s.Request.Workspace)
				must.Between(t, 0, s.Request.Expires.Sub(boottime.Now()), h.settings.Timing.RevokeWithin)
				sends.Add(1)
				s.OnHeaders(headOf(target))
				s.OnEvent(backend.Event{ID: 1})
				withdraw(h)
				return backend.RunEnd{Err: backend.ErrOutcomeUnknown}
			}
			end := h.Stream(context.Background(), h.caller(), testRequest("/live/x"), h.Config().Match(testHost, "/live/x"), time.Now().Add(2*time.Second), 0, false, &streamCaller{})
			must.True(t, end.Broken)
			must.EqOp(t, 1, sends.Load())
		})
	}
}

// Guards against requests that are sent after they waited for a grant while their key was
// removed.
func TestWaitingRequestsAreNotSentWithoutPermission(t *testing.T) {
	c := newTestCluster(t, 1)
	c.register("app-a", testApp)
	c.limits["app-a"] = 5
	h := startAccessHost(c, "a")
	c.allocator([]*hostHandle{h.hostHandle})
	var sends atomic.Int64
	c.calls = func(id string) *backend.Response {
		sends.Add(1)
		return good(id)
	}
	route := *h.Config().Match(testHost, "/pages/x")
	route.Objective, route.Timeout = time.Minute, time.Minute
	c.waitUntil("the limit is known", func() bool {
		_, refusal := h.Forward(context.Background(), h.caller(), testRequest("/pages/x"), &route, time.Time{})
		_, limited := h.limits.Available(candidateOf(&h.serversByService[testApp][0]), time.Now())
		return refusal == nil && limited
	})
	caller, before := h.caller(), sends.Load()
	var calls sync.WaitGroup
	var unauthorized atomic.Int64
	for range 20 {
		calls.Go(func() {
			if _, refusal := h.Forward(context.Background(), caller, testRequest("/pages/x"), &route, time.Time{}); refusal != nil && refusal.Reason == cluster.ReasonUnauthorized {
				unauthorized.Add(1)
			}
		})
	}
	c.waitUntil("some are sent", func() bool { return sends.Load() > before+1 })
	h.declare()
	time.Sleep(200 * time.Millisecond) // until requests that were checked before have arrived
	after := sends.Load()
	calls.Wait()
	must.EqOp(t, after, sends.Load())
	must.Positive(t, unauthorized.Load())
}

// Guards against crashes of one workspace's request that have the same request of another
// one refused.
func TestSuspicionsAreSeparateByWorkspace(t *testing.T) {
	h := newTestCluster(t, 1).newEntryHost("a")
	prints := make(map[string]bool)
	for _, caller := range []Caller{{}, {workspace: &workspace.Workspace{Name: "albums"}}, {workspace: &workspace.Workspace{Name: "samosas"}}} {
		f, _, cancel := h.newForwarding(context.Background(), caller, testRequest("/pages/x"), &deployment.Route{Name: "pages"}, time.Time{})
		cancel()
		prints[f.fingerprint] = true
	}
	must.MapLen(t, 3, prints)
}

// Guards against a workspace that yields to one whose requests fail for another reason than
// a rate limit, or are abandoned, and against one that does not yield to one without grants.
func TestTurnsCountRequestsThatNeedGrants(t *testing.T) {
	c := newTestCluster(t, 1)
	c.register("app-a", testApp)
	h := startAccessHost(c, "a")
	h.declare("key")
	caller := h.caller()
	yields := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.turns.Yields("other", time.Now())
	}
	serveOther := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.turns = workspace.NewTurns()
		for range 20 {
			h.turns.Record("other", true, time.Now())
		}
	}
	serveOther()
	send := func(ctx context.Context, within time.Duration) *Refusal {
		_, refusal := h.Forward(ctx, caller, testRequest("/pages/x"), h.Config().Match(testHost, "/pages/x"), time.Now().Add(within))
		return refusal
	}
	c.calls = full
	for range 6 {
		must.NotNil(t, send(t.Context(), time.Second))
	}
	must.False(t, yields())

	c.calls = good
	c.setLimit("app-a", 1)
	c.allocator([]*hostHandle{h.hostHandle})
	c.waitUntil("the limit is known", func() bool {
		refusal := send(t.Context(), time.Second)
		_, limited := h.limits.Available(candidateOf(&h.serversByService[testApp][0]), time.Now())
		return refusal != nil && limited
	})
	serveOther()
	left, leave := context.WithCancel(t.Context())
	leave()
	for range 6 {
		must.NotNil(t, send(left, time.Second))
	}
	must.False(t, yields())
	for range 6 {
		send(t.Context(), time.Second)
	}
	must.True(t, yields())
}

// Guards against a further send, with the caller's key in its header, of a request that
// arrived before the configuration declared workspaces.
func TestRequestIsNotSentAgainOnceWorkspacesAreDeclared(t *testing.T) {
	for name, first := range map[string]*backend.Response{"full": full(""), "broken": nil} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1)
			c.register("app-a", testApp)
			c.register("app-b", testApp)
			h := &accessHost{hostHandle: c.startHost("a"), t: t}
			caller, refusal := h.Authorize("r1", nil, []string{testKey})
			must.Nil(t, refusal)
			must.Nil(t, h.Readmit("r1", caller))
			var sends atomic.Int64
			c.calls = func(string) *backend.Response {
				sends.Add(1)
				h.declare("key")
				return first
			}
			_, refusal = h.Forward(t.Context(), caller, testRequest("/pages/x"), h.Config().Match(testHost, "/pages/x"), time.Now().Add(time.Second))
			must.EqOp(t, 1, sends.Load())
			must.EqOp(t, first == nil, refusal.Outcome == cluster.OutcomeUnknown)
			must.EqOp(t, cluster.ReasonNoPermission, h.Readmit("r1", caller).Reason)
		})
	}
}
