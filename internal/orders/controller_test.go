package orders

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const testModel = "album"

// testCluster is one data centre with its own log and engines. The hosts share
// its members, declarations and versions without any delay.
type testCluster struct {
	mu       sync.Mutex
	members  []cluster.Member
	set      *declare.Set
	versions map[string]int64
	servers  []platform.BackendServer
	engines  map[string]*engined.Server
	log      *logd.Server
	logAddr  string
}

// testHost implements the dependencies of one host's Controller.
type testHost struct {
	*testCluster
	id string
}

func (h testHost) Self() cluster.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[slices.IndexFunc(h.members, func(m cluster.Member) bool { return m.ID == h.id })]
}

func (h testHost) All() []cluster.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.members)
}

func (h testHost) Current() (*declare.Set, int64) { return h.set, 1 }

func (h testHost) Newest(model string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[model]
}

func (h testHost) Announce(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[model] = max(h.versions[model], version)
}

func (h testHost) BackendServers() []platform.BackendServer { return h.servers }

func newTestCluster(t *testing.T, hosts, engines int, ignoreFence bool) *testCluster {
	t.Helper()
	tc := &testCluster{versions: map[string]int64{testModel: 1}, engines: map[string]*engined.Server{}, log: logd.New(logd.Config{})}
	logServer := httptest.NewServer(tc.log.Handler())
	t.Cleanup(logServer.Close)
	tc.logAddr = strings.TrimPrefix(logServer.URL, "http://")
	for i := range hosts {
		tc.members = append(tc.members, cluster.Member{ID: fmt.Sprintf("host-%d", i), DataCentre: "yoff", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 1+i)})
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		e := engined.New(engined.Config{ID: id, Model: testModel, Version: 1, LoadTime: 50 * time.Millisecond, IgnoreFence: ignoreFence})
		addr, err := e.Start("127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		tc.engines[id] = e
		tc.servers = append(tc.servers, platform.BackendServer{ID: id, Kind: platform.KindEngine, Model: testModel, Addr: addr, DataCentre: "yoff"})
	}
	tc.set = &declare.Set{Models: map[string]*declare.Model{testModel: {Name: testModel, FencingChecked: !ignoreFence,
		MinServing: 0.5, Replicas: map[string]int{"yoff": engines}, Adapters: []string{"layout"}}}}
	return tc
}

func (tc *testCluster) startHost(t *testing.T, id string) *Controller {
	t.Helper()
	recorder, err := telemetry.NewRecorder(id, 1000)
	must.NoError(t, err)
	deps := testHost{testCluster: tc, id: id}
	c := New(Config{LeaseTerm: time.Second, StateInterval: 200 * time.Millisecond}, platform.NewHTTPLog(tc.logAddr, ""), deps, deps, deps, deps, recorder)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return c
}

func (tc *testCluster) markDead(id string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for i := range tc.members {
		if tc.members[i].ID == id {
			tc.members[i].State = cluster.MemberDead
		}
	}
}

func (tc *testCluster) allServing(version int64) bool {
	for _, e := range tc.engines {
		if s := e.State(); s.Version != version || s.Loading != 0 || !slices.Contains(s.Adapters, "layout") {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(60*time.Second), wait.Gap(50*time.Millisecond)))
}

// Guards against versions or adapters that are not loaded on all replicas,
// against orders from a former owner, which would have an older version or a
// lower fencing number, and against replicas of a dead owner that no other host
// takes over.
func TestOwnersRollOutNewestVersion(t *testing.T) {
	for _, ignoreFence := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignore fences %v", ignoreFence), func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t, 3, 6, ignoreFence)
			var controllers []*Controller
			for _, m := range tc.members[:2] {
				controllers = append(controllers, tc.startHost(t, m.ID))
			}
			third := tc.startHost(t, "host-2")
			testHost{testCluster: tc}.Announce(testModel, 2)
			eventually(t, func() bool { return tc.allServing(2) })
			owned := 0
			for _, c := range append(controllers, third) {
				owned += len(c.OwnedReplicas())
			}
			must.Eq(t, len(tc.servers), owned)
			tc.markDead("host-2")
			eventually(t, func() bool { return len(controllers[0].OwnedReplicas())+len(controllers[1].OwnedReplicas()) == 6 })
			testHost{testCluster: tc}.Announce(testModel, 3)
			eventually(t, func() bool { return tc.allServing(3) })
			for id, e := range tc.engines {
				lastVersion, lastFence := int64(0), int64(0)
				for _, entry := range e.Journal().Orders {
					must.GreaterEq(t, lastVersion, entry.VersionBefore, must.Sprintf("engine %s loaded an older version", id))
					must.GreaterEq(t, lastFence, entry.Order.Fence)
					lastVersion, lastFence = entry.VersionBefore, entry.Order.Fence
				}
			}
		})
	}
}

// Guards against ownership that is never established after the response to an
// append was lost and an invalid record was written, and against orders to
// engines that check fencing numbers stopping while the log is unavailable.
func TestOrdersSurviveLogFaults(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 2, 3, false)
	tc.log.Append(platform.StreamView, [][]byte{[]byte("not a view")})
	tc.log.SetFaults(logd.Faults{LoseResponses: 1})
	first, second := tc.startHost(t, "host-0"), tc.startHost(t, "host-1")
	mayOrder := func() int {
		n := 0
		for _, server := range tc.servers {
			for _, c := range []*Controller{first, second} {
				if _, ok := c.MayOrder(server.ID); ok {
					n++
				}
			}
		}
		return n
	}
	eventually(t, func() bool { return mayOrder() == len(tc.servers) })
	must.Greater(t, 1, len(tc.log.Records(platform.StreamView)))
	tc.log.SetFaults(logd.Faults{Outage: logd.OutageClosed})
	testHost{testCluster: tc}.Announce(testModel, 2)
	eventually(t, func() bool { return tc.allServing(2) })
	tc.markDead("host-1")
	eventually(t, func() bool { return len(first.OwnedReplicas()) == len(tc.servers) })
	owner, ok := first.Owner(tc.servers[0].ID, "yoff")
	must.True(t, ok)
	must.Eq(t, "host-0", owner.ID)
	must.Eq(t, len(tc.servers), mayOrder(), must.Sprint("the current view still permits orders during an outage of the log"))
}
