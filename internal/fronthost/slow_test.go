package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/knownred"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// slowLatency is the latency of a store that is slow but sound.
const slowLatency = 1200 * time.Millisecond

// Guards against a host that accepts no job for as long as the store is slow, because
// each submission begins again at the survey of the partitions or at the payloads.
func TestSubmissionsToASlowStoreSucceed(t *testing.T) {
	for name, surveyed := range map[string]bool{"first submission": false, "later submission": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			a := c.startHost("a")
			if surveyed {
				job, payloads := newJob("job-0", 1, 1)
				must.Nil(t, a.Submit(context.Background(), job, payloads))
			}
			a.view.setLatency(slowLatency)
			time.Sleep(6 * time.Second) // until the followers know of the latency
			var refusal *Refusal
			for range 10 {
				job, payloads := newJob("job-1", 4, 1)
				started := time.Now()
				refusal = a.Submit(context.Background(), job, payloads)
				if refusal == nil {
					return
				}
				t.Logf("refused after %v: %s, %s", time.Since(started), refusal.Outcome, refusal.Message)
				time.Sleep(100 * time.Millisecond)
			}
			must.Nil(t, refusal)
		})
	}
}

// Guards against a host that holds callers for the whole time of a call while the store
// is known to be away, so that they cannot ask another host.
func TestResultsAreRefusedAtOnceWithoutStore(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	b := c.startHost("b") // has read no outputs
	c.waitUntil("the job is known", func() bool { return b.jobEntry("job-1") != nil && len(b.jobEntry("job-1").Results) == 4 })
	b.view.setCut(true)
	c.waitUntil("the store is away", func() bool {
		for _, f := range b.allFollowers() {
			if !f.StoreUnavailable() {
				return false
			}
		}
		return true
	})
	for name, call := range map[string]func() *Refusal{
		"results": func() *Refusal { _, r := b.Results(context.Background(), "job-1", 0, time.Second); return r },
		"body":    func() *Refusal { _, _, r := b.ItemBody(context.Background(), "job-1", "job-1-0"); return r },
		"end":     func() *Refusal { _, r := b.EndJob(context.Background(), "job-1"); return r },
	} {
		started := time.Now()
		refusal := call()
		took := time.Since(started)
		t.Logf("%s: %v", name, took)
		must.NotNil(t, refusal)
		must.Less(t, 300*time.Millisecond, took, must.Sprint(name))
	}
}

// Guards against an end that is never acknowledged while the store is slow.
func TestJobsEndOnASlowStore(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	a.view.setLatency(slowLatency)
	time.Sleep(6 * time.Second)
	started := time.Now()
	c.waitUntil("ended", func() bool {
		found, refusal := a.EndJob(context.Background(), "job-1")
		return found && refusal == nil
	})
	t.Logf("ended after %v", time.Since(started))
}

// startSlowHost starts a host with the default times of memberships and orders.
func startSlowHost(c *testCluster, latency time.Duration, cpuShare float64) *hostHandle {
	h := c.newEntryHost("a")
	defaults := settings.Defaults()
	h.settings.Platform.Store.MinTTL, h.settings.Timing.OrderLease = defaults.Platform.Store.MinTTL, defaults.Timing.OrderLease
	h.settings.Limits.CPUShare, h.settings.Limits.Cores = cpuShare, 1
	h.view.setLatency(latency)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	h.start(ctx)
	return h
}

// Guards against partitions that nobody owns for as long as the store is slow, because
// small hosts give up each read of the owners.
func TestSmallHostJoinsOnASlowStore(t *testing.T) {
	t.Parallel()
	for _, latency := range []time.Duration{0, slowLatency} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			h := startSlowHost(c, latency, 0.12)
			c.waitUntil("partitions are assigned", func() bool { return len(h.group.Assigned()) > 0 })
		})
	}
}

// Guards against versions that no replica loads for as long as the store is slow, because
// each intent to send an order is given up before it is in the log.
func TestOrdersAreSentOnASlowStore(t *testing.T) {
	knownred.Skip(t)
	t.Parallel()
	for _, latency := range []time.Duration{0, slowLatency / 2} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			h := startSlowHost(c, latency, 1)
			c.waitUntil("host is ready", h.Ready)
			time.Sleep(6 * time.Second) // until the control partition is acquired
			c.announceVersion(2)
			c.waitUntil("a replica gets an order", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				for _, r := range c.replicas {
					if len(r.received) > 0 {
						return true
					}
				}
				return false
			})
		})
	}
}
