package services

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against a call that reaches its server after it was given up, because the kernel
// went on to send what it had buffered.
func TestAbandonedCallIsNotSentLater(t *testing.T) {
	for name, pooled := range map[string]bool{"pooled": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = listener.Close() }()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c := newClient("", func(platform.BackendServer, *http.Response, time.Time) {})
				server := platform.BackendServer{ID: "s1", Addr: listener.Addr().String()}
				call := &request{id: "r", method: http.MethodPost, uri: "/p", header: http.Header{}, body: make([]byte, 32<<20)}
				if pooled {
					_, _ = c.sendRepeatable(ctx, server, call, false)
				} else {
					_, _, _ = c.sendOnce(ctx, server, call, "key")
				}
			}()
			conn, err := listener.Accept()
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.ReadFull(conn, make([]byte, 1))
			must.NoError(t, err)
			cancel()
			<-ended
			_, err = io.Copy(io.Discard, conn)
			must.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
