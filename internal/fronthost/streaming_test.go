package fronthost

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
)

// streamCaller collects the headers and events that the caller of a stream receives.
type streamCaller struct {
	heads  []string
	events []int64
}

func (c *streamCaller) WriteHead(a *backend.Response) {
	c.heads = append(c.heads, a.Header.Get("Server"))
}
func (c *streamCaller) WriteEvent(e backend.Event) { c.events = append(c.events, e.ID) }
func headOf(t backend.Target) *backend.Response {
	return &backend.Response{Status: http.StatusOK, Header: http.Header{"Server": {t.ID}}}
}
func brokenStream() backend.RunEnd { return backend.RunEnd{Err: backend.ErrOutcomeUnknown} }
func refusedStream() backend.RunEnd {
	return backend.RunEnd{Response: &backend.Response{Status: http.StatusServiceUnavailable, NotRun: true}}
}

// streamFrom serves a stream through a host from five servers whose responses the test
// gives. Sends are counted from 1.
func streamFrom(t *testing.T, prefix string, response func(ctx context.Context, send int, t backend.Target, s *backend.Stream) backend.RunEnd) (*streamCaller, StreamEnd, int) {
	t.Helper()
	return streamFromServers(t, []string{"app-a", "app-b", "app-c", "app-d", "app-e"}, prefix, response)
}

// streamFromServers is streamFrom with the given servers.
func streamFromServers(t *testing.T, servers []string, prefix string, response func(ctx context.Context, send int, t backend.Target, s *backend.Stream) backend.RunEnd) (*streamCaller, StreamEnd, int) {
	t.Helper()
	c := newTestCluster(t, 1)
	var mu sync.Mutex
	sends := 0
	c.streams = func(ctx context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		mu.Lock()
		sends++
		send := sends
		mu.Unlock()
		return response(ctx, send, target, s)
	}
	for _, id := range servers {
		c.register(id, testApp)
	}
	h := c.startHost("a")
	route := h.Config().Match(testHost, prefix)
	must.NotNil(t, route)
	caller := &streamCaller{}
	request := &backend.Request{ID: "r1", Method: http.MethodPost, URI: prefix + "x", HostName: testHost, Header: http.Header{}}
	end := h.Stream(context.Background(), Caller{}, request, route, time.Now().Add(8*time.Second), 0, false, caller)
	return caller, end, sends
}

// Guards against missing or repeated events, and against a second set of headers,
// when a server breaks off in the middle of a resumable stream.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	var first string
	caller, end, sends := streamFrom(t, "/live/", func(_ context.Context, send int, target backend.Target, s *backend.Stream) backend.RunEnd {
		must.EqOp(t, send > 1, s.Resumed)
		s.OnHeaders(headOf(target))
		if send == 1 {
			first = target.ID
			for id := int64(1); id <= 3; id++ {
				s.OnEvent(backend.Event{ID: id})
			}
			return brokenStream()
		}
		must.NotEqOp(t, first, target.ID)
		for id := s.LastEventID + 1; id <= 6; id++ {
			s.OnEvent(backend.Event{ID: id})
		}
		return backend.RunEnd{Complete: true}
	})
	must.Eq(t, StreamEnd{}, end)
	must.Eq(t, []int64{1, 2, 3, 4, 5, 6}, caller.events)
	must.Eq(t, []string{first}, caller.heads)
	must.EqOp(t, 2, sends)
}

// Guards against a second run of a stream that is not resumable, and against an
// incomplete stream that appears complete.
func TestNonResumableStreamIsNotResent(t *testing.T) {
	for _, events := range []int64{0, 2} {
		caller, end, sends := streamFrom(t, "/live-once/", func(_ context.Context, _ int, target backend.Target, s *backend.Stream) backend.RunEnd {
			s.OnHeaders(headOf(target))
			for id := int64(1); id <= events; id++ {
				s.OnEvent(backend.Event{ID: id})
			}
			return brokenStream()
		})
		must.EqOp(t, 1, sends)
		must.SliceLen(t, int(events), caller.events)
		must.EqOp(t, events > 0, end.Broken)
		if events == 0 {
			must.EqOp(t, cluster.OutcomeUnknown, end.Refusal.Outcome)
		}
	}
}

// Guards against a stream that ends although another server would accept it, and
// against more runs than the route's attempts.
func TestStreamAttemptsAreBounded(t *testing.T) {
	caller, end, sends := streamFrom(t, "/live-once/", func(_ context.Context, send int, target backend.Target, s *backend.Stream) backend.RunEnd {
		if send < 3 {
			return refusedStream()
		}
		s.OnHeaders(headOf(target))
		s.OnEvent(backend.Event{ID: 1})
		return backend.RunEnd{Complete: true}
	})
	must.Eq(t, StreamEnd{}, end)
	must.EqOp(t, 3, sends)
	must.SliceLen(t, 1, caller.events)

	_, end, sends = streamFrom(t, "/live/", func(_ context.Context, _ int, target backend.Target, s *backend.Stream) backend.RunEnd {
		s.OnHeaders(headOf(target))
		return brokenStream()
	})
	must.EqOp(t, 3, sends)
	must.EqOp(t, cluster.OutcomeUnknown, end.Refusal.Outcome)

	_, end, _ = streamFrom(t, "/live/", func(context.Context, int, backend.Target, *backend.Stream) backend.RunEnd { return refusedStream() })
	must.EqOp(t, cluster.OutcomeNotRun, end.Refusal.Outcome)
}

