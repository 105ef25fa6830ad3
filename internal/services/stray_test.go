package services

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against bytes after an answer that are taken for the answer to the next request
// on the connection.
func TestBytesAfterAnAnswerAreNotDelivered(t *testing.T) {
	env := newTestEnv(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
				}
			}()
		}
	}()
	env.servers = []platform.BackendServer{{ID: "s1", Kind: platform.KindService, Service: "orders", DataCentre: "here", Addr: listener.Addr().String()}}
	h := env.start("a")
	var stray, right atomic.Int64
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for range 500 {
				w := h.send(http.MethodGet, pathPrefix+"orders/search", "")
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
