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
	allReplicas = 12_000
	allCentres  = 16
	// listReads is the number of reads of the host list a second, by
	// internal/inventory.
	listReads = 1
	// ownershipPasses is the number of passes a second over the replicas of the
	// data centre by internal/orders, each of which looks up two owners: the
	// serving one and the one of the view.
	ownershipPasses = 10 * 2
	// planSteps is the number of planning steps a second, by internal/orders.
	planSteps = 5
	// rowBuilds is the number of times a second that candidates are built at
	// 29 requests a second, when a build is used for 50 ms.
	rowBuilds = 12
)

func servers(count int) []platform.BackendServer {
	all := make([]platform.BackendServer, count)
	for i := range all {
		all[i] = platform.BackendServer{ID: fmt.Sprintf("engine-%05d", i), Kind: platform.KindEngine,
			Model: fmt.Sprintf("model-%02d", i%models), Addr: fmt.Sprintf("10.%d.%d.%d:8000", i/62500, i/250%250, i%250+1),
			DataCentre: fmt.Sprintf("dc-%02d", i%allCentres)}
	}
	return all
}

// counted counts the bytes of the connections of a listener, both ways.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serve answers every request on loopback with a JSON value, and counts bytes.
func serve(value any) (server *httptest.Server, bytes *atomic.Int64, err error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode the answer")
	}
	bytes = new(atomic.Int64)
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
	server.Listener = counted{server.Listener, bytes}
	server.Start()
	return server, bytes, nil
}

