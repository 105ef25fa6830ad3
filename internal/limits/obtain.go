package limits

import (
	"context"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// Sources of the right to send a request to a server with a limit.
const (
	sourceHeld      = "held"      // granted earlier
	sourceAllocator = "allocator" // granted now
	sourceShare     = "share"     // this host's share, without an allocator
)

// State returns whether a request may be sent to a server now.
func (c *Controller) State(s ratelimit.Candidate, now time.Time) ratelimit.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.State(s, now)
}

// Available returns the number of granted requests to a server, and false if the
// server has no limit.
func (c *Controller) Available(s ratelimit.Candidate, now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget.State(s, now) == ratelimit.Unlimited {
		return 0, false
	}
	return c.budget.Available(s.Server, now), true
}

// Take uses a granted request to a server. It returns false if the server has a limit
// and nothing is granted.
func (c *Controller) Take(s ratelimit.Candidate, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.State(s, now) == ratelimit.Unlimited || c.budget.Take(s.Server, now)
}

// outdated returns the servers of which this host should ask whether they still name
// their limit.
func (c *Controller) outdated(servers []ratelimit.Candidate, now time.Time) []ratelimit.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Outdated(servers, now)
}

// RetryAfter returns when a refused caller should return, at most limit from now.
func (c *Controller) RetryAfter(servers []ratelimit.Candidate, limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.RetryAfter(servers, limit, time.Now())
}

// Request is a request that this host wants to send to a server of a service.
type Request struct {
	ID      string
	Service string
	// Best is the best server that has no limit or a granted request; nil if there is
	// none.
	Best *ratelimit.Candidate
	// Strained is set if Best can hardly take the request, and Slower if one of Limited
	// could take it better.
	Strained bool
	Slower   bool
	// Limited are the servers with a limit and without a granted request, the preferred
	// ones first.
	Limited []ratelimit.Candidate
	// Patience is how long the request may wait until it is sent.
	Patience time.Duration
	// Hedge is set if the request was sent to another server already. It then neither
	// waits nor asks the allocator.
	Hedge bool
	// Failing is set if Best failed repeatedly and is not due to be tried again.
	Failing bool
	// Background is set for requests that can be sent later.
	Background bool
}

// Select returns the server to which a request may be sent, after it has waited for
// its turn, or an empty string. It prefers a granted request to a server with a limit
// where toAsk returns any, and else takes Best.
func (c *Controller) Select(ctx context.Context, r Request) string {
	if servers, refresh := c.toAsk(r); len(servers) > 0 {
		if r.Best != nil && !r.Strained {
			r.Patience = 0
		}
		server := c.obtain(ctx, r, servers, refresh)
		if server != "" || hasEnded(ctx) || (r.Failing && !refresh) {
			return server
		}
	}
	if r.Best != nil && c.Take(*r.Best, time.Now()) {
		return r.Best.Server
	}
	return ""
}

// toAsk returns the servers with a limit that a request should be sent to if it is
// granted: all of them if no other server can take the request well, otherwise those of
// which this host has to learn whether they still name a limit. In the second case,
// refresh is set.
func (c *Controller) toAsk(r Request) (servers []ratelimit.Candidate, refresh bool) {
	switch {
	case r.Hedge:
		return nil, false
	case r.Best == nil || r.Strained || r.Slower:
		return r.Limited, false
	}
	return c.outdated(r.Limited, time.Now()), true
}

// hasEnded reports whether the deadline of a context has passed, even if its timer has
// not fired yet.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

// obtain returns the server with a limit to which a request may be sent, after it has
// waited for its turn, or an empty string. It logs the decision.
func (c *Controller) obtain(ctx context.Context, r Request, servers []ratelimit.Candidate, refresh bool) string {
	started := time.Now()
	d := ratelimit.Demand{Host: c.host, Servers: servers, Requests: 1, Patience: r.Patience, Refresh: refresh, Background: r.Background}
	server, wait, source := c.acquire(ctx, r.Service, d, started)
	if server == "" {
		c.recorder.Count("limit_demands_total", "service", r.Service, "outcome", "denied")
		if r.Best == nil || r.Strained {
			c.recorder.RecordDecision("limit-denied", r.ID, "service", r.Service, "servers", len(servers), "wait_ms", wait.Milliseconds(), "patience_ms", r.Patience.Milliseconds(), "took_ms", time.Since(started).Milliseconds())
		}
		return ""
	}
	c.recorder.Count("limit_demands_total", "service", r.Service, "outcome", source)
	c.recorder.Observe("limit_wait_seconds", wait.Seconds(), "service", r.Service)
	c.recorder.RecordDecision("limit-grant", r.ID, "service", r.Service, "server", server, "wait_ms", wait.Milliseconds(), "source", source, "refresh", refresh, "took_ms", time.Since(started).Milliseconds())
	if wait > 0 {
		select {
		case <-ctx.Done():
			return ""
		case <-time.After(wait):
		}
	}
	return server
}

