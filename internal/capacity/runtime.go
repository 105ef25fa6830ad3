package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const (
	totalReplicas    = 12_000
	totalDataCentres = 16
	// hostListReadsPerSecond is the rate at which internal/inventory reads the
	// host list.
	hostListReadsPerSecond = 1
	// ownerLookupsPerSecond is the rate of owner lookups per replica of the
	// data centre by internal/orders, which looks up two owners in each of its 10
	// passes: the serving owner and the owner in the view.
	ownerLookupsPerSecond = 10 * 2
	// planStepsPerSecond is the rate of planning steps of internal/orders.
	planStepsPerSecond = 5
	// candidateBuildsPerSecond is the rate at which the list of candidates is
	// built at 29 requests per second, when each list is reused for 50 ms.
	candidateBuildsPerSecond = 12
)

func servers(count int) []platform.BackendServer {
	all := make([]platform.BackendServer, count)
	for i := range all {
		all[i] = platform.BackendServer{ID: fmt.Sprintf("engine-%05d", i), Kind: platform.KindEngine,
			Model: fmt.Sprintf("model-%02d", i%modelCount), Addr: fmt.Sprintf("10.%d.%d.%d:8000", i/62500, i/250%250, i%250+1),
			DataCentre: fmt.Sprintf("dc-%02d", i%totalDataCentres)}
	}
	return all
}

// countingListener counts the bytes received and sent on the connections of a
// listener.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startJSONServer starts a server on loopback that responds to every request
// with value as JSON, and counts the bytes received and sent.
func startJSONServer(value any) (server *httptest.Server, bytes *atomic.Int64, err error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode the response")
	}
	bytes = new(atomic.Int64)
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	return server, bytes, nil
}

// hostList measures the traffic, processor time and memory of one read of the
// host list. The processor time includes that of the loopback server, which
// writes a response encoded in advance.
func hostList() ([]Series, error) {
	const reads = 4
	base := Series{Role: "router", Variable: "replicas listed", Target: totalReplicas}
	traffic, cpu, memory := base, base, base
	traffic.Name, traffic.Unit, traffic.Scale, traffic.LimitUnit = "host list read once per second", "B", 1e-3*hostListReadsPerSecond, Net
	cpu.Name, cpu.Unit, cpu.Scale, cpu.LimitUnit = "host list decoded", "s", 100*hostListReadsPerSecond, CPU
	memory.Name, memory.Unit, memory.Scale, memory.LimitUnit = "host list in memory", "B", 1e-6, Memory
	for _, count := range []int{750, 3000, 6000, 12_000} {
		server, bytes, err := startJSONServer(map[string]any{"hosts": servers(count)})
		if err != nil {
			return nil, err
		}
		list := platform.NewHTTPHostList(server.Listener.Addr().String(), "")
		var failed error
		used := measure(func() any {
			var last []platform.BackendServer
			for range reads {
				if last, err = list.BackendServers(context.Background()); err != nil {
					failed = err
				}
			}
			return last
		})
		server.Close()
		if failed != nil {
			return nil, eris.Wrap(failed, "read the host list")
		}
		x := float64(count)
		traffic.X, traffic.Y = append(traffic.X, x), append(traffic.Y, float64(bytes.Load())/reads)
		cpu.X, cpu.Y = append(cpu.X, x), append(cpu.Y, used.cpu/reads)
		memory.X, memory.Y = append(memory.X, x), append(memory.Y, used.heap)
	}
	return []Series{traffic, cpu, memory}, nil
}

// stateReads measures reads of engine states over reused connections.
func stateReads() ([]Series, error) {
	traffic := Series{Role: "owner", Name: "state read-back", Variable: "reads a second", Unit: "B/s", Target: ownedReplicas,
		Scale: 1e-3, LimitUnit: Net}
	cpu := Series{Role: "owner", Name: "state read-back, with the server", Variable: "reads", Unit: "s", Target: ownedReplicas,
		Scale: 100, LimitUnit: CPU, PerEvent: true}
	for _, reads := range []int{500, 1000, 2000} {
		server, bytes, err := startJSONServer(engine.State{Model: "model-01", Version: 100_000, Adapters: []string{}, Role: engine.RoleMixed,
			Fence: 100_000, Running: 20, Incarnation: 1_700_000_000_000})
		if err != nil {
			return nil, err
		}
		admin := engine.NewAdminClient("token")
		var failed error
		used := measure(func() any {
			for range reads {
				if _, err := admin.State(context.Background(), server.Listener.Addr().String()); err != nil {
					failed = err
				}
			}
			return admin
		})
		server.Close()
		if failed != nil {
			return nil, failed
		}
		rate := float64(reads) / 50 // as if spread over 50 s
		traffic.X, traffic.Y = append(traffic.X, rate), append(traffic.Y, float64(bytes.Load())/50)
		cpu.X, cpu.Y = append(cpu.X, float64(reads)), append(cpu.Y, used.cpu)
	}
	return []Series{traffic, cpu}, nil
}