// Guards against a caller that waits for a server that stopped sending events, and
// against two servers that work on one stream at the same time.
func TestStalledStreamResumesOnAnotherServer(t *testing.T) {
	var working sync.Mutex
	began := time.Now()
	caller, end, sends := streamFrom(t, "/live/", func(ctx context.Context, send int, target backend.Target, s *backend.Stream) backend.RunEnd {
		must.True(t, working.TryLock())
		defer working.Unlock()
		s.OnHeaders(headOf(target))
		s.OnEvent(backend.Event{ID: s.LastEventID + 1})
		if send == 1 {
			<-ctx.Done()
			return brokenStream()
		}
		return backend.RunEnd{Complete: true}
	})
	must.Eq(t, StreamEnd{}, end)
	must.Eq(t, []int64{1, 2}, caller.events)
	must.EqOp(t, 2, sends)
	must.Less(t, 2*time.Second, time.Since(began)) // the gap after which callers disconnect
}

// pause waits, and reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Guards against a stream that is cut because its server is silent, although it cannot go
// on at another server.
func TestSilentStreamThatCannotMoveIsNotCut(t *testing.T) {
	all := []string{"app-a", "app-b"}
	for name, test := range map[string]struct {
		servers       []string
		prefix        string
		first, second time.Duration // time before each event
	}{
		"not resumable":                         {all, "/live-once/", 0, 2 * streamEventTimeout},
		"not resumable, before the first event": {all, "/live-once/", 3 * minFirstEventTimeout, 0},
		"no other server":                       {all[:1], "/live/", 0, 2 * streamEventTimeout},
		"no other server, before the first":     {all[:1], "/live/", 3 * minFirstEventTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, end, sends := streamFromServers(t, test.servers, test.prefix, func(ctx context.Context, _ int, target backend.Target, s *backend.Stream) backend.RunEnd {
				s.OnHeaders(headOf(target))
				for id, silence := range []time.Duration{test.first, test.second} {
					if !pause(ctx, silence) {
						return brokenStream()
					}
					s.OnEvent(backend.Event{ID: int64(id + 1)})
				}
				return backend.RunEnd{Complete: true}
			})
			must.Eq(t, StreamEnd{}, end)
			must.Eq(t, []int64{1, 2}, caller.events)
			must.EqOp(t, 1, sends)
		})
	}
}

// Guards against a stream that is cut because its server was silent and all other servers
// refuse it: the silent one can go on with it.
func TestStreamReturnsToSilentServerIfOthersRefuse(t *testing.T) {
	var silent string
	caller, end, _ := streamFrom(t, "/live/", func(ctx context.Context, send int, target backend.Target, s *backend.Stream) backend.RunEnd {
		if send == 1 {
			silent = target.ID
		}
		if target.ID != silent {
			return refusedStream()
		}
		s.OnHeaders(headOf(target))
		s.OnEvent(backend.Event{ID: s.LastEventID + 1})
		if send == 1 {
			<-ctx.Done()
			return brokenStream()
		}
		return backend.RunEnd{Complete: true}
	})
	must.Eq(t, StreamEnd{}, end)
	must.Eq(t, []int64{1, 2}, caller.events)
}

// Guards against content that is refused as crash-inducing because servers were slow
// and this host cancelled its streams.
func TestStalledStreamsAreNotCountedAsCrashes(t *testing.T) {
	c := newTestCluster(t, 1)
	silent := true
	c.streams = func(ctx context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		if silent {
			<-ctx.Done()
			return brokenStream()
		}
		s.OnHeaders(headOf(target))
		return backend.RunEnd{Complete: true}
	}
	for _, id := range []string{"app-a", "app-b", "app-c"} {
		c.register(id, testApp)
	}
	h := c.startHost("a")
	route := h.Config().Match(testHost, "/live/")
	request := &backend.Request{ID: "r1", Method: http.MethodPost, URI: "/live/x", HostName: testHost, Header: http.Header{}}
	end := h.Stream(context.Background(), Caller{}, request, route, time.Now().Add(8*time.Second), 0, false, &streamCaller{})
	must.EqOp(t, cluster.OutcomeUnknown, end.Refusal.Outcome)
	silent = false
	request.ID = "r2"
	must.Eq(t, StreamEnd{}, h.Stream(context.Background(), Caller{}, request, route, time.Now().Add(8*time.Second), 0, false, &streamCaller{}))
}
