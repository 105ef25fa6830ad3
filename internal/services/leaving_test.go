package services

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// leavingServer is a backend server that says that it is leaving and counts its requests.
type leavingServer struct{ received atomic.Int64 }

func (s *leavingServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.received.Add(1)
	w.Header().Set(platform.HeaderLeaving, platform.ValueLeaving)
}

func (h *host) order(t *testing.T, path string) (status int, refusal, retryAfter string) {
	got := h.send(http.MethodPost, PathPrefix+path, "12 trays", httpapi.HeaderRequestTimeout, "2000", httpapi.HeaderIdempotencyKey, newKey(t))
	return got.Code, outcome(got), got.Header().Get("Retry-After")
}

// Guards against calls to a server that has said that it is leaving while the host list
// does not show it, and against a new server at another address that is barred for it.
func TestServerThatSaysItLeavesGetsNoFurtherCall(t *testing.T) {
	for _, path := range []string{"orders/search/trays", "orders/trays"} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			leaving, other := &leavingServer{}, &limitedServer{perSecond: 1000}
			env.server("a", "here", leaving.ServeHTTP)
			env.server("b", "there", other.ServeHTTP)
			h := env.start("host")
			for range 10 {
				status, _, _ := h.order(t, path)
				must.EqOp(t, http.StatusOK, status)
			}
			must.EqOp(t, 1, leaving.received.Load())
			successor := &limitedServer{perSecond: 1000}
			env.server("a", "here", successor.ServeHTTP)
			env.mu.Lock()
			env.servers = env.servers[1:]
			env.mu.Unlock()
			env.waitUntil("the new server gets calls", func() bool {
				status, _, _ := h.order(t, path)
				must.EqOp(t, http.StatusOK, status)
				return successor.most() > 0
			})
			must.EqOp(t, 1, leaving.received.Load())
		})
	}
}

// Guards against refusals while servers that are leaving still serve, and against calls
// to them after that.
func TestServiceWhoseServersAllLeave(t *testing.T) {
	env := newTestEnv(t)
	servers := []*leavingServer{{}, {}}
	for i, s := range servers {
		env.server(fmt.Sprint("s", i), "here", s.ServeHTTP)
	}
	received := func() int64 { return servers[0].received.Load() + servers[1].received.Load() }
	h := env.start("host")
	answered := int64(0)
	var lastNotice time.Time // a time before the last notice
	var refusal, retryAfter string
	env.waitUntil("calls are refused", func() bool {
		var status int
		if answered < int64(len(servers)) {
			lastNotice = time.Now()
		}
		status, refusal, retryAfter = h.order(t, "orders/trays")
		if status == http.StatusOK {
			answered++
		}
		return status != http.StatusOK
	})
	if answered == int64(len(servers)) {
		must.Greater(t, leaving.LastResortPeriod, time.Since(lastNotice))
	}
	must.EqOp(t, answered, received())
	must.EqOp(t, "not-run no-replica", refusal)
	must.NotEq(t, "", retryAfter)
	began := time.Now()
	status, _, _ := h.order(t, "orders/trays")
	must.NotEq(t, http.StatusOK, status)
	must.Less(t, time.Second, time.Since(began))
	must.EqOp(t, answered, received())
}
