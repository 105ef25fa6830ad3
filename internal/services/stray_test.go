package services

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against bytes after an answer that are taken for the answer to the next request
// on the connection.
func TestBytesAfterAnAnswerAreNotDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	env := newTestEnv(t)
	env.startRaw(1, func(*http.Request) (string, rawserver.End) {
		return head + "right" + head + "stray", rawserver.KeepOpen
	})
	h := env.start("a")
	var stray, right atomic.Int64
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for range 500 {
				w := h.send(http.MethodGet, PathPrefix+"orders/search", "")
				switch {
				case w.Code == http.StatusOK && w.Body.String() == "right":
					right.Add(1)
				case w.Code == http.StatusOK:
					stray.Add(1)
				}
			}
		})
	}
	workers.Wait()
	must.EqOp(t, 0, stray.Load())
	must.Greater(t, 0, right.Load())
}
