package services

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/testlog"
)

// testEnv runs a log, backend servers and entry hosts in one process.
type testEnv struct {
	t   *testing.T
	log *testlog.Log

	mu           sync.Mutex
	servers      []platform.BackendServer
	hosts        map[string]*host
	memberStates map[string]cluster.MemberState // membership, by host ID
	timeout      string                         // of calls to the service
}

type host struct {
	*Controller
	stop func()
}

// hostView is the membership as seen by one entry host.
type hostView struct {
	*testEnv
	self string
}

func newTestEnv(t *testing.T) *testEnv {
	return &testEnv{t: t, log: testlog.New(), hosts: make(map[string]*host), memberStates: make(map[string]cluster.MemberState), timeout: "10s"}
}

func (env *testEnv) BackendServers() []platform.BackendServer {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.servers
}

func (env *testEnv) Current() (*declare.Set, int64) {
	set, _ := declare.ParseFiles(map[string]string{"s.ini": "[service orders]\ntimeout = " + env.timeout + "\nrepeatable_paths = /search\n"})
	return set, 1
}

func (v hostView) Self() cluster.Member {
	return cluster.Member{ID: v.self, PeerAddr: v.self, DataCentre: "here"}
}

func (v hostView) All() (all []cluster.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, state := range v.memberStates {
		all = append(all, cluster.Member{ID: id, PeerAddr: id, DataCentre: "here", State: state})
	}
	return all
}

type peerClient struct {
	peerpb.PeerClient
	host *host
}

func (c peerClient) IntentResult(ctx context.Context, r *peerpb.IntentResultRequest, _ ...grpc.CallOption) (*peerpb.IntentResultReply, error) {
	return c.host.IntentResult(ctx, r)
}

func (env *testEnv) Client(addr string) (peerpb.PeerClient, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.hosts[addr] == nil {
		return nil, errors.New("host is not running")
	}
	return peerClient{host: env.hosts[addr]}, nil
}

// Acquire implements limits.Peers.
func (env *testEnv) Acquire(ctx context.Context, addr string, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	env.mu.Lock()
	h := env.hosts[addr]
	env.mu.Unlock()
	if h == nil {
		return nil, errors.New("host is not running")
	}
	return h.backends.limits.Acquire(ctx, request)
}

// server starts a backend server of the service orders.
func (env *testEnv) server(id, dataCentre string, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	env.t.Cleanup(server.Close)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.servers = append(env.servers, platform.BackendServer{
		ID: id, Kind: platform.KindService, Service: "orders", DataCentre: dataCentre,
		Addr: strings.TrimPrefix(server.URL, "http://"),
	})
	return server
}

// start runs an entry host and waits until it has read the intent stream.
func (env *testEnv) start(id string) *host {
	h := env.startUnready(id)
	env.waitUntil("host is ready", h.Ready)
	return h
}

func (env *testEnv) startUnready(id string) *host {
	recorder, err := telemetry.NewRecorder(id, 100)
	must.NoError(env.t, err)
	config := Config{Account: account.Unlimited(), PollWait: 20 * time.Millisecond, IntentTimeout: 500 * time.Millisecond, MaxBodyBytes: 1000, ClockSkew: 5 * time.Millisecond}
	view := hostView{env, id}
	h := &host{Controller: New(config, env.log, env, view, env, env, limits.NewForMembers(view, env, recorder), recorder)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = h.Run(ctx) })
	h.stop = func() {
		env.mu.Lock()
		delete(env.hosts, id)
		env.mu.Unlock()
		cancel()
		done.Wait()
	}
	env.t.Cleanup(h.stop)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.hosts[id], env.memberStates[id] = h, cluster.MemberAlive
	return h
}

func (env *testEnv) waitUntil(what string, condition func() bool) {
	env.t.Helper()
	must.Wait(env.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

func newKey(t *testing.T) string {
	id, err := uuid.NewV7()
	must.NoError(t, err)
	return id.String()
}

// post sends a call that is not repeatable; headers alternates names and values.
func (h *host) post(key string, headers ...string) *httptest.ResponseRecorder {
	return h.do(http.MethodPost, "/trays", append(headers, "Idempotency-Key", key)...)
}

func (h *host) do(method, path string, headers ...string) *httptest.ResponseRecorder {
	return h.send(method, PathPrefix+"orders"+path, "12 trays", headers...)
}

func (h *host) send(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			r.Header.Set(headers[i], headers[i+1])
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func outcome(w *httptest.ResponseRecorder) string {
	return w.Header().Get("Sesamestand-Outcome") + " " + w.Header().Get("Sesamestand-Reason")
}

// countingServer is the handler of a backend server that counts calls by key.
type countingServer struct {
	mu    sync.Mutex
	calls map[string]int
	total int
	delay chan struct{} // if not nil, calls block until it is closed
	body  string
	token string
}

func (c *countingServer) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	if c.calls == nil {
		c.calls = make(map[string]int)
	}
	c.calls[r.Header.Get("Idempotency-Key")]++
	c.total++
	c.body, c.token = string(body), r.Header.Get("Authorization")
	n, delay := c.total, c.delay
	c.mu.Unlock()
	if delay != nil {
		<-delay
	}
	w.Header().Add("Receipt", fmt.Sprint(n))
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "receipt %d", n)
}

func (c *countingServer) last() (total int, body, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, c.body, c.token
}

func (c *countingServer) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[key]
}
