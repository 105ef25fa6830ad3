package limits

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// milliseconds rounds up, so that nothing is sent too early.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// observed returns the last observations of servers. The caller holds mu.
func (c *Controller) observed(servers map[string]bool, now time.Time) []*peerpb.ObservedLimit {
	var list []*peerpb.ObservedLimit
	for server := range servers {
		if o, known := c.limits.Last(server); known {
			list = append(list, &peerpb.ObservedLimit{
				Server: server, Incarnation: o.Incarnation, Named: o.Named, PerSecond: o.PerSecond,
				AgeMs: now.Sub(o.At).Milliseconds(), SentAgeMs: milliseconds(now.Sub(o.Sent)),
			})
		}
	}
	return list
}

func observation(l *peerpb.ObservedLimit, now time.Time) ratelimit.Observation {
	return ratelimit.Observation{
		Server: l.GetServer(), Incarnation: l.GetIncarnation(), Named: l.GetNamed(), PerSecond: l.GetPerSecond(),
		At: now.Add(-duration(l.GetAgeMs())), Sent: now.Add(-duration(l.GetSentAgeMs())),
	}
}

// acquireRequest returns the message for a demand, with what this host knows of the
// servers' limits.
func (c *Controller) acquireRequest(service string, d ratelimit.Demand) *peerpb.AcquireRequest {
	request := &peerpb.AcquireRequest{
		Host: c.host, Service: service, Requests: int32(d.Requests), PatienceMs: d.Patience.Milliseconds(), Refresh: d.Refresh, Background: d.Background,
	}
	servers := make(map[string]bool, len(d.Servers))
	for _, s := range d.Servers {
		servers[s.Server] = true
		request.Servers = append(request.Servers, &peerpb.LimitedServer{Server: s.Server, Incarnation: s.Incarnation})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Observed = c.observed(servers, time.Now())
	return request
}

func demandOf(in *peerpb.AcquireRequest) ratelimit.Demand {
	d := ratelimit.Demand{Host: in.GetHost(), Requests: int(in.GetRequests()), Patience: duration(in.GetPatienceMs()), Refresh: in.GetRefresh(), Background: in.GetBackground()}
	for _, s := range in.GetServers() {
		d.Servers = append(d.Servers, ratelimit.Candidate{Server: s.GetServer(), Incarnation: s.GetIncarnation()})
	}
	return d
}

// decisionOf returns the decision in a reply. A server of the demand that has no limit
// any more is one whose limit the reply does not name.
func decisionOf(reply *peerpb.AcquireReply, d ratelimit.Demand) ratelimit.Decision {
	decision := ratelimit.Decision{Wait: duration(reply.GetWaitMs()), Hosts: int(reply.GetHosts())}
	for _, g := range reply.GetGrants() {
		decision.Grants = append(decision.Grants, ratelimit.Grant{Server: g.GetServer(), Requests: int(g.GetRequests()), Wait: duration(g.GetWaitMs())})
	}
	limited := make(map[string]bool)
	for _, l := range reply.GetLimits() {
		if l.GetNamed() {
			limited[l.GetServer()] = true
		}
	}
	for _, s := range d.Servers {
		if !limited[s.Server] {
			decision.Unlimited = append(decision.Unlimited, s.Server)
		}
	}
	return decision
}
