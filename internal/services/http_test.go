package services

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against a call that the HTTP library repeats by itself: the server
// reads each request and then breaks the connection, on which an earlier
// request may have succeeded.
func TestLibraryDoesNotRepeatCalls(t *testing.T) {
	w := newWorld(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var mu sync.Mutex
	seen := make(map[string]int)
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
					seen[r.Method+r.Header.Get("Idempotency-Key")]++
					mu.Unlock()
					if r.Method != http.MethodGet {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	w.servers = []platform.BackendServer{{ID: "s1", Kind: platform.KindService, Service: "orders", DataCentre: "here", Addr: listener.Addr().String()}}
	a := w.start("a")
	for range 5 {
		must.Eq(t, 200, a.do(http.MethodGet, "/trays").Code) // leaves a pooled connection
		key := newKey(t)
		must.Eq(t, "unknown backend-server-failed", outcome(a.post(key)))
		mu.Lock()
		must.Eq(t, 1, seen["POST"+key])
		mu.Unlock()
	}
}

// Guards against a redirect that sends the call a second time.
func TestRedirectsArePassedOn(t *testing.T) {
	w := newWorld(t)
	desk := &counter{}
	w.server("s1", "here", func(rw http.ResponseWriter, r *http.Request) {
		desk.handle(discard{rw}, r)
		rw.Header().Set("Location", "/trays")
		rw.WriteHeader(http.StatusTemporaryRedirect)
	})
	a := w.start("a")
	key := newKey(t)
	must.Eq(t, 307, a.post(key).Code)
	must.Eq(t, 1, desk.count(key))
}

type discard struct{ http.ResponseWriter }

func (discard) WriteHeader(int)             {}
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Guards against requests that reach a service although they must be refused.
func TestRefusalsBeforeTheCall(t *testing.T) {
	w := newWorld(t)
	desk := &counter{}
	w.server("s1", "here", desk.handle)
	a := w.start("a")
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
		got := a.send(http.MethodPost, pathPrefix+c.path, c.body, "Idempotency-Key", newKey(t), "Request-Timeout-Ms", c.timeout)
		must.Eq(t, c.status, got.Code, must.Sprint(c.path))
		must.Eq(t, c.outcome, outcome(got))
	}
	must.Eq(t, "not-run bad-request", outcome(a.do(http.MethodGet, "/trays", "Request-Id", strings.Repeat("x", 129))))
	must.Eq(t, 0, desk.total)
}

// Guards against repeatable requests that fail with one server, that ignore
// the retry limits, or that carry the caller's token to a service.
func TestRepeatableRequestsAreRetriedElsewhere(t *testing.T) {
	w := newWorld(t)
	broken, desk := &counter{}, &counter{}
	w.server("s1", "here", func(rw http.ResponseWriter, r *http.Request) {
		broken.handle(discard{rw}, r)
		panic(http.ErrAbortHandler)
	})
	w.server("s2", "there", desk.handle)
	a := w.start("a")
	must.Eq(t, 201, a.do(http.MethodPost, "/search", "Authorization", "Bearer caller").Code)
	_, body, token := desk.last()
	must.Eq(t, "", token)
	must.Eq(t, "12 trays", body)
	must.Eq(t, 201, a.do(http.MethodGet, "/trays").Code)
	total, _, _ := broken.last()
	must.Eq(t, 1, total) // avoided for a while

	w.servers = w.servers[:1]
	refusals := 0
	for range 10 {
		if outcome(a.do(http.MethodGet, "/trays")) == "unknown backend-server-failed" {
			refusals++
		}
	}
	must.Eq(t, 10, refusals)
	total, _, _ = broken.last()
	must.Eq(t, 11, total) // one server is tried once
}

// Guards against requests that keep using a connection that went silent while
// new ones to the same server work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	w := newWorld(t)
	w.timeout = "200ms"
	stop := make(chan struct{})
	var silent sync.Map // by the caller's address
	w.server("s1", "here", func(_ http.ResponseWriter, r *http.Request) {
		if _, used := silent.LoadOrStore(r.RemoteAddr, true); used {
			<-stop
		}
	})
	t.Cleanup(func() { close(stop) })
	a := w.start("a")
	for range 3 {
		must.Eq(t, 200, a.do(http.MethodGet, "/trays").Code)
	}
}

// Guards against work for a leaving server, and against another data centre
// being used while the own one has a server.
func TestChoiceOfBackendServer(t *testing.T) {
	w := newWorld(t)
	w.servers = []platform.BackendServer{
		{ID: "leaving", Kind: platform.KindService, Service: "orders", DataCentre: "here", Leaving: true},
		{ID: "engine", Kind: platform.KindEngine, Service: "orders", DataCentre: "here"},
		{ID: "far", Kind: platform.KindService, Service: "orders", DataCentre: "there"},
		{ID: "near1", Kind: platform.KindService, Service: "orders", DataCentre: "here"},
		{ID: "near2", Kind: platform.KindService, Service: "orders", DataCentre: "here"},
		{ID: "other", Kind: platform.KindService, Service: "other", DataCentre: "here"},
	}
	b := newBackends(w, "here")
	now := time.Unix(100, 0)
	take := func(tried ...string) string {
		server, _ := b.take("orders", tried, now)
		return server.ID
	}
	must.Eq(t, []string{"near1", "near2", "near1"}, []string{take(), take(), take()})
	must.Eq(t, "near2", take())
	must.Eq(t, "far", take("near1", "near2"))
	must.Eq(t, "", take("near1", "near2", "far"))
	b.release("near1", true, now)
	b.release("near2", true, now)
	must.Eq(t, "far", take())
	now = now.Add(avoidAfterFailure)
	must.StrHasPrefix(t, "near", take())
}
