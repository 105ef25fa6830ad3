package fronthost

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
