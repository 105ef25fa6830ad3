package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
)

// The target for servers with a rate limit: over limitWindow, a server may get
// limitFactor times what its limit allows and limitExtra requests more, counted from
// limitNotice after it first named the limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitNotice = 500 * time.Millisecond
)

// setLimit makes a server name a limit in its responses.
func (c *testCluster) setLimit(server string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[server] = perSecond
}

// mostInWindow returns the largest number of requests that a server with a limit got
// within limitWindow, from limitNotice after the first one.
func (c *testCluster) mostInWindow(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Time
	first := time.Time{}
	most := 0
	for _, s := range c.limited {
		if s.server != server {
			continue
		}
		if first.IsZero() {
			first = s.at
		}
		if s.at.Before(first.Add(limitNotice)) {
			continue
		}
		times = append(times, s.at)
		for s.at.Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		most = max(most, len(times))
	}
	return most
}

func allowedInWindow(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitExtra
}

// callPages sends requests to the plain service through all hosts in turn, perSecond
// in total, and returns how many were answered and refused.
func callPages(hosts []*hostHandle, perSecond int, duration time.Duration) (answered, refused int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range int(duration.Seconds() * float64(perSecond)) {
		<-ticker.C
		h := hosts[n%len(hosts)]
		calls.Go(func() {
			request := &backend.Request{ID: fmt.Sprintf("page-%d", n), Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
			_, refusal := h.Forward(context.Background(), Caller{}, request, h.Config().Match(testHost, "/pages/x"), time.Now().Add(2*time.Second))
			mu.Lock()
			defer mu.Unlock()
			if refusal == nil {
				answered++
			} else {
				refused++
			}
		})
	}
	calls.Wait()
	return answered, refused
}

// usedInWindow is the least number of requests in limitWindow of a server whose limit
// is used: three quarters of what it allows.
func usedInWindow(perSecond float64) int { return int(perSecond * limitWindow.Seconds() * 3 / 4) }

// testLimit is the limit of the servers of newLimitedCluster in requests per second.
const testLimit = 2

var limitedServers = []string{"app-a", "app-b"}

// newLimitedCluster starts five hosts and two servers of the plain service that name a
// limit.
func newLimitedCluster(t *testing.T) (*testCluster, []*hostHandle) {
	c := newTestCluster(t, 1)
	c.calls = good
	for _, id := range limitedServers {
		c.register(id, testApp)
		c.setLimit(id, testLimit)
	}
	var hosts []*hostHandle
	for i := range 5 {
		hosts = append(hosts, c.startHost(fmt.Sprintf("host-%d", i)))
	}
	return c, hosts
}

// requireLimitKept fails the test if the limit of a server was exceeded or left unused.
func (c *testCluster) requireLimitKept() {
	c.t.Helper()
	for _, id := range limitedServers {
		must.Between(c.t, usedInWindow(testLimit), c.mostInWindow(id), allowedInWindow(testLimit), must.Sprint(id))
	}
}

// allocator returns the host that grants requests.
func (c *testCluster) allocator(hosts []*hostHandle) *hostHandle {
	var found *hostHandle
	c.waitUntil("a host is the allocator", func() bool {
		for _, h := range hosts {
			if a := h.limitAllocator.Load(); a != nil && a.Self {
				found = h
			}
		}
		return found != nil
	})
	return found
}

// knowsLimits reports whether a host has the limits of both servers.
func (h *hostHandle) knowsLimits(known bool) bool {
	for _, id := range limitedServers {
		if _, limited := h.limits.Available(ratelimit.Candidate{Server: id, Incarnation: 1}, time.Now()); limited != known {
			return false
		}
	}
	return true
}

// Guards against hosts that each keep a server's limit, but exceed it together, and
// against a limit that is left unused while callers are refused.
func TestHostsTogetherKeepServerLimit(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts, 30, 6*time.Second)
	c.requireLimitKept()
}

// Guards against a host that learns a limit only with its own first answer: with many
// hosts, most requests come from such hosts.
func TestHostsShareKnowledgeOfLimits(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts[:1], 20, 500*time.Millisecond)
	for _, h := range hosts {
		c.waitUntil("host knows the limits", func() bool { return h.knowsLimits(true) })
	}
	late := c.startHost("late")
	c.waitUntil("a new host knows the limits", func() bool { return late.knowsLimits(true) })
	c.mu.Lock()
	clear(c.limits)
	c.mu.Unlock()
	for _, h := range hosts {
		c.waitUntil("host knows that the limits have ended", func() bool {
			callPages(hosts[:1], 20, 100*time.Millisecond)
			return h.knowsLimits(false)
		})
	}
}

// Guards against a host that locks up: the follower of the servers holds its lock when it
// applies a record, so that it must not be asked under the host's lock.
func TestRemovalOfServersDoesNotLockUpTheHost(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("a")
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		for i := range 300 {
			c.register(fmt.Sprint("server-", i%10), testApp)
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			h.removeServers()
		}
	}()
	for _, finished := range []chan struct{}{registered, done} {
		select {
		case <-finished:
		case <-time.After(waitTimeout):
			t.Fatal("the host is locked up")
		}
	}
	must.True(t, h.Ready())
}