// hostList measures one read of the host list. The processor time includes
// that of the server on loopback, which writes prepared bytes.
func hostList() ([]Series, error) {
	const reads = 4
	base := Series{Role: "router", Variable: "replicas listed", Target: allReplicas}
	traffic, cpu, memory := base, base, base
	traffic.Name, traffic.Unit, traffic.Scale, traffic.Control = "host list read each second", "B", 1e-3*listReads, Net
	cpu.Name, cpu.Unit, cpu.Scale, cpu.Control = "host list decoded", "s", 100*listReads, CPU
	memory.Name, memory.Unit, memory.Scale, memory.Control = "host list held", "B", 1e-6, Memory
	for _, count := range []int{750, 3000, 6000, 12_000} {
		server, bytes, err := serve(map[string]any{"hosts": servers(count)})
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

// states measures the read-back of engine states on kept connections.
func states() ([]Series, error) {
	traffic := Series{Role: "owner", Name: "state read-back", Variable: "reads a second", Unit: "B/s", Target: ownReplicas,
		Scale: 1e-3, Control: Net}
	cpu := Series{Role: "owner", Name: "state read-back, with the server", Variable: "reads", Unit: "s", Target: ownReplicas,
		Scale: 100, Control: CPU, PerEvent: true}
	for _, reads := range []int{500, 1000, 2000} {
		server, bytes, err := serve(engine.State{Model: "model-01", Version: 100_000, Adapters: []string{}, Role: engine.RoleMixed,
			Fence: 100_000, Running: 20, Incarnation: 1_700_000_000_000})
		if err != nil {
			return nil, err
		}
		admin := engine.NewAdmin("token")
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
		rate := float64(reads) / 50 // as if over 50 s
		traffic.X, traffic.Y = append(traffic.X, rate), append(traffic.Y, float64(bytes.Load())/50)
		cpu.X, cpu.Y = append(cpu.X, float64(reads)), append(cpu.Y, used.cpu)
	}
	return []Series{traffic, cpu}, nil
}

// ownership measures the rendezvous hashing over 37 hosts.
func ownership() ([]Series, error) {
	const rounds = 20
	var hosts []string
	for i := range hostsPerDC {
		hosts = append(hosts, fmt.Sprintf("entry-%03d", i))
	}
	orders := Series{Role: "owner", Name: "owners looked up by orders, 10/s", Variable: "replicas of the centre", Unit: "s",
		Target: replicasPerDC, Scale: 100 * ownershipPasses, Control: CPU}
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
	router.Target, router.Scale = allReplicas, 100
	return []Series{orders, router}, nil
}

// mine gives one host a fiftieth of the replicas.
func mine(id string) bool {
	return id[len(id)-1] == '0' && (id[len(id)-2] == '0' || id[len(id)-2] == '5')
}

// planning measures a step of the planner when nothing changes.
func planning() ([]Series, error) {
	const rounds = 50
	s := Series{Role: "owner", Name: "planning step without changes, 5/s", Variable: "replicas of the centre", Unit: "s",
		Target: replicasPerDC, Scale: 100 * planSteps, Control: CPU}
	for _, count := range []int{187, 375, 750, 1500} {
		declared := place.Declarations{Version: 1, ConfigCurrent: true, Models: map[string]*declare.Model{}}
		var listed []place.Server
		for _, server := range servers(count) {
			listed = append(listed, place.Server{ID: server.ID, Addr: server.Addr, Model: server.Model})
			if declared.Models[server.Model] == nil {
				declared.Models[server.Model] = &declare.Model{Name: server.Model, MinServing: 0.9,
					Replicas: map[string]int{"dc-01": (count + models - 1) / models}}
			}
		}
		planner := place.NewPlanner("dc-01")
		now := time.Unix(1_700_000_000, 0)
		used := measure(func() any {
			for range rounds {
				now = now.Add(time.Second / planSteps)
				for _, server := range listed {
					if mine(server.ID) {
						planner.Observe(now, server.ID, engine.State{Model: server.Model, Version: 1, Role: engine.RoleMixed}, true)
					}
				}
				planner.Update(now, declared, listed, func(string) int64 { return 1 }, nil)
				planner.Plan(now, place.TimeSlot{Count: hostsPerDC}, mine, mine)
			}
			return planner
		})
		s.X, s.Y = append(s.X, float64(count)), append(s.Y, used.cpu/rounds)
	}
	return []Series{s}, nil
}

// still is a world in which nothing changes, for the owner's controller.
type still struct{ members []cluster.Member }

func (s still) Self() cluster.Member                        { return s.members[0] }
func (s still) All() []cluster.Member                       { return s.members }
func (s still) MayOrder(string) (int64, bool)               { return 0, false }
func (s still) Current() (*declare.Set, int64)              { return &declare.Set{}, 1 }
func (s still) OwnedReplicas() []cluster.Replica            { return nil }
func (s still) Client(string) (peerpb.PeerClient, error)    { return nil, eris.New("no peers") }
func (s still) Owner(string, string) (cluster.Member, bool) { return s.members[1], true }

// rowsBuilt measures the building of the candidates from the host list, with
// a load row for every replica.
func rowsBuilt() ([]Series, error) {
	const rounds = 8
	cpu := Series{Role: "router", Name: "candidates built, 12/s", Variable: "replicas listed", Unit: "s", Target: allReplicas,
		Scale: 100 * rowBuilds, Control: CPU, Requests: true}
	memory := Series{Role: "router", Name: "candidates and load rows held", Variable: "replicas listed", Unit: "B",
		Target: allReplicas, Scale: 1e-6, Control: Memory}
	for _, count := range []int{750, 3000, 6000, 12_000} {
		recorder, err := telemetry.NewRecorder("entry-000", 0)
		if err != nil {
			return nil, eris.Wrap(err, "create a recorder")
		}
		world := still{}
		for i := range 590 {
			world.members = append(world.members, cluster.Member{ID: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%02d", i%allCentres)})
		}
		listed := servers(count)
		controller := owner.New(owner.Config{}, world, world, world, world, engine.NewClient(engine.Config{}), world, recorder)
		filled := measure(func() any {
			message := summary(count)
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
				time.Sleep(55 * time.Millisecond) // rows are kept for 50 ms
				controller.Candidates(func() []platform.BackendServer { return listed })
			}
			return controller
		})
		cpu.X, cpu.Y = append(cpu.X, float64(count)), append(cpu.Y, built.cpu/rounds)
		memory.X, memory.Y = append(memory.X, float64(count)), append(memory.Y, filled.heap)
	}
	return []Series{cpu, memory}, nil
}
