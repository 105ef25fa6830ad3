package services

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Guards against a call that Go's HTTP transport sends twice: the server reads
// the call and then closes the connection, on which an earlier request may have
// succeeded.
func TestHTTPTransportDoesNotResendCalls(t *testing.T) {
	env := newTestEnv(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var mu sync.Mutex
	received := make(map[string]int)
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
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					received[r.Method+r.Header.Get("Idempotency-Key")]++
					mu.Unlock()
					if r.Method != http.MethodGet {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	env.servers = []platform.BackendServer{{ID: "s1", Kind: platform.KindService, Service: "orders", DataCentre: "here", Addr: listener.Addr().String()}}
	a := env.start("a")
	for range 5 {
		must.Eq(t, 200, a.do(http.MethodGet, "/trays").Code) // leaves a connection in the pool
		key := newKey(t)
		must.Eq(t, "unknown backend-server-failed", outcome(a.post(key)))
		mu.Lock()
		must.Eq(t, 1, received["POST"+key])
		mu.Unlock()
	}
}

// Guards against a redirect that sends the call a second time.
func TestRedirectsAreReturnedToTheCaller(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", func(rw http.ResponseWriter, r *http.Request) {
		backend.handle(discardWriter{rw}, r)
		rw.Header().Set("Location", "/trays")
		rw.WriteHeader(http.StatusTemporaryRedirect)
	})
	a := env.start("a")
	key := newKey(t)
	must.Eq(t, 307, a.post(key).Code)
	must.Eq(t, 1, backend.count(key))
}

// discardWriter discards the status and the body of a response.
type discardWriter struct{ http.ResponseWriter }

func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Guards against invalid requests that are sent to a backend server.
func TestInvalidRequestsAreNotSent(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a := env.start("a")
	for _, c := range []struct {
		path, body, timeout string
		status              int
		outcome             string
	}{
		{"orders/trays", strings.Repeat("x", 1001), "", 413, "not-run too-large"},
		{"absent/trays", "", "", 404, "not-run unknown-name"},
		{"orders/search/../trays", "", "", 400, "not-run bad-request"},
		{"orders/search/%2e%2e/trays", "", "", 400, "not-run bad-request"},
		{"orders//trays", "", "", 400, "not-run bad-request"},
		{"orders/trays", "", "soon", 400, "not-run bad-request"},
	} {
		got := a.send(http.MethodPost, PathPrefix+c.path, c.body, "Idempotency-Key", newKey(t), "Request-Timeout-Ms", c.timeout)
		must.Eq(t, c.status, got.Code, must.Sprint(c.path))
		must.Eq(t, c.outcome, outcome(got))
	}
	must.Eq(t, "not-run bad-request", outcome(a.do(http.MethodGet, "/trays", "Request-Id", strings.Repeat("x", 129))))
	must.Eq(t, 0, backend.total)
}

// Guards against repeatable requests that fail because one server fails, that
// exceed the retry limits, or that forward the caller's token to a service.
func TestRepeatableRequestsAreRetriedOnAnotherServer(t *testing.T) {
	env := newTestEnv(t)
	broken, backend := &countingServer{}, &countingServer{}
	env.server("s1", "here", func(rw http.ResponseWriter, r *http.Request) {
		broken.handle(discardWriter{rw}, r)
		panic(http.ErrAbortHandler)
	})
	env.server("s2", "there", backend.handle)
	a := env.start("a")
	must.Eq(t, 201, a.do(http.MethodPost, "/search", "Authorization", "Bearer caller").Code)
	_, body, token := backend.last()
	must.Eq(t, "", token)
	must.Eq(t, "12 trays", body)
	must.Eq(t, 201, a.do(http.MethodGet, "/trays").Code)
	total, _, _ := broken.last()
	must.Eq(t, 1, total) // not used again within avoidAfterFailure

	env.mu.Lock()
	env.servers = env.servers[:1:1]
	env.mu.Unlock()
	refusals := 0
	for range 10 {
		if outcome(a.do(http.MethodGet, "/trays")) == "unknown backend-server-failed" {
			refusals++
		}
	}
	must.Eq(t, 10, refusals)
	total, _, _ = broken.last()
	must.Eq(t, 11, total) // one attempt per request if there is no other server
}

