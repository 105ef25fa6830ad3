package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against bytes after a report of an engine's state that are taken for the
// engine's answer to an order.
func TestBytesAfterAStateAreNoAnswerToAnOrder(t *testing.T) {
	server, err := rawserver.Listen(func(r *http.Request) (string, rawserver.End) {
		if r.URL.Path == "/orders" {
			return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", rawserver.KeepOpen
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", rawserver.KeepOpen
	})
	must.NoError(t, err)
	defer func() { _ = server.Close() }()
	client := NewAdminClient("")
	var accepted, fenced atomic.Int64
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 500 {
				_, _ = client.State(context.Background(), server.Addr())
				err := client.SendOrder(context.Background(), server.Addr(), Order{Kind: OrderLoadVersion})
				switch {
				case err == nil:
					accepted.Add(1)
				case errors.Is(err, ErrFenced):
					fenced.Add(1)
				}
			}
		})
	}
	workers.Wait()
	must.EqOp(t, 0, accepted.Load())
	must.Greater(t, 0, fenced.Load())
}

// Guards against the state or the cache events of an engine that are taken for whole
// although they ended early.
func TestStatesAndCacheEventsAreReadToTheirEnd(t *testing.T) {
	const state, events = `{"model":"m","version":3}`, `{"events":[{"seq":1,"stored":true,"prefix":"a"}]}`
	for name, test := range map[string]struct {
		format string // of the length and the body
		extra  int    // added to the length
		valid  bool
	}{
		"whole":                        {"Content-Length: %d\r\n\r\n%s", 0, true},
		"whole, in chunks":             {"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 0, true},
		"shorter than its length":      {"Content-Length: %d\r\n\r\n%s", 8, false},
		"no last chunk":                {"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 0, false},
		"followed by another document": {"Content-Length: %d\r\n\r\n%s{}", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Listen(func(r *http.Request) (string, rawserver.End) {
				body := state
				if r.URL.Path == "/cache/events" {
					body = events
				}
				return "HTTP/1.1 200 OK\r\n" + fmt.Sprintf(test.format, len(body)+test.extra, body), rawserver.Close
			})
			must.NoError(t, err)
			defer func() { _ = server.Close() }()
			got, err := NewAdminClient("").State(t.Context(), server.Addr())
			must.EqOp(t, test.valid, err == nil, must.Sprint(err))
			if test.valid {
				must.EqOp(t, 3, got.Version)
			}
			list, err := NewClient(Config{}).CacheEvents(t.Context(), server.Addr(), 0)
			must.EqOp(t, test.valid, err == nil, must.Sprint(err))
			must.EqOp(t, test.valid, len(list) == 1)
		})
	}
}
