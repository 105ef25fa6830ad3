package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// testEngine is an engine whose tokens depend only on the prompt and the index.
type testEngine struct {
	server       *httptest.Server
	mu           sync.Mutex
	started      map[string]int // number of attempts by request ID
	disconnected map[string]int // number of attempts whose client disconnected, by request ID
	version      int64
	headers      []http.Header // of all attempts
	requestIDs   []string      // of all attempts
	// behave is called before each chunk and selects what the engine does instead
	// of, or besides, sending it.
	behave func(req engine.GenerateRequest, index int) behaviour
}

type behaviour string

const (
	normal      behaviour = ""
	cut         behaviour = "cut"         // breaks the connection
	hang        behaviour = "hang"        // sends no further chunks
	duplicate   behaviour = "duplicate"   // sends the chunk twice
	misdirected behaviour = "misdirected" // first sends a chunk of another request
	skip        behaviour = "skip"        // does not send the chunk
	slowChunk   behaviour = "slow"        // sends the chunk after 5 ms
	badStatus   behaviour = "status"      // refuses with status 503
)

func token(prompt string, index int) string { return fmt.Sprintf("%s-%d ", prompt, index) }

// completeText returns the text of a complete response of n tokens.
func completeText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

func newTestEngine(t *testing.T, version int64, behave func(engine.GenerateRequest, int) behaviour) *testEngine {
	e := &testEngine{started: make(map[string]int), disconnected: make(map[string]int), version: version, behave: behave}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	e.server = httptest.NewServer(mux)
	t.Cleanup(func() { e.server.CloseClientConnections(); e.server.Close() })
	return e
}

func (e *testEngine) addr() string { return e.server.Listener.Addr().String() }

func (e *testEngine) count(m map[string]int, id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return m[id]
}

func (e *testEngine) completions(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.started[req.RequestID]++
	e.headers, e.requestIDs = append(e.headers, r.Header.Clone()), append(e.requestIDs, req.RequestID)
	e.mu.Unlock()
	send := func(chunk engine.Chunk) {
		data, _ := json.Marshal(chunk)
		fmt.Fprintf(w, "data: %s\n\n", data)
		w.(http.Flusher).Flush()
	}
	for i := len(req.Delivered); i < req.MaxTokens; i++ {
		chunk := engine.Chunk{RequestID: req.RequestID, Index: i, Token: token(req.Prompt, i), WeightVersion: e.version}
		if i == req.MaxTokens-1 {
			chunk.FinishReason = "length"
		}
		switch e.behave(req, i) {
		case cut:
			panic(http.ErrAbortHandler)
		case hang:
			<-r.Context().Done()
		case duplicate:
			send(chunk)
		case misdirected:
			send(engine.Chunk{RequestID: "someone-else", Index: i, Token: "wrong"})
		case skip:
			continue
		case slowChunk:
			time.Sleep(5 * time.Millisecond)
		case badStatus:
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		if r.Context().Err() != nil {
			e.mu.Lock()
			e.disconnected[req.RequestID]++
			e.mu.Unlock()
			return
		}
		send(chunk)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// fixture is a set of entry hosts. Each replica is owned by one of the hosts in
// its data centre.
type fixture struct {
	mu       sync.Mutex
	replicas []cluster.Replica
	hosts    []*testHost
	set      *declare.Set
	progress time.Duration // progress timeout of the engine clients
}

// testHost is one entry host with its gRPC and HTTP servers.
type testHost struct {
	*fixture
	member     cluster.Member
	owner      *owner.Controller
	controller *Controller
	server     *httptest.Server
	recorder   *telemetry.Recorder
	*peer.Pool
	stop func()
}

func (h *testHost) Self() cluster.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member
}
func (h *testHost) MayOrder(string) (int64, bool)  { return 0, false }
func (h *testHost) Current() (*declare.Set, int64) { return h.set, 0 }
func (h *testHost) Newest(string) int64            { return 0 }
func (h *testHost) Announce(string, int64)         {}

func (f *fixture) All() []cluster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []cluster.Member
	for _, h := range f.hosts {
		members = append(members, h.member)
	}
	return members
}

// Owner assigns the replicas round robin to the live hosts of their data centre.
func (f *fixture) Owner(replica, dataCentre string) (cluster.Member, bool) {
	var live []cluster.Member
	for _, m := range f.All() {
		if m.DataCentre == dataCentre && m.State == cluster.MemberAlive {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return cluster.Member{}, false
	}
	n, _ := strconv.Atoi(strings.TrimPrefix(replica, "replica-"))
	return live[n%len(live)], true
}

func (h *testHost) OwnedReplicas() []cluster.Replica {
	var owned []cluster.Replica
	for _, r := range h.allReplicas() {
		if owner, ok := h.Owner(r.ID, r.DataCentre); ok && owner.ID == h.member.ID {
			owned = append(owned, r)
		}
	}
	return owned
}

func (f *fixture) allReplicas() []cluster.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]cluster.Replica(nil), f.replicas...)
}

