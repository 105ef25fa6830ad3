package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/duty"
	"github.com/sesamestand/sesamestand/internal/core/rollout"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// Guards against a new order owner that sends orders within a lease of an order whose intent
// took long to append.
func TestNewOrderOwnerWaitsForTheTimeOfTheIntent(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.newEntryHost("a")
	o := newOrderer(newRunner(h.Host, controlPartition, 1))
	record, err := encodePlacement("replica-0", &placement{Loading: testModel, OrderOwner: "b", IntentMs: maxIntentTime.Milliseconds()})
	must.NoError(t, err)
	h.applyWork(controlPartition, logstore.Batch{Records: []logstore.Record{record}})
	must.Greater(t, h.settings.Timing.OrderLease+maxIntentTime, orderDelay(h, o))
	// The record that follows the order does not shorten the wait.
	h.applyWork(controlPartition, logstore.Batch{Records: []logstore.Record{placementRecord(t, "", "b")}})
	must.Greater(t, h.settings.Timing.OrderLease+maxIntentTime, orderDelay(h, o))
}

func TestIntentTime(t *testing.T) {
	must.EqOp(t, minIntentTime, duty.IntentTime(0))
	must.EqOp(t, minIntentTime, duty.IntentTime(minIntentTime/2))
	must.EqOp(t, 1600*time.Millisecond, duty.IntentTime(800*time.Millisecond))
	must.EqOp(t, maxIntentTime, duty.IntentTime(time.Minute))
}

// Guards against two order owners that send orders to one replica within a lease while
// intents take long to append.
func TestOrderOwnersOfASlowStoreStayALeaseApart(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	defaults := settings.Defaults()
	var hosts []*hostHandle
	for _, id := range []string{"a", "b"} {
		h := c.newEntryHost(id)
		h.settings.Platform.Store.MinTTL, h.settings.Timing.OrderLease = defaults.Platform.Store.MinTTL, defaults.Timing.OrderLease
		h.view.setLatency(slowLatency / 2)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		h.start(ctx)
		hosts = append(hosts, h)
	}
	orders := func() (orders, owners int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		seen := make(map[string]bool)
		for _, r := range c.replicas {
			for _, o := range r.received {
				seen[o.orderOwner] = true
			}
			orders += len(r.received)
		}
		return orders, len(seen)
	}
	for version := int64(2); ; version++ {
		before, owners := orders()
		if owners > 1 {
			break
		}
		c.announceVersion(version)
		c.waitUntil("an order is sent", func() bool { sent, _ := orders(); return sent > before })
		for _, h := range hosts {
			_, owned := h.group.Owned()[controlPartition]
			h.view.setCut(owned)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		for i, o := range r.received {
			if i > 0 && o.orderOwner != r.received[i-1].orderOwner {
				must.GreaterEq(t, defaults.Timing.OrderLease, o.at.Sub(r.received[i-1].at))
			}
		}
	}
}

// Guards against a new order owner that reads from a listing a record which replaced the
// intent of an order, and sends an order within a lease.
func TestAssignmentDoesNotReplaceAnIntent(t *testing.T) {
	c := newTestCluster(t, 1)
	a, b := c.startHost("a"), c.newEntryHost("b")
	c.waitUntil("the host is ready", a.Ready)
	o := newOrderer(newRunner(a.Host, controlPartition, 1))
	o.states["replica-0"] = &replicaState{}
	o.placementRecords("replica-0", testModel, minIntentTime) // the intent is being appended
	a.mu.Lock()
	records := o.assignments([]string{"replica-0"}, []*rollout.Replica{{ID: "replica-0", Serves: map[string]bool{testModel: true}}})
	a.mu.Unlock()
	must.SliceLen(t, 1, records)
	b.applyWork(controlPartition, logstore.Batch{Complete: true, Records: records})
	must.Greater(t, b.settings.Timing.OrderLease, orderDelay(b, newOrderer(newRunner(b.Host, controlPartition, 1))))
}