// ownerLookups measures the rendezvous hashing over 37 hosts.
func ownerLookups() ([]Series, error) {
	const rounds = 20
	var hosts []string
	for i := range hostsPerDataCentre {
		hosts = append(hosts, fmt.Sprintf("entry-%03d", i))
	}
	orders := Series{Role: "owner", Name: "owners looked up by orders, 10/s", Variable: "replicas in data centre", Unit: "s",
		Target: replicasPerDataCentre, Scale: 100 * ownerLookupsPerSecond, LimitUnit: CPU}
	for _, count := range []int{187, 375, 750, 1500} {
		listed := servers(count)
		used := measure(func() any {
			last := ""
			for range rounds {
				for _, s := range listed {
					last = lease.Owner(s.ID, hosts)
				}
			}
			return last
		})
		orders.X, orders.Y = append(orders.X, float64(count)), append(orders.Y, used.cpu/rounds)
	}
	router := orders
	router.Role, router.Name, router.Variable = "router", "owners looked up by routing, 1/s", "replicas listed"
	router.Target, router.Scale = totalReplicas, 100
	return []Series{orders, router}, nil
}

// isOwned reports whether the simulated owner owns a replica. It owns one fiftieth
// of them.
func isOwned(id string) bool {
	return id[len(id)-1] == '0' && (id[len(id)-2] == '0' || id[len(id)-2] == '5')
}

// planning measures a planning step in which nothing changes.
func planning() ([]Series, error) {
	const rounds = 50
	s := Series{Role: "owner", Name: "planning step without changes, 5/s", Variable: "replicas in data centre", Unit: "s",
		Target: replicasPerDataCentre, Scale: 100 * planStepsPerSecond, LimitUnit: CPU}
	for _, count := range []int{187, 375, 750, 1500} {
		declared := place.Declarations{Version: 1, ConfigCurrent: true, Models: map[string]*declare.Model{}}
		var listed []place.Server
		for _, server := range servers(count) {
			listed = append(listed, place.Server{ID: server.ID, Addr: server.Addr, Model: server.Model})
			if declared.Models[server.Model] == nil {
				declared.Models[server.Model] = &declare.Model{Name: server.Model, MinServing: 0.9,
					Replicas: map[string]int{"dc-01": (count + modelCount - 1) / modelCount}}
			}
		}
		planner := place.NewPlanner("dc-01")
		now := time.Unix(1_700_000_000, 0)
		used := measure(func() any {
			for range rounds {
				now = now.Add(time.Second / planStepsPerSecond)
				for _, server := range listed {
					if isOwned(server.ID) {
						planner.Observe(now, server.ID, engine.State{Model: server.Model, Version: 1, Role: engine.RoleMixed}, true)
					}
				}
				planner.Update(now, declared, listed, func(string) int64 { return 1 }, nil)
				planner.Plan(now, place.TimeSlot{Count: hostsPerDataCentre}, isOwned, isOwned)
			}
			return planner
		})
		s.X, s.Y = append(s.X, float64(count)), append(s.Y, used.cpu/rounds)
	}
	return []Series{s}, nil
}

// staticCluster is a cluster in which nothing changes. It implements the
// interfaces that the measured controllers need.
type staticCluster struct{ members []cluster.Member }

func (s staticCluster) Self() cluster.Member                        { return s.members[0] }
func (s staticCluster) All() []cluster.Member                       { return s.members }
func (s staticCluster) MayOrder(string) (int64, bool)               { return 0, false }
func (s staticCluster) Current() (*declare.Set, int64)              { return &declare.Set{}, 1 }
func (s staticCluster) OwnedReplicas() []cluster.Replica            { return nil }
func (s staticCluster) Client(string) (peerpb.PeerClient, error)    { return nil, eris.New("no peers") }
func (s staticCluster) Owner(string, string) (cluster.Member, bool) { return s.members[1], true }

// candidateBuilds measures the construction of the list of candidates from the
// host list, with a load row for every replica.
func candidateBuilds() ([]Series, error) {
	const rounds = 8
	cpu := Series{Role: "router", Name: "candidates built, 12/s", Variable: "replicas listed", Unit: "s", Target: totalReplicas,
		Scale: 100 * candidateBuildsPerSecond, LimitUnit: CPU, Requests: true}
	memory := Series{Role: "router", Name: "candidates and load rows in memory", Variable: "replicas listed", Unit: "B",
		Target: totalReplicas, Scale: 1e-6, LimitUnit: Memory}
	for _, count := range []int{750, 3000, 6000, 12_000} {
		recorder, err := telemetry.NewRecorder("entry-000", 0)
		if err != nil {
			return nil, eris.Wrap(err, "create a recorder")
		}
		static := staticCluster{}
		for i := range 590 {
			static.members = append(static.members, cluster.Member{ID: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%02d", i%totalDataCentres)})
		}
		listed := servers(count)
		controller := owner.New(owner.Config{}, static, static, static, static, engine.NewClient(engine.Config{}), static, recorder)
		filled := measure(func() any {
			message := loadSummary(count)
			for i, row := range message.Loads {
				row.ReplicaHash, row.Replica = 0, listed[i].ID
			}
			_, err = controller.Exchange(context.Background(), message)
			controller.Candidates(func() []platform.BackendServer { return listed })
			return controller
		})
		if err != nil {
			return nil, eris.Wrap(err, "receive load rows")
		}
		built := measure(func() any {
			for range rounds {
				time.Sleep(55 * time.Millisecond) // the list is reused for 50 ms
				controller.Candidates(func() []platform.BackendServer { return listed })
			}
			return controller
		})
		cpu.X, cpu.Y = append(cpu.X, float64(count)), append(cpu.Y, built.cpu/rounds)
		memory.X, memory.Y = append(memory.X, float64(count)), append(memory.Y, filled.heap)
	}
	return []Series{cpu, memory}, nil
}