func (f *fixture) updateReplica(replica int, change func(*cluster.Replica)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.replicas[replica])
}

func (f *fixture) BackendServers() []platform.BackendServer {
	var servers []platform.BackendServer
	for _, r := range f.allReplicas() {
		servers = append(servers, r.BackendServer)
	}
	return servers
}

// newFixture starts n entry hosts in one data centre, with one replica for each
// engine.
func newFixture(t testing.TB, n int, policy string, engines ...*testEngine) *fixture {
	f := &fixture{set: &declare.Set{}, progress: 300 * time.Millisecond}
	for i, e := range engines {
		f.replicas = append(f.replicas, cluster.Replica{
			BackendServer: platform.BackendServer{
				ID: fmt.Sprintf("replica-%d", i), Kind: platform.KindEngine, Model: "album",
				Addr: e.addr(), DataCentre: "plateau",
			},
			State: engine.State{Model: "album", Version: e.version, Incarnation: 1}, Healthy: true,
		})
	}
	for range n {
		f.addHost(t, "plateau", policy)
	}
	return f
}

func (f *fixture) addHost(t testing.TB, dataCentre, policy string) *testHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	id := fmt.Sprintf("host-%d", len(f.All()))
	recorder, err := telemetry.NewRecorder(id, 0)
	must.NoError(t, err)
	h := &testHost{fixture: f, recorder: recorder, Pool: peer.NewPool("token", nil), member: cluster.Member{
		ID: id, DataCentre: dataCentre, PeerAddr: listener.Addr().String(), State: cluster.MemberAlive,
	}}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	client := engine.NewClient(engine.Config{ProgressTimeout: f.progress})
	h.owner = owner.New(owner.Config{Policy: policy, ExchangeInterval: 20 * time.Millisecond}, h, h, h, h, client, h, recorder)
	h.controller = New(Config{Policy: policy, ReplicaWaitTimeout: 100 * time.Millisecond}, h, h, h, h, h, h.owner, h, recorder)
	h.controller.started = time.Now().Add(-time.Hour) // old enough to know all earlier attempts
	server := grpc.NewServer(peer.ServerOptions("token", nil, nil)...)
	peerpb.RegisterPeerServer(server, &peer.Server{RunHandler: h.owner, ExchangeHandler: h.owner, ClaimHandler: h.controller})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = h.owner.RunLoops(ctx) })
	loops.Go(func() { _ = server.Serve(listener) })
	h.server = httptest.NewServer(http.HandlerFunc(h.controller.Completions))
	h.stop = sync.OnceFunc(func() {
		h.server.CloseClientConnections()
		server.Stop()
		cancel()
		loops.Wait()
		h.server.Close()
		h.Pool.Close()
	})
	t.Cleanup(h.stop)
	return h
}

// reply is the response that a caller received.
type reply struct {
	status   int
	header   http.Header
	text     string
	indexes  []int
	complete bool // the end of the response was received
	reason   string
	outcome  string
	versions []int64
}

func (h *testHost) post(ctx context.Context, id, prompt string, tokens int, stream bool) (reply, error) {
	body, _ := json.Marshal(map[string]any{"model": "album", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return reply{}, err
	}
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	got := reply{status: response.StatusCode, header: response.Header}
	if !stream || response.StatusCode != http.StatusOK {
		var body struct {
			Choices        []struct{ Text string }
			WeightVersions []int64 `json:"weight_versions"`
			Error          struct{ Outcome, Reason string }
		}
		if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
			return got, err
		}
		if len(body.Choices) > 0 {
			got.text, got.complete = body.Choices[0].Text, true
		}
		got.versions, got.reason, got.outcome = body.WeightVersions, body.Error.Reason, body.Error.Outcome
		return got, nil
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			got.complete = true
		default:
			var event struct {
				chunkEvent
				Error struct{ Outcome, Reason string }
			}
			if err := json.Unmarshal([]byte(data), &event); err != nil {
				return got, err
			}
			if event.Error.Reason != "" {
				got.reason, got.outcome = event.Error.Reason, event.Error.Outcome
				continue
			}
			got.text += event.Token
			got.indexes = append(got.indexes, event.Index)
		}
	}
	return got, lines.Err()
}

// eventually waits up to 20 s for a condition and fails the test otherwise.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}
