package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// fixture is one owner with two replicas of one engine, among other hosts that
// only record what they are sent.
type fixture struct {
	mu       sync.Mutex
	replicas []cluster.Replica
	members  []cluster.Member
	sent     map[string][]*peerpb.ExchangeMessage // by address
	fail     map[string]bool
	hold     chan struct{} // completions end when it is closed
	running  map[string]int
	most     map[string]int // most requests that ran together, by prompt
	broken   bool
	events   []engine.CacheEvent
}

func (f *fixture) Self() cluster.Member           { return f.members[0] }
func (f *fixture) All() []cluster.Member          { return f.members }
func (f *fixture) MayOrder(string) (int64, bool)  { return 0, false }
func (f *fixture) Current() (*declare.Set, int64) { return &declare.Set{}, 1 }

// Owner gives the first host of the replica's data centre.
func (f *fixture) Owner(_, dataCentre string) (cluster.Member, bool) {
	for _, m := range f.members {
		if m.DataCentre == dataCentre {
			return m, true
		}
	}
	return cluster.Member{}, false
}

func (f *fixture) OwnedReplicas() []cluster.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]cluster.Replica(nil), f.replicas...)
}

type recordingPeer struct {
	peerpb.PeerClient
	f    *fixture
	addr string
}

func (f *fixture) Client(addr string) (peerpb.PeerClient, error) {
	return &recordingPeer{f: f, addr: addr}, nil
}

func (p *recordingPeer) Exchange(_ context.Context, in *peerpb.ExchangeMessage, _ ...grpc.CallOption) (*peerpb.ExchangeMessage, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.f.fail[p.addr] {
		return nil, fmt.Errorf("no answer")
	}
	p.f.sent[p.addr] = append(p.f.sent[p.addr], in)
	return &peerpb.ExchangeMessage{}, nil
}

// take returns what was sent to an address since the last call.
func (f *fixture) take(addr string) []*peerpb.ExchangeMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent[addr]
	delete(f.sent, addr)
	return sent
}

func (f *fixture) completions(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	f.mu.Lock()
	broken := f.broken
	f.running["all"]++
	f.running[req.Prompt]++
	f.most[req.Prompt] = max(f.most[req.Prompt], f.running["all"])
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running["all"]--
		f.running[req.Prompt]--
		f.mu.Unlock()
	}()
	if broken {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-f.hold:
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "data: {\"request_id\":%q,\"index\":0,\"token\":\"a\",\"finish_reason\":\"stop\"}\n\n", req.RequestID)
}

func (f *fixture) cacheEvents(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"events": f.events})
}

func newFixture(t testing.TB) (*fixture, *Controller) {
	f := &fixture{
		sent: make(map[string][]*peerpb.ExchangeMessage), fail: make(map[string]bool),
		running: make(map[string]int), most: make(map[string]int), hold: make(chan struct{}),
		members: []cluster.Member{
			{ID: "self", DataCentre: "plateau", PeerAddr: "self"},
			{ID: "near", DataCentre: "plateau", PeerAddr: "near"},
			{ID: "far-1", DataCentre: "yoff", PeerAddr: "far-1"},
			{ID: "far-2", DataCentre: "yoff", PeerAddr: "far-2"},
			{ID: "dead", DataCentre: "plateau", PeerAddr: "dead", State: cluster.MemberDead},
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", f.completions)
	mux.HandleFunc("GET /cache/events", f.cacheEvents)
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range 2 {
		f.replicas = append(f.replicas, cluster.Replica{
			BackendServer: platform.BackendServer{ID: fmt.Sprintf("r%d", i), Kind: platform.KindEngine,
				Model: "album", Addr: server.Listener.Addr().String(), DataCentre: "plateau"},
			State: engine.State{Model: "album", Version: 1, Incarnation: 1}, Healthy: true,
		})
	}
	recorder, err := telemetry.NewRecorder("self", 0)
	must.NoError(t, err)
	c := New(Config{}, f, f, f, f, engine.NewClient(engine.Config{}), f, recorder)
	c.refresh(time.Now())
	return f, c
}

// run starts a request at r0 and returns its result.
func run(c *Controller, id, prompt string, solo bool) <-chan error {
	result := make(chan error, 1)
	go func() {
		result <- c.RunLocal(context.Background(), &peerpb.RunRequest{
			RequestId: id, Replica: "r0", Model: "album", Prompt: prompt, Solo: solo, Fingerprint: prompt,
		}, func(engine.Chunk) error { return nil })
	}()
	return result
}

func (f *fixture) count(prompt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[prompt]
}

func queued(c *Controller) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	load, _ := c.admit.Load("r0")
	return load.Queued
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}
