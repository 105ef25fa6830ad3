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

// world is one data centre with its own log and engines.
type world struct {
	mu       sync.Mutex
	members  []cluster.Member
	set      *declare.Set
	versions map[string]int64
	servers  []platform.BackendServer
	engines  map[string]*engined.Server
	log      *logd.Server
	logAddr  string
}

// seat is the world as one host sees it.
type seat struct {
	*world
	id string
}

func (s seat) Self() cluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[slices.IndexFunc(s.members, func(m cluster.Member) bool { return m.ID == s.id })]
}

func (s seat) All() []cluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

func (s seat) Current() (*declare.Set, int64) { return s.set, 1 }

func (s seat) Newest(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

func (s seat) Announce(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[model] = max(s.versions[model], version)
}

func (s seat) BackendServers() []platform.BackendServer { return s.servers }

func newWorld(t *testing.T, hosts, engines int, ignoreFence bool) *world {
	t.Helper()
	w := &world{versions: map[string]int64{testModel: 1}, engines: map[string]*engined.Server{}, log: logd.New(logd.Config{})}
	logServer := httptest.NewServer(w.log.Handler())
	t.Cleanup(logServer.Close)
	w.logAddr = strings.TrimPrefix(logServer.URL, "http://")
	for i := range hosts {
		w.members = append(w.members, cluster.Member{ID: fmt.Sprintf("host-%d", i), DataCentre: "yoff", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 1+i)})
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		e := engined.New(engined.Config{ID: id, Model: testModel, Version: 1, LoadTime: 50 * time.Millisecond, IgnoreFence: ignoreFence})
		addr, err := e.Start("127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		w.engines[id] = e
		w.servers = append(w.servers, platform.BackendServer{ID: id, Kind: platform.KindEngine, Model: testModel, Addr: addr, DataCentre: "yoff"})
	}
	w.set = &declare.Set{Models: map[string]*declare.Model{testModel: {Name: testModel, FencingChecked: !ignoreFence,
		MinServing: 0.5, Replicas: map[string]int{"yoff": engines}, Adapters: []string{"layout"}}}}
	return w
}

func (w *world) start(t *testing.T, id string) *Controller {
	t.Helper()
	recorder, err := telemetry.NewRecorder(id, 1000)
	must.NoError(t, err)
	s := seat{world: w, id: id}
	c := New(Config{LeaseTerm: time.Second, StateInterval: 200 * time.Millisecond}, platform.NewHTTPLog(w.logAddr, ""), s, s, s, s, recorder)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return c
}

func (w *world) kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.members {
		if w.members[i].ID == id {
			w.members[i].State = cluster.MemberDead
		}
	}
}

func (w *world) allRun(version int64) bool {
	for _, e := range w.engines {
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

// Guards against versions or adapters that don't reach all replicas, orders of
// a host that doesn't own the replica, and a dead owner's replicas staying
// without orders.
func TestOwnersBringReplicasToTheNewestVersion(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignore fences %v", ignore), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3, 6, ignore)
			var controllers []*Controller
			for _, m := range w.members[:2] {
				controllers = append(controllers, w.start(t, m.ID))
			}
			gone := w.start(t, "host-2")
			seat{world: w}.Announce(testModel, 2)
			eventually(t, func() bool { return w.allRun(2) })
			owned := 0
			for _, c := range append(controllers, gone) {
				owned += len(c.OwnedReplicas())
			}
			must.Eq(t, len(w.servers), owned)
			w.kill("host-2")
			eventually(t, func() bool { return len(controllers[0].OwnedReplicas())+len(controllers[1].OwnedReplicas()) == 6 })
			seat{world: w}.Announce(testModel, 3)
			eventually(t, func() bool { return w.allRun(3) })
			for id, e := range w.engines {
				last, fences := int64(0), int64(0)
				for _, entry := range e.Journal().Orders {
					must.GreaterEq(t, last, entry.VersionBefore, must.Sprintf("engine %s went back", id))
					must.GreaterEq(t, fences, entry.Order.Fence)
					last, fences = entry.VersionBefore, entry.Order.Fence
				}
			}
		})
	}
}

// Guards against ownership that never comes into force after the answer to an
// append was lost and a bad record was written, and against orders to engines
// that check fencing numbers stopping while the log is out.
func TestOrdersSurviveLogFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 3, false)
	w.log.Append(platform.StreamView, [][]byte{[]byte("not a view")})
	w.log.SetFaults(logd.Faults{LoseAnswers: 1})
	first, second := w.start(t, "host-0"), w.start(t, "host-1")
	mayOrder := func() int {
		n := 0
		for _, server := range w.servers {
			for _, c := range []*Controller{first, second} {
				if _, ok := c.MayOrder(server.ID); ok {
					n++
				}
			}
		}
		return n
	}
	eventually(t, func() bool { return mayOrder() == len(w.servers) })
	must.Greater(t, 1, len(w.log.Records(platform.StreamView)))
	w.log.SetFaults(logd.Faults{Outage: logd.OutageClosed})
	seat{world: w}.Announce(testModel, 2)
	eventually(t, func() bool { return w.allRun(2) })
	w.kill("host-1")
	eventually(t, func() bool { return len(first.OwnedReplicas()) == len(w.servers) })
	owner, ok := first.Owner(w.servers[0].ID, "yoff")
	must.True(t, ok)
	must.Eq(t, "host-0", owner.ID)
	must.Eq(t, len(w.servers), mayOrder(), must.Sprint("a view stays in force during an outage"))
}