// Guards against requests that fail because they use a pooled connection that
// stopped responding while new connections to the same server work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	env := newTestEnv(t)
	env.timeout = "200ms"
	stop := make(chan struct{})
	var usedConnections sync.Map // by the client's address
	env.server("s1", "here", func(_ http.ResponseWriter, r *http.Request) {
		if _, used := usedConnections.LoadOrStore(r.RemoteAddr, true); used {
			<-stop
		}
	})
	t.Cleanup(func() { close(stop) })
	a := env.start("a")
	for range 3 {
		must.Eq(t, 200, a.do(http.MethodGet, "/trays").Code)
	}
}

// Guards against calls to a leaving server or to another kind of server, and
// against calls to another data centre while the local one has a working server.
func TestBackendServerSelection(t *testing.T) {
	env := newTestEnv(t)
	env.servers = []platform.BackendServer{
		{ID: "leaving", Kind: platform.KindService, Service: "orders", DataCentre: "here", Leaving: true},
		{ID: "engine", Kind: platform.KindEngine, Service: "orders", DataCentre: "here"},
		{ID: "far", Kind: platform.KindService, Service: "orders", DataCentre: "there"},
		{ID: "near1", Kind: platform.KindService, Service: "orders", DataCentre: "here"},
		{ID: "near2", Kind: platform.KindService, Service: "orders", DataCentre: "here"},
		{ID: "other", Kind: platform.KindService, Service: "other", DataCentre: "here"},
	}
	view := hostView{env, "a"}
	recorder, err := telemetry.NewRecorder("a", 0)
	must.NoError(t, err)
	b := newBackends(env, limits.NewForMembers(view, env, recorder), "here", recorder)
	now := time.Unix(100, 0)
	r := &request{service: &declare.Service{Name: "orders"}, deadline: now.Add(time.Minute)}
	acquire := func(tried ...string) string {
		server, refusal := b.acquire(context.Background(), r, tried, now)
		must.EqOp(t, server.ID == "", refusal != nil)
		return server.ID
	}
	must.Eq(t, []string{"near1", "near2", "near1"}, []string{acquire(), acquire(), acquire()})
	must.Eq(t, "near2", acquire())
	must.Eq(t, "far", acquire("near1", "near2"))
	must.Eq(t, "", acquire("near1", "near2", "far"))
	b.release("near1", true, now)
	b.release("near2", true, now)
	must.Eq(t, "far", acquire())
	now = now.Add(avoidAfterFailure)
	must.StrHasPrefix(t, "near", acquire())
}

// Guards against a path that this host and the server read differently: with an
// encoded slash the service and the repeatable prefix could be taken from one reading
// and the call be sent in the other, so that a call that must run at most once is
// repeated.
func TestPathsWithEncodedSlashAreNotSent(t *testing.T) {
	env := newTestEnv(t)
	backends := []*countingServer{{}, {}}
	for i, backend := range backends {
		env.server([]string{"s1", "s2"}[i], "here", func(rw http.ResponseWriter, r *http.Request) {
			backend.handle(discardWriter{rw}, r)
			panic(http.ErrAbortHandler)
		})
	}
	a := env.start("a")
	for _, path := range []string{"orders%2Fsearch/trays", "orders%2fsearch/trays", "orders/search%2Ftrays", "orders/trays%2F..%2Fsearch"} {
		got := a.send(http.MethodPost, PathPrefix+path, "12 trays")
		must.Eq(t, "not-run bad-request", outcome(got), must.Sprint(path))
		must.Eq(t, 400, got.Code)
	}
	for _, backend := range backends {
		total, _, _ := backend.last()
		must.Eq(t, 0, total)
	}
}
