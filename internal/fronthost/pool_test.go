package fronthost

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	corepool "github.com/sesamestand/sesamestand/internal/core/pool"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/pool"
)

// poolControl is a control API that starts the ordered replicas.
type poolControl struct {
	testControl
	cluster *testCluster
	orders  []duties.ScaleOrder
	tenures []duties.Tenure
}

func (p *poolControl) Scale(_ context.Context, tenure duties.Tenure, o duties.ScaleOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders, p.tenures = append(p.orders, o), append(p.tenures, tenure)
	for _, id := range []string{"new-0", "new-1", "new-2"}[:o.Count-1] {
		p.cluster.addReplica(id, deployment.Server{DataCentre: o.DataCentre})
	}
	return nil
}

// addReplica registers a replica of testService, or changes its record.
func (c *testCluster) addReplica(id string, s deployment.Server) {
	c.mu.Lock()
	if c.replicas[id] == nil {
		c.replicas[id] = &fakeReplica{id: id, version: 1, failRuns: make(map[string]int)}
	}
	c.mu.Unlock()
	s.ID, s.Service, s.Addr, s.Slots, s.Incarnation, s.Versions = id, testService, id, 4, 1, map[string]int64{testModel: 1}
	c.put(serverPartition, id, s)
}

// runsOn returns the number of runs that a replica began.
func (c *testCluster) runsOn(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.replicas[id]; r != nil {
		return r.runs
	}
	return 0
}

// allowScale changes the configuration so that the servers of testService can be ordered.
func (c *testCluster) allowScale(h *hostHandle, scale deployment.Scale) {
	config := *h.Config()
	config.Version++
	config.Services = maps.Clone(config.Services)
	service := config.Services[testService]
	service.Scale = &scale
	config.Services[testService] = service
	c.put(operatorPartition, "config", config)
}

// Guards against a pool whose driver is not connected to the holder, the tables of jobs and
// servers, or the control API: a job that one replica cannot complete in time leads to
// one order under the holder's fencing number, and the new replicas run its items.
func TestServersAreOrderedForAJob(t *testing.T) {
	c := newTestCluster(t, 1)
	c.events = 5000 // no run ends, and shows its speed, before the order
	control := &poolControl{cluster: c, testControl: testControl{reports: make(map[int64]map[string]int64)}}
	c.control = control
	c.addReplica("replica-0", deployment.Server{DataCentre: "centre-1"})
	hosts := []*hostHandle{c.startHost("a"), c.startHost("b")}
	c.allowScale(hosts[0], deployment.Scale{Min: 1, Max: 4, StartUp: 100 * time.Millisecond})
	job, payloads := newJob("large", 12, 1)
	for i := range job.Items {
		job.Items[i].ExpectedOutput = 20_000
	}
	must.Nil(t, hosts[0].Submit(context.Background(), job, payloads))
	c.waitUntil("items run on a new replica", func() bool { return c.runsOn("new-0") > 0 })
	control.mu.Lock()
	defer control.mu.Unlock()
	must.Eq(t, []duties.ScaleOrder{{Service: testService, DataCentre: "centre-1", Count: 4}}, control.orders)
	holder := controlOwnerOf(hosts)
	must.EqOp(t, holder.group.Owned()[controlPartition], control.tenures[0].Fence)
	must.EqOp(t, holder.settings.Host.ID, control.tenures[0].Holder)
}

// Guards against a demand that counts as up to date although a partition with jobs is not read.
func TestDemandIsAsOldAsItsOldestPartition(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("a")
	c.waitUntil("all partitions were read", func() bool { return h.demandAge() < time.Second })
	partitions := h.modelPartitions(h.Config())
	must.SliceNotEmpty(t, partitions)
	h.mu.Lock()
	delete(h.followers, partitions[len(partitions)-1])
	h.mu.Unlock()
	source := poolSource{host: h.Host, demands: pool.NewDemands()}
	must.Greater(t, corepool.Defaults().MaxRegistryAge, source.PoolInput(time.Now()).DemandAge)
}

// Guards against a notice of a reclaim that does not reach the scheduler: runs must move to
// another replica while the former one still serves, and continue their output there.
func TestRunsLeaveAReclaimedReplica(t *testing.T) {
	c := newTestCluster(t, 1)
	c.events = 400
	h := c.startHost("a")
	job, payloads := newJob("long", 3, 1)
	for i := range job.Items {
		job.Items[i].ExpectedOutput = 400
	}
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	c.waitUntil("all items run", func() bool { return c.runsOn("replica-0") == 3 })
	c.addReplica("other", deployment.Server{})
	c.addReplica("replica-0", deployment.Server{Spot: true, Leaving: true, LeavesAt: time.Now().Add(time.Second)})
	c.waitUntil("all items run elsewhere", func() bool { return c.runsOn("other") == 3 })
	c.collect(h, job.ID, 3)
	must.EqOp(t, 3, c.runsOn("replica-0"))
	must.EqOp(t, 3, c.runsOn("other"))
}
