package fronthost

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// placementRecord is what another holder wrote about a replica.
func placementRecord(t *testing.T, loading, holder string) logstore.Record {
	t.Helper()
	record, err := encodePlacement("replica-0", &placement{Serves: []string{testModel}, Loading: loading, Holder: holder})
	must.NoError(t, err)
	return record
}

// waits says how long a holder of the control partition leaves a replica alone.
func waits(h *testHostHandle, o *orderer) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(o.orderFrom(&orderRow{}, h.placement("replica-0")))
}

// Guards against a host that counts as the last holder because of a record that
// it built and that never reached the log: it skipped the lease after the orders
// of the holder that came between.
func TestOnlyTheLogSaysWhoOrderedLast(t *testing.T) {
	w := newWorld(t, 1)
	h := w.newHost("a")
	o := newOrderer(newRunner(h.Host, controlPartition, 1))
	h.applyWork(controlPartition, logstore.Batch{Records: []logstore.Record{placementRecord(t, testModel, "b")}})
	must.Greater(t, h.settings.Timing.OrderLease, waits(h, o))
	o.publish("replica-0", "")
	must.Greater(t, h.settings.Timing.OrderLease, waits(h, o))
}

// Guards against a host that learns of placements from a listing, which has only
// the record after an order, and orders within the lease of that order.
func TestListedPlacementOfAnotherHolderIsLeftForALease(t *testing.T) {
	w := newWorld(t, 1)
	h := w.newHost("a")
	o := newOrderer(newRunner(h.Host, controlPartition, 1))
	h.applyWork(controlPartition, logstore.Batch{Complete: true, Records: []logstore.Record{placementRecord(t, "", "b")}})
	must.Greater(t, h.settings.Timing.OrderLease, waits(h, o))
}
