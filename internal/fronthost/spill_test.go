package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// startSpilling starts a host of a data centre with spillover.
func (c *testCluster) startSpilling(id, dataCentre string) *hostHandle {
	h := c.newEntryHost(id)
	h.settings.Host.DataCentre, h.spill = dataCentre, spill.NewGate(spill.Defaults())
	return c.start(h)
}

// total returns the sum of the counters of a host whose names have a prefix.
func (h *hostHandle) total(prefix string) int64 {
	var sum int64
	for _, t := range h.recorder.Totals() {
		if strings.HasPrefix(t.Name, prefix) {
			sum += t.Value
		}
	}
	return sum
}

// Guards against requests that are refused for good while another data centre has room,
// against ones that leave against the open direction, and against claims that other hosts
// do not take.
func TestFullDataCentreClaimsAndSends(t *testing.T) {
	c := newTestCluster(t, 1)
	c.calls = func(id string) *backend.Response {
		if id == "app-2" {
			return full(id)
		}
		return good(id)
	}
	for _, n := range []string{"1", "2"} {
		c.put(serverPartition, "app-"+n, deployment.Server{ID: "app-" + n, Service: testApp, Addr: "app-" + n, DataCentre: "centre-" + n, Slots: 4, Incarnation: 1})
	}
	first, second := c.startSpilling("a", "centre-1"), c.startSpilling("b", "centre-2")
	calls := 0
	call := func(h *hostHandle) bool {
		calls++
		request := &backend.Request{ID: fmt.Sprintf("page-%d", calls), Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}, Body: []byte("body")}
		_, refusal := h.Forward(context.Background(), Caller{}, request, h.Config().Match(testHost, "/pages/x"), time.Now().Add(2*time.Second))
		return refusal == nil
	}
	must.False(t, call(second), must.Sprint("without a claim the direction is the other one"))
	must.EqOp(t, 0, second.total("work_left_total"))
	c.waitUntil("requests leave", func() bool { return call(second) })
	must.Positive(t, second.total("work_left_total"))
	must.Positive(t, second.total("cross_bytes_total"))
	first.mu.Lock()
	open := first.spill.Directions.MayLeave(testApp, "centre-1", "centre-2", 0, time.Now())
	first.mu.Unlock()
	must.False(t, open)
	must.True(t, call(first))
	must.EqOp(t, 0, first.total("work_left_total"))
}

// Guards against claims that cannot be read back, and against keys that crash a host or
// are taken for claims.
func TestClaimKeys(t *testing.T) {
	c := spill.Claim{Service: "a/b %", From: "x/1", To: "y", Number: 7}
	decoded, err := decodeClaim(claimKey(c))
	must.NoError(t, err)
	must.Eq(t, c, decoded)
	for _, key := range []string{"x/", "x/s/a/b", "x/s/a/a/1", "x/s/a/b/0", "x/s//b/1", "x/s/a/b/x", "x/%/a/b/1", "x/s/a/b/1/2"} {
		_, err := decodeClaim(key)
		must.Error(t, err, must.Sprint(key))
	}
}

// Guards against runs on all replicas of a data centre that may still be cut off, and
// against a data centre that is never tried again.
func TestDoubtfulDataCentreGetsOneReplica(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.newEntryHost("a")
	h.spill = spill.NewGate(spill.Defaults())
	now := time.Unix(1000, 0)
	usable := func(now time.Time) (n int) {
		replicas := []schedule.Replica{{DataCentre: "centre-1", Usable: true}, {DataCentre: "centre-2", Usable: true}, {DataCentre: "centre-2", Usable: true}}
		h.excludeUnreachable(replicas, now)
		for _, r := range replicas {
			if r.Usable {
				n++
			}
		}
		return n
	}
	must.EqOp(t, 3, usable(now))
	for range 3 {
		h.spill.RecordSend("centre-2", false, now)
	}
	must.EqOp(t, 1, usable(now))
	later := now.Add(time.Second)
	must.EqOp(t, 2, usable(later))
	h.spill.RecordStart("centre-2", later)
	must.EqOp(t, 1, usable(later))
	h.spill.RecordSend("centre-2", true, later)
	must.EqOp(t, 3, usable(later))
}

// Guards against shares that are kept for services which were removed from the configuration.
func TestSharesOfRemovedServicesAreRemoved(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startSpilling("a", "centre-1")
	share := func(service string) float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.spill.Share(service)
	}
	h.mu.Lock()
	for _, service := range []string{testApp, "removed"} {
		h.spill.UpdateShare(service, 1, time.Now())
	}
	version := h.state.Config.Version
	h.mu.Unlock()
	must.Positive(t, share("removed"))
	c.configure(version + 1)
	c.waitUntil("the share is removed", func() bool { return share("removed") == 0 })
	must.Positive(t, share(testApp))
}
