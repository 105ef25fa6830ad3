package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
)

// sentTo returns how many calls of a kind a process got.
func (c *testCluster) sentTo(t backend.Target, call backend.CallKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, sent := range c.sends[call] {
		if sent == t {
			n++
		}
	}
	return n
}

// setLeaving makes processes say in their responses that they are leaving.
func (c *testCluster) setLeaving(targets ...backend.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		c.leaving[t] = true
	}
}

// knowsLeaving reports whether a host counts a server as leaving.
func (h *hostHandle) knowsLeaving(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state.Servers.Get(id)
	return s != nil && s.Leaving
}

// waitRegistered waits until a host has read the record of a process.
func (c *testCluster) waitRegistered(h *hostHandle, t backend.Target) {
	c.waitUntil("process is registered", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		s := h.state.Servers.Get(t.ID)
		return s != nil && targetOf(s) == t
	})
}

// page sends a request to the plain service.
func (h *hostHandle) page(id string) *Refusal {
	request := &backend.Request{ID: id, Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
	_, refusal := h.Forward(context.Background(), Caller{}, request, h.Config().Match(testHost, "/pages/x"), time.Now().Add(2*time.Second))
	return refusal
}

// slowerBy makes the balancer prefer the server that is leaving.
const slowerBy = 30 * time.Millisecond

// newLeavingCluster starts a host and three servers of the plain service, of which the
// first and fastest one says that it is leaving.
func newLeavingCluster(t *testing.T) (*testCluster, *hostHandle) {
	c := newTestCluster(t, 2)
	c.calls = func(id string) *backend.Response {
		if id != "app-a" {
			time.Sleep(slowerBy)
		}
		return good(id)
	}
	c.streams = func(_ context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		if target.ID != "app-a" {
			time.Sleep(slowerBy)
		}
		s.OnHeaders(headOf(target))
		s.OnEvent(backend.Event{ID: 1})
		return backend.RunEnd{Complete: true}
	}
	for _, id := range []string{"app-a", "app-b", "app-c"} {
		c.register(id, testApp)
	}
	c.setLeaving(targetAt("app-a"))
	return c, c.startHost("host")
}

// Guards against each kind of call of a caller to a server that has said that it is
// leaving, and against a notice that the server's next record removes.
func TestServerThatSaysItLeavesGetsNoFurtherCall(t *testing.T) {
	leaving := targetAt("app-a")
	sends := map[string]func(h *hostHandle, n int){
		"plain": func(h *hostHandle, n int) { must.Nil(t, h.page(fmt.Sprint("r", n))) },
		"reward": func(h *hostHandle, n int) {
			request := &backend.Request{ID: fmt.Sprint("r", n), Method: http.MethodPost, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
			must.False(t, h.sendScore(context.Background(), request, h.Config().Match(testHost, "/pages/x"), time.Now().Add(2*time.Second)).NotRun)
		},
		"stream": func(h *hostHandle, n int) {
			request := &backend.Request{ID: fmt.Sprint("r", n), Method: http.MethodPost, URI: "/live/x", HostName: testHost, Header: http.Header{}}
			end := h.Stream(context.Background(), Caller{}, request, h.Config().Match(testHost, "/live/x"), time.Now().Add(2*time.Second), 0, n%2 == 0, &streamCaller{})
			must.True(t, end == StreamEnd{})
		},
	}
	for kind, send := range sends {
		t.Run(kind, func(t *testing.T) {
			c, h := newLeavingCluster(t)
			for n := range 20 {
				send(h, n)
			}
			c.register("app-a", testApp)
			c.unregister("app-a")
			c.register("app-a", testApp)
			c.register("marker", testApp)
			c.waitRegistered(h, targetAt("marker"))
			for n := range 20 {
				send(h, 20+n)
			}
			must.EqOp(t, 1, c.sentTo(leaving, backend.CallRequest)+c.sentTo(leaving, backend.CallStream))
		})
	}
}

// Guards against items that start on a replica after it has said that it is leaving, and
// against runs on it that are cut.
func TestReplicaThatSaysItLeavesFinishesItsRunsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 40
		c := newTestCluster(t, 2)
		leaving := targetAt("replica-0")
		c.setLeaving(leaving)
		h := c.startHost("host")
		defer h.killAndAwaitEnd()
		job, payloads := newJob("job-1", items, 1)
		must.Nil(t, h.Submit(context.Background(), job, payloads))
		results, outputs := c.collect(h, "job-1", items)
		checkResults(t, c, job, results, outputs)
		must.Between(t, 1, c.sentTo(leaving, backend.CallRun), 4) // its slots
		must.EqOp(t, items, c.sentTo(leaving, backend.CallRun)+c.sentTo(targetAt("replica-1"), backend.CallRun))
	})
}

