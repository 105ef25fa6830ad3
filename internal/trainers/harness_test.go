package trainers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
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
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// testNet is a set of hosts that call each other directly instead of over gRPC,
// with the state that they share: membership, configuration, versions, inventory
// and engines.
type testNet struct {
	t             *testing.T
	mu            sync.Mutex
	members       []cluster.Member
	hosts         map[string]*Controller // by peer address
	set           *declare.Set           // replaced as a whole, because the hosts read it
	setVersion    int64
	engineVersion int64            // weight version of the engines
	newest        map[string]int64 // newest version known to each host, by host ID
	servers       []platform.BackendServer
	// generate generates one sample; the default emits three tokens.
	generate func(context.Context, cluster.Generation, func(engine.Chunk) error) error
}

func newTestNet(t *testing.T, hosts ...string) *testNet {
	n := &testNet{
		t: t, hosts: make(map[string]*Controller), engineVersion: 7, newest: make(map[string]int64),
		set: &declare.Set{Trainers: map[string]*declare.Trainer{"captions": {
			Name: "captions", Model: "album", GroupSize: 2, Surplus: 1, IdleWeight: 1, StalenessBound: 2, MaxTokens: 16,
		}}},
		setVersion: 1,
	}
	n.generate = n.generateThreeTokens
	for i, id := range hosts {
		n.members = append(n.members, cluster.Member{ID: id, DataCentre: "yoff", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 7000+i)})
	}
	for _, m := range n.members {
		recorder, err := telemetry.NewRecorder(m.ID, 1)
		must.NoError(t, err)
		host := New(Config{TickInterval: 5 * time.Millisecond, ScoreTimeout: 2 * time.Second},
			n, hostView{n, m}, n, hostView{n, m}, n, n, limits.NewForMembers(hostView{n, m}, n, recorder), recorder)
		n.hosts[m.PeerAddr] = host
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- host.Run(ctx) }()
		t.Cleanup(func() { cancel(); must.NoError(t, <-done) })
	}
	return n
}

// Acquire implements limits.Peers.
func (n *testNet) Acquire(ctx context.Context, addr string, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return n.hosts[addr].limits.Acquire(ctx, request)
}

// declare declares a trainer, or changes its declaration, and waits until all hosts
// have applied the change.
func (n *testNet) declare(name string, trainer declare.Trainer) {
	trainer.Name = name
	n.mu.Lock()
	trainers := maps.Clone(n.set.Trainers)
	trainers[name] = &trainer
	n.set = &declare.Set{Trainers: trainers}
	n.setVersion++
	version := n.setVersion
	n.mu.Unlock()
	for _, h := range n.hosts {
		for deadline := time.Now().Add(20 * time.Second); h.appliedVersion() < version; time.Sleep(time.Millisecond) {
			must.True(n.t, time.Now().Before(deadline))
		}
	}
}

// appliedVersion returns the version of the declarations that the host has applied.
func (c *Controller) appliedVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.specsVersion
}

// declared returns the declaration of a trainer.
func (n *testNet) declared(name string) declare.Trainer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.set.Trainers[name]
}

func (n *testNet) host(id string) *Controller {
	for _, m := range n.members {
		if m.ID == id {
			return n.hosts[m.PeerAddr]
		}
	}
	return nil
}

func (n *testNet) setState(id string, state cluster.MemberState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.members {
		if n.members[i].ID == id {
			n.members[i].State = state
		}
	}
}

// hostView is the membership and the newest version as seen by one host.
type hostView struct {
	net  *testNet
	self cluster.Member
}

func (v hostView) Self() cluster.Member { return v.self }
func (v hostView) All() []cluster.Member {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return append([]cluster.Member(nil), v.net.members...)
}

func (n *testNet) Generate(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
	n.mu.Lock()
	generate := n.generate
	n.mu.Unlock()
	return generate(ctx, g, sink)
}

func (n *testNet) generateThreeTokens(_ context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
	n.mu.Lock()
	version := n.engineVersion
	n.mu.Unlock()
	for i, token := range []string{"a", "b", "c"} {
		chunk := engine.Chunk{RequestID: g.RequestID, Index: i, Token: token, WeightVersion: version}
		if i == 2 {
			chunk.FinishReason = "stop"
		}
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (n *testNet) Current() (*declare.Set, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.set, n.setVersion
}

func (v hostView) Newest(string) int64 {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return v.net.newest[v.self.ID]
}

func (v hostView) Announce(_ string, version int64) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.net.newest[v.self.ID] = max(v.net.newest[v.self.ID], version)
}

func (n *testNet) BackendServers() []platform.BackendServer { return n.servers }

func (n *testNet) Client(addr string) (peerpb.PeerClient, error) {
	return directClient{host: n.hosts[addr]}, nil
}

// directClient calls a host without gRPC.
type directClient struct {
	peerpb.PeerClient
	host *Controller
}

func (d directClient) Trainer(ctx context.Context, in *peerpb.TrainerRequest, _ ...grpc.CallOption) (*peerpb.TrainerReply, error) {
	return d.host.Trainer(ctx, in)
}

func (d directClient) Exchange(_ context.Context, in *peerpb.ExchangeMessage, _ ...grpc.CallOption) (*peerpb.ExchangeMessage, error) {
	for model, version := range in.GetVersions() {
		d.host.versions.Announce(model, version)
	}
	return &peerpb.ExchangeMessage{}, nil
}

// post sends a call to a host and decodes the response body into out.
func (n *testNet) post(host *Controller, name, operation string, body, out any) int {
	n.t.Helper()
	encoded, err := json.Marshal(body)
	must.NoError(n.t, err)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, PathPrefix+name+"/"+operation, bytes.NewReader(encoded))
	host.ServeHTTP(w, r)
	if out != nil {
		must.NoError(n.t, json.Unmarshal(w.Body.Bytes(), out))
	}
	return w.Code
}

// client is a trainer that follows the protocol described in the package comment.
type client struct {
	net         *testNet
	name        string
	epoch       string
	cursor      int64
	outstanding []GroupPrompt
	received    []Group
}

func (c *client) submit(host *Controller) int {
	var reply GroupsReply
	status := c.net.post(host, c.name, operationGroups, GroupsRequest{Epoch: c.epoch, Step: 1, Groups: c.outstanding}, &reply)
	if reply.Epoch != c.epoch {
		c.epoch, c.cursor = reply.Epoch, 0
	}
	return status
}

// pull pulls once, and switches to the new epoch if the response has one.
func (c *client) pull(host *Controller, limit int) int {
	var reply PullReply
	status := c.net.post(host, c.name, operationPull, PullRequest{Epoch: c.epoch, Cursor: c.cursor, WaitMs: 500, Max: limit}, &reply)
	if status == http.StatusConflict {
		c.epoch, c.cursor = reply.Epoch, 0
		c.submit(host)
	}
	for _, g := range reply.Groups {
		must.Eq(c.net.t, c.cursor+1, g.Seq)
		c.cursor = g.Seq
		c.received = append(c.received, g)
		for i, prompt := range c.outstanding {
			if prompt.ID == g.ID {
				c.outstanding = append(c.outstanding[:i:i], c.outstanding[i+1:]...)
				break
			}
		}
	}
	return status
}

// pullAll pulls until all groups have been received.
func (c *client) pullAll(host *Controller) {
	c.net.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for len(c.outstanding) > 0 && time.Now().Before(deadline) {
		c.pull(host, 8)
	}
	must.SliceEmpty(c.net.t, c.outstanding)
}

func (c *client) ids() []string {
	var ids []string
	for _, g := range c.received {
		ids = append(ids, g.ID)
	}
	return ids
}