// Guards against limits of servers that are gone and stay in the store for ever.
func TestLimitOfUnregisteredServerIsRemoved(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts[:1], 20, 500*time.Millisecond)
	published := func() int {
		listing, err := c.store.ListNewest(context.Background(), workPartition(controlPartition), "")
		must.NoError(t, err)
		count := 0
		for _, r := range listing.Records {
			if isLimitKey(r.Key) && !r.IsTombstone() {
				count++
			}
		}
		return count
	}
	c.waitUntil("the limits are published", func() bool { return published() == len(limitedServers) })
	for _, id := range limitedServers {
		c.unregister(id)
	}
	c.waitUntil("the limits are removed", func() bool { return published() == 0 })
}

// Guards against a limit that is lost because the entry of its server was invalid for
// a while.
func TestLimitOutlastsAnInvalidEntry(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts[:1], 20, 500*time.Millisecond)
	registered := func(want int) bool {
		h := hosts[0]
		h.removeServers()
		n := 0
		for _, s := range h.Status().Servers {
			if slices.Contains(limitedServers, s.ID) {
				n++
			}
		}
		return n == want
	}
	c.waitUntil("the limits are known", func() bool { return hosts[0].knowsLimits(true) })
	for _, id := range limitedServers {
		c.put(serverPartition, id, 7)
	}
	c.waitUntil("the servers are not used", func() bool { return registered(0) })
	for range 3 {
		hosts[0].removeServers()
	}
	for _, id := range limitedServers {
		c.register(id, testApp)
	}
	c.waitUntil("the servers are used again", func() bool { return registered(len(limitedServers)) })
	must.True(t, hosts[0].knowsLimits(true))
}

// Guards against a limit that is exceeded, or left unused for long, when the allocator
// dies: the other hosts neither know what it granted nor reach it.
func TestLimitIsKeptWhenAllocatorDies(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts, 30, 2*time.Second)
	died := c.allocator(hosts)
	died.kill()
	c.mu.Lock()
	c.unreachable[died.settings.Host.ID] = true
	c.mu.Unlock()
	hosts = slices.DeleteFunc(hosts, func(h *hostHandle) bool { return h == died })
	callPages(hosts, 30, 6*time.Second)
	must.NotEq(t, died, c.allocator(hosts))
	c.requireLimitKept()
}

// Guards against limits that depend on a store that answers.
func TestLimitIsKeptWhileStoreIsSilent(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	callPages(hosts, 30, time.Second)
	for _, h := range hosts {
		h.view.setCut(true)
	}
	c.mu.Lock()
	c.limited = nil
	c.mu.Unlock()
	callPages(hosts, 30, 6*time.Second)
	c.requireLimitKept()
}

// Guards against a former allocator that goes on granting requests because the store,
// which would show its successor, does not answer it.
func TestFormerAllocatorStopsWithoutStore(t *testing.T) {
	c, hosts := newLimitedCluster(t)
	former := c.allocator(hosts)
	former.view.setCut(true)
	c.waitUntil("the former allocator knows its successor", func() bool { return !former.limitAllocator.Load().Self })
	callPages(hosts, 30, 6*time.Second)
	c.requireLimitKept()
}

// Guards against a request that waits although it is known that it cannot be served in
// time, and against a refusal that does not say when to return.
func TestRequestOverLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, hosts := newLimitedCluster(t)
		for _, h := range hosts {
			defer h.killAndAwaitEnd()
		}
		callPages(hosts, 30, time.Second)
		request := &backend.Request{ID: "page", Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}
		route := hosts[0].Config().Match(testHost, "/pages/x")
		refused := 0
		for range 20 {
			began := time.Now()
			_, refusal := hosts[0].Forward(context.Background(), Caller{}, request, route, time.Now().Add(2*time.Second))
			if refusal == nil {
				continue
			}
			refused++
			must.EqOp(t, cluster.ReasonRateLimited, refusal.Reason)
			must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
			must.Between(t, time.Millisecond, refusal.RetryAfter, 2*time.Second)
			must.Less(t, route.Objective, time.Since(began), must.Sprint("the refusal came late"))
		}
		must.Positive(t, refused)
		c.mu.Lock()
		defer c.mu.Unlock()
		must.Positive(t, len(c.limited))
	})
}

// Guards against a burst of items that exceeds the limits of the replicas.
func TestRunnerKeepsReplicaLimit(t *testing.T) {
	c := newTestCluster(t, 2)
	c.events = 100
	const limit = 2
	c.setLimit("replica-0", limit)
	c.setLimit("replica-1", limit)
	h := c.startHost("a")
	job, payloads := newJob("job-1", 240, 1)
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	time.Sleep(6 * time.Second)
	for _, id := range []string{"replica-0", "replica-1"} {
		must.Between(t, usedInWindow(limit), c.mostInWindow(id), allowedInWindow(limit), must.Sprint(id))
	}
}
