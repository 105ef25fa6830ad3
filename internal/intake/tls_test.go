package intake

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	core "github.com/sesamestand/sesamestand/internal/core/intake"
)

// Guards against memory and connections of encrypted connections that are not returned, and
// against requests of one HTTP/2 connection that disturb each other.
func TestEncryptedConnectionsAreServed(t *testing.T) {
	const size = 300 << 10
	for _, http2 := range []bool{false, true} {
		guard := New(smallOptions(64))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := httptest.NewUnstartedServer(nil)
		_ = server.Listener.Close()
		server.Listener, server.EnableHTTP2 = guard.Listen(listener, core.Callers, true), http2
		server.Config = guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(w, r, size)
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprint(w, len(body), r.ProtoMajor)
		}), nil)
		server.StartTLS()
		want := fmt.Sprint("200 ", size, " 1")
		if http2 {
			want = fmt.Sprint("200 ", size, " 2")
		}
		var clients sync.WaitGroup
		for range 8 {
			clients.Go(func() {
				for range 5 {
					request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", size)))
					must.NoError(t, err)
					must.EqOp(t, want, do(t, server.Client(), request))
				}
			})
		}
		clients.Wait()
		server.Client().CloseIdleConnections()
		server.Close()
		requireEmpty(t, guard)
	}
}