// Guards against a load order to a replica whose report, read just before the order, says
// that it is leaving.
func TestReplicaThatSaysItLeavesGetsNoOrder(t *testing.T) {
	c := newTestCluster(t, 2)
	leaving := targetAt("replica-0")
	c.setLeaving(leaving)
	h := c.startHost("host")
	c.announceVersion(2)
	c.waitUntil("the report of the leaving replica was read", func() bool { return h.knowsLeaving("replica-0") })
	c.waitUntil("the other replica has the version", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.replicas["replica-1"].version == 2
	})
	must.EqOp(t, 0, c.sentTo(leaving, backend.CallOrder))
}

// Guards against a new process that gets no requests because the former one with its ID
// or address said that it was leaving.
func TestNewProcessIsNotBarredByWordOfFormerOne(t *testing.T) {
	c, h := newLeavingCluster(t)
	former := targetAt("app-a")
	c.waitUntil("the former process gave notice", func() bool {
		must.Nil(t, h.page("r"))
		return h.knowsLeaving("app-a")
	})
	restarted := backend.Target{ID: "app-a", Addr: "app-a", Incarnation: 2}
	c.registerProcess(restarted, testApp)
	c.waitRegistered(h, restarted)
	c.waitUntil("the new process gets requests", func() bool {
		must.Nil(t, h.page("r"))
		return c.sentTo(restarted, backend.CallRequest) > 0
	})
	must.EqOp(t, 1, c.sentTo(former, backend.CallRequest))

	// The address belongs to another server now, which says that it is leaving.
	successor := backend.Target{ID: "app-d", Addr: "app-a", Incarnation: 1}
	c.registerProcess(successor, testApp)
	c.waitRegistered(h, successor)
	h.observeLeaving(backend.LeavingNotice{Target: backend.Target{ID: "app-d", Addr: "app-a"}, Other: true, Call: backend.CallRequest, Status: http.StatusMisdirectedRequest})
	must.True(t, h.knowsLeaving("app-d"))
	must.False(t, h.knowsLeaving("app-a"))
	h.observeLeaving(backend.LeavingNotice{Target: backend.Target{ID: "app-b", Addr: "elsewhere"}, Other: true, Call: backend.CallRequest, Status: http.StatusMisdirectedRequest})
	must.False(t, h.knowsLeaving("app-b"))
}

// Guards against refusals while a server that is leaving still serves, against requests
// to it after that, and against a refusal that comes late or does not say "not run".
func TestServiceWhoseServersAllLeave(t *testing.T) {
	c, h := newLeavingCluster(t)
	all := []backend.Target{targetAt("app-a"), targetAt("app-b"), targetAt("app-c")}
	c.setLeaving(all...)
	sent := func() int {
		n := 0
		for _, s := range all {
			n += c.sentTo(s, backend.CallRequest)
		}
		return n
	}
	answered := 0
	var lastNotice time.Time // a time before the last notice
	c.waitUntil("all servers have given notice", func() bool {
		lastNotice = time.Now()
		must.Nil(t, h.page(fmt.Sprint("r", answered)))
		answered++
		return h.knowsLeaving("app-a") && h.knowsLeaving("app-b") && h.knowsLeaving("app-c")
	})
	refusal := h.page("last resort")
	if refusal == nil {
		answered++
	} else {
		must.Greater(t, leaving.LastResortPeriod, time.Since(lastNotice))
	}
	c.waitUntil("requests are refused", func() bool {
		if refusal = h.page("late"); refusal == nil {
			answered++
		}
		return refusal != nil
	})
	must.EqOp(t, answered, sent())
	began := time.Now()
	refusal = h.page("refused")
	must.Less(t, time.Second, time.Since(began))
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	must.EqOp(t, leavingRetryAfter, refusal.RetryAfter)
	must.EqOp(t, answered, sent())
	c.register("app-d", testApp)
	c.waitUntil("a new server gets requests", func() bool { return h.page("after") == nil })
	must.EqOp(t, answered, sent())
}

// Guards against a request that is sent to a server that has said that it is leaving
// while the request waited for its turn.
func TestRequestThatWaitedIsNotSentToServerThatLeavesMeanwhile(t *testing.T) {
	_, h := newLeavingCluster(t)
	request := &backend.Request{ID: "waits", Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
	f, ctx, cancel := h.newForwarding(context.Background(), Caller{}, request, h.Config().Match(testHost, "/pages/x"), time.Now().Add(time.Minute))
	defer cancel()
	selection := f.choose()
	must.NotNil(t, f.current(selection, selection.Server.ID))
	h.observeLeaving(backend.LeavingNotice{Target: targetOf(selection.Server), Call: backend.CallReport, Status: http.StatusOK})
	must.Nil(t, f.current(selection, selection.Server.ID))
	must.NotEq(t, selection.Server.ID, f.selectServer(ctx, false).ID)
}
