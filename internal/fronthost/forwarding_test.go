package fronthost

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
)

// forwardTo forwards a request through a host to n servers whose responses the test
// gives. It also returns the number of sends.
func forwardTo(t *testing.T, prefix string, n int, responses func(id string) *backend.Response) (*backend.Response, *Refusal, int) {
	t.Helper()
	c := newTestCluster(t, 1)
	sends := 0
	c.calls = func(id string) *backend.Response {
		sends++
		return responses(id)
	}
	for i := range n {
		c.register("app-"+string(rune('a'+i)), testApp)
	}
	h := c.startHost("a")
	route := h.Config().Match(testHost, prefix)
	must.NotNil(t, route)
	request := &backend.Request{ID: "r1", Method: http.MethodPost, URI: prefix + "x", HostName: testHost, Header: http.Header{}}
	response, refusal := h.Forward(context.Background(), Caller{}, request, route, time.Now().Add(time.Second))
	return response, refusal, sends
}

func full(string) *backend.Response {
	return &backend.Response{Status: http.StatusServiceUnavailable, NotRun: true}
}

func broken(string) *backend.Response { return nil }

func good(string) *backend.Response { return &backend.Response{Status: http.StatusOK} }

// Guards against a second run of a request that must run at most once, and against
// the outcome "not run" for a request that may have run.
func TestBrokenRequestIsRetriedOnlyIfIdempotent(t *testing.T) {
	_, refusal, sends := forwardTo(t, "/once/", 3, broken)
	must.EqOp(t, 1, sends)
	must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
	_, refusal, sends = forwardTo(t, "/pages/", 3, broken)
	must.EqOp(t, 2, sends) // the route's attempts
	must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
}

// Guards against a refusal while another server has capacity, and against a wrong
// outcome or a late refusal when no server has.
func TestRefusedRequestIsSentToOtherServers(t *testing.T) {
	for _, prefix := range []string{"/once/", "/pages/"} {
		response, refusal, sends := forwardTo(t, prefix, 3, func(id string) *backend.Response {
			if id == "app-c" {
				return good(id)
			}
			return full(id)
		})
		must.Nil(t, refusal)
		must.EqOp(t, http.StatusOK, response.Status)
		must.LessEq(t, 3, sends)
		begin := time.Now()
		_, refusal, sends = forwardTo(t, prefix, 3, full)
		must.EqOp(t, 3, sends)
		must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
		must.Positive(t, refusal.RetryAfter)
		must.Less(t, 10*time.Second, time.Since(begin))
	}
	_, refusal, sends := forwardTo(t, "/pages/", 0, good)
	must.EqOp(t, 0, sends)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
}

// Guards against replacing a server's own failure by a refusal of the host.
func TestLastServerFailureIsReturned(t *testing.T) {
	failing := func(string) *backend.Response { return &backend.Response{Status: http.StatusInternalServerError} }
	response, refusal, sends := forwardTo(t, "/pages/", 3, failing)
	must.Nil(t, refusal)
	must.EqOp(t, http.StatusInternalServerError, response.Status)
	must.EqOp(t, 2, sends)
	response, refusal, sends = forwardTo(t, "/once/", 3, failing)
	must.Nil(t, refusal)
	must.EqOp(t, http.StatusInternalServerError, response.Status)
	must.EqOp(t, 1, sends)
}

// Guards against a request without a deadline, on a route without a timeout, that
// exceeds its deadline immediately.
func TestRequestWithoutDeadlineIsServed(t *testing.T) {
	c := newTestCluster(t, 1)
	c.calls = good
	c.register("app-a", testApp)
	h := c.startHost("a")
	route := *h.Config().Match(testHost, "/pages/")
	route.Timeout = 0
	request := &backend.Request{ID: "r1", Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
	response, refusal := h.Forward(context.Background(), Caller{}, request, &route, time.Time{})
	must.Nil(t, refusal)
	must.EqOp(t, http.StatusOK, response.Status)
}
