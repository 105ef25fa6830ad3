package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/rollout"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// placementRecord returns the placement record of replica-0 that an order owner wrote.
func placementRecord(t *testing.T, loading, owner string) logstore.Record {
	t.Helper()
	record, err := encodePlacement("replica-0", &placement{Serves: []string{testModel}, Loading: loading, OrderOwner: owner})
	must.NoError(t, err)
	return record
}

// orderDelay returns how long the order owner must not send orders to replica-0.
func orderDelay(h *hostHandle, o *orderer) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(o.earliestOrder(&replicaState{}, h.placement("replica-0")))
}

// Guards against a host that considers itself the last order owner because of a
// record that it built but that never reached the log. Such a host did not wait for
// the lease after the orders of another owner.
func TestLastOrderOwnerComesFromLogOnly(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.newEntryHost("a")
	o := newOrderer(newRunner(h.Host, controlPartition, 1))
	h.applyWork(controlPartition, logstore.Batch{Records: []logstore.Record{placementRecord(t, testModel, "b")}})
	must.Greater(t, h.settings.Timing.OrderLease, orderDelay(h, o))
	o.publishPlacement("replica-0", "")
	must.Greater(t, h.settings.Timing.OrderLease, orderDelay(h, o))
}

// Guards against a host that reads placements from a listing, which contains only
// the record written after an order, and sends an order within the lease of that
// order.
func TestListedPlacementOfOtherOwnerWaitsForLease(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.newEntryHost("a")
	o := newOrderer(newRunner(h.Host, controlPartition, 1))
	h.applyWork(controlPartition, logstore.Batch{Complete: true, Records: []logstore.Record{placementRecord(t, "", "b")}})
	must.Greater(t, h.settings.Timing.OrderLease, orderDelay(h, o))
}

// Guards against an order owner that waits for a lease after it reads old intents, although
// the membership of their owner expired while the store did not answer. Replicas keep old
// weights for that time, and the jobs of the next steps wait for them.
func TestIntentReadLongAfterTheAssignmentDelaysNoOrder(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.newEntryHost("a")
	r := newRunner(h.Host, controlPartition, 1)
	o := newOrderer(r)
	h.applyWork(controlPartition, logstore.Batch{Records: []logstore.Record{placementRecord(t, testModel, "b")}})
	lease := h.settings.Timing.OrderLease
	must.Greater(t, lease, orderDelay(h, o))
	r.assignedAt = time.Now().Add(-maxIntentTime + time.Second)
	must.Greater(t, lease, orderDelay(h, o))
	r.assignedAt = time.Now().Add(-h.memberTTL() - orderTimeLimit - lease - maxIntentTime)
	must.LessEq(t, 0, orderDelay(h, o))
}

// Guards against an order that was planned before a job began to require a single
// version, and that replaces the weights under the job's runs.
func TestOrderLetsRunsFinishIfAJobRequiresItSinceThePlan(t *testing.T) {
	for name, single := range map[string]bool{"single version": true, "several versions": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 1)
			c.events = 100_000 // the job is open during the test
			h := c.startHost("a")
			c.changeRoutes(h, func(routes []deployment.Route) []deployment.Route {
				routes[0].SingleVersion = single
				return routes
			})
			job, payloads := newJob("job-1", 1, 1)
			must.Nil(t, h.Submit(context.Background(), job, payloads))
			var o *orderer
			c.waitUntil("the host is the order owner and knows the job", func() bool {
				h.mu.Lock()
				r, known := h.runners[controlPartition], h.jobs.Get("job-1") != nil
				h.mu.Unlock()
				if r == nil || !known {
					return false
				}
				o = newOrderer(r)
				return o.mayOrder()
			})
			received := func() []receivedOrder {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.replicas["replica-0"].received
			}
			// An order whose intent is logged too late is not sent. The replica refuses this
			// one, because the version is not announced.
			c.waitUntil("the order is sent", func() bool {
				o.executeOrder(t.Context(), rollout.Order{Replica: "replica-0", Model: testModel, Version: 2}, targetAt("replica-0"), &replicaState{reported: true})
				return len(received()) > 0
			})
			must.EqOp(t, single, received()[0].waits)
		})
	}
}
