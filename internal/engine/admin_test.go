package engine

import (
	"context"
	"errors"
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