// acquire returns the server for a demand, or an empty string, with the time until the
// request may be sent or could be sent.
func (c *Controller) acquire(ctx context.Context, service string, d ratelimit.Demand, now time.Time) (server string, wait time.Duration, source string) {
	a, known := c.directory.Allocator(service)
	c.mu.Lock()
	for _, s := range d.Servers {
		if !d.Refresh && c.budget.Take(s.Server, now) {
			c.mu.Unlock()
			return s.Server, 0, sourceHeld
		}
	}
	d.Requests = c.budget.Wanted(d.Servers[0])
	hopeless := !d.Refresh && c.budget.Hopeless(d, now)
	reachable := known && now.After(c.unreachable[a.Addr])
	c.mu.Unlock()
	if hopeless {
		return "", 0, ""
	}
	if reachable {
		decision, err := c.demand(ctx, a, service, d, 1)
		if err == nil {
			for _, g := range decision.Grants {
				return g.Server, g.Wait, sourceAllocator
			}
			if len(decision.Unlimited) > 0 {
				return decision.Unlimited[0], 0, sourceAllocator
			}
			return "", decision.Wait, ""
		}
		if hasEnded(ctx) {
			return "", 0, ""
		}
	}
	if d.Refresh {
		return "", 0, ""
	}
	return c.takeShare(d.Servers), 0, sourceShare
}

func (c *Controller) takeShare(servers []ratelimit.Candidate) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range servers {
		if c.budget.TakeShare(s, time.Now()) {
			return s.Server
		}
	}
	return ""
}

// demand asks the allocator and applies its decision to the budget, except for used
// requests, which the caller sends itself.
func (c *Controller) demand(ctx context.Context, a Allocator, service string, d ratelimit.Demand, used int) (ratelimit.Decision, error) {
	var decision ratelimit.Decision
	if a.Self {
		c.mu.Lock()
		decision = c.allocator.Decide(d, time.Now())
		c.mu.Unlock()
	} else {
		callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
		reply, err := c.call(callCtx, a, c.acquireRequest(service, d))
		if err != nil {
			c.recordUnreachable(ctx, a, service, err)
			return decision, err
		}
		decision = decisionOf(reply, d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unreachable, a.Addr)
	c.budget.Apply(d, decision, used, time.Now())
	return decision, nil
}

func (c *Controller) recordUnreachable(ctx context.Context, a Allocator, service string, err error) {
	if hasEnded(ctx) {
		return // the request ended, which says nothing about the allocator
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[a.Addr] = time.Now().Add(unreachableTime)
	c.recorder.RecordDecision("limit-allocator", "", "service", service, "addr", a.Addr, "epoch", a.Epoch, "reachable", false, "err", err.Error())
	c.recorder.Count("limit_allocator_errors_total", "service", service)
}

// Prefetch asks the allocator in the background for background requests to each of the
// servers, to be taken from the budget. Only one such call of a service is in progress
// at a time.
func (c *Controller) Prefetch(ctx context.Context, service string, servers []ratelimit.Candidate, patience time.Duration, done func()) {
	a, known := c.directory.Allocator(service)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reachable := known && now.After(c.unreachable[a.Addr])
	if c.prefetching[service] || !reachable {
		return
	}
	var demands []ratelimit.Demand
	for _, s := range servers {
		d := ratelimit.Demand{Host: c.host, Servers: []ratelimit.Candidate{s}, Requests: c.budget.Wanted(s), Patience: patience, Background: true}
		if c.budget.Pending(s.Server, now) == 0 && !c.budget.Hopeless(d, now) {
			demands = append(demands, d)
		}
	}
	if len(demands) == 0 {
		return
	}
	c.prefetching[service] = true
	go func() {
		for _, d := range demands {
			if _, err := c.demand(ctx, a, service, d, 0); err != nil {
				break // logged by demand
			}
		}
		c.mu.Lock()
		c.prefetching[service] = false
		c.mu.Unlock()
		done()
	}()
}

// Acquire implements peer.LimitsHandler. It answers another host's request for grants.
func (c *Controller) Acquire(_ context.Context, in *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	now := time.Now()
	if other := in.GetAllocator(); other.GetEpoch() > 0 {
		c.directory.LearnAllocator(Allocator{Addr: other.GetAddr(), Epoch: other.GetEpoch()})
	}
	reply := &peerpb.AcquireReply{}
	a, known := c.directory.Allocator(in.GetService())
	for _, l := range in.GetObserved() {
		if known && a.Self {
			c.Observe(in.GetService(), observation(l, now))
		} else {
			c.Learn(observation(l, now))
		}
	}
	if known {
		reply.Allocator = &peerpb.Allocator{Addr: a.Addr, Epoch: a.Epoch}
	}
	if !known || !a.Self {
		reply.NotAllocator = true
		return reply, nil
	}
	if len(in.GetServers()) == 0 {
		return reply, nil
	}
	d := demandOf(in)
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := c.allocator.Decide(d, now)
	for _, g := range decision.Grants {
		reply.Grants = append(reply.Grants, &peerpb.LimitGrant{Server: g.Server, Requests: int32(g.Requests), WaitMs: milliseconds(g.Wait)})
	}
	reply.WaitMs, reply.Hosts = milliseconds(decision.Wait), int32(decision.Hosts)
	servers := make(map[string]bool, len(d.Servers))
	for _, s := range d.Servers {
		servers[s.Server] = true
	}
	reply.Limits = c.observed(servers, now)
	return reply, nil
}
