package services

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

// headerServer records the headers of the calls that it receives.
type headerServer struct {
	countingServer
	mu      sync.Mutex
	headers []http.Header
}

func (s *headerServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.headers = append(s.headers, r.Header.Clone())
	s.mu.Unlock()
	s.countingServer.handle(w, r)
}

func (s *headerServer) received() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers
}

// startWithKeys starts a host with a backend server and the workspaces of testaccess.
func startWithKeys(t *testing.T, declarations string) (*testEnv, *host, *headerServer, *testaccess.Source) {
	env := newTestEnv(t)
	server := &headerServer{}
	env.server("s1", "here", server.handle)
	source := testaccess.New(t, declarations)
	h := env.start("a")
	h.AdmitBy(source.Gate())
	return env, h, server, source
}

func bearer(key string) []string { return []string{"Authorization", "Bearer " + key} }

// Guards against a call without a valid key that runs or gets a recorded response, a key
// that reaches a backend server, and a workspace's name that the caller chose.
func TestCallsNeedKeysAndCarryTheWorkspace(t *testing.T) {
	_, h, server, source := startWithKeys(t, testaccess.Workspaces()+"[service orders]\n")
	forged := []string{workspace.Header, "other"}
	key := newKey(t)
	must.EqOp(t, http.StatusCreated, h.post(key, append(forged, bearer("acme-1")...)...).Code)
	must.EqOp(t, http.StatusCreated, h.do(http.MethodGet, "/search", append(forged, bearer("acme-1")...)...).Code)
	for _, header := range server.received() {
		must.Eq(t, []string{"acme"}, header.Values(workspace.Header))
		must.EqOp(t, "", header.Get("Authorization"))
	}
	must.EqOp(t, "not-run unauthorized", outcome(h.post(key, bearer("acme-3")...)))
	must.EqOp(t, "not-run unauthorized", outcome(h.post(key)))
	source.Age(time.Hour)
	must.EqOp(t, "unknown no-permission", outcome(h.post(key, bearer("acme-1")...)))
	must.EqOp(t, "not-run no-permission", outcome(h.do(http.MethodGet, "/search", bearer("acme-1")...)))
	must.SliceLen(t, 2, server.received())
	source.Read(testaccess.Workspaces() + "[service orders]\npublic = true\n")
	must.EqOp(t, http.StatusCreated, h.post(newKey(t), append(forged, bearer("acme-3")...)...).Code)
	must.EqOp(t, "", server.received()[2].Get(workspace.Header))
	source.Read("[service orders]\n")
	must.EqOp(t, http.StatusCreated, h.post(newKey(t), forged...).Code)
	must.EqOp(t, "other", server.received()[3].Get(workspace.Header), must.Sprint("without workspaces, headers are forwarded"))
}

// Guards against a call that gets the response of another workspace's call, or of one
// without a workspace, because their idempotency keys are equal.
func TestIntentsAreSeparateByWorkspace(t *testing.T) {
	_, h, server, source := startWithKeys(t, testaccess.Workspaces()+"[service orders]\n")
	key := newKey(t)
	first := h.post(key, bearer("acme-1")...)
	again := h.post(key, bearer("acme-2")...)
	must.EqOp(t, first.Body.String(), again.Body.String())
	must.EqOp(t, "true", again.Header().Get("Sesamestand-Replayed"))
	other := h.post(key, bearer("other-1")...)
	must.EqOp(t, http.StatusCreated, other.Code)
	must.NotEq(t, first.Body.String(), other.Body.String())
	must.EqOp(t, "", other.Header().Get("Sesamestand-Replayed"))
	must.SliceLen(t, 2, server.received())
	must.NotEq(t, server.received()[0].Get("Idempotency-Key"), server.received()[1].Get("Idempotency-Key"))

	source.Read("[service orders]\n")
	key = newKey(t)
	must.EqOp(t, http.StatusCreated, h.post(key).Code)
	source.Read(testaccess.Workspaces() + "[service orders]\n")
	must.EqOp(t, "unknown key-invalid", outcome(h.post(key, bearer("acme-1")...)), must.Sprint("the call ran before workspaces were declared"))
	must.SliceLen(t, 3, server.received())
}

// Guards against a call that is sent after its key may have been removed, because it waited
// for the log, or because an earlier attempt failed.
func TestRevokedKeyIsNotSentAgain(t *testing.T) {
	env, h, server, source := startWithKeys(t, testaccess.Workspaces()+"[service orders]\n")
	failed := make(chan struct{}, 8)
	env.servers[0].Addr = env.server("s2", "here", func(http.ResponseWriter, *http.Request) {
		source.Age(time.Hour)
		failed <- struct{}{}
		panic(http.ErrAbortHandler)
	}).Listener.Addr().String()
	must.EqOp(t, "unknown backend-server-failed", outcome(h.do(http.MethodGet, "/search", bearer("acme-1")...)))
	<-failed
	must.EqOp(t, 0, len(failed), must.Sprint("the request was sent again"))

	source.Read(testaccess.Workspaces() + "[service orders]\n")
	env.log.SetUnavailable(true)
	response := make(chan string, 1)
	go func() { response <- outcome(h.post(newKey(t), bearer("acme-1")...)) }()
	env.waitUntil("the call waits for the log", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.attempts) == 1
	})
	source.Read(testaccess.Other() + "[service orders]\n")
	env.log.SetUnavailable(false)
	must.StrHasPrefix(t, "not-run ", <-response)
	must.SliceLen(t, 0, server.received())
}
