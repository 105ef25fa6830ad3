package ratelimit

import (
	"maps"
	"time"
)

const (
	// askerLifetime is how long a host that asked counts as one that shares the limits.
	askerLifetime = 10 * time.Second
	// refreshInterval is the time without a grant after which one request is granted
	// only to learn whether a server still names its limit.
	refreshInterval = time.Second
	// grantWindow is the time whose requests one host gets at once, unless that is less
	// than one request.
	grantWindow = 100 * time.Millisecond
	// backgroundShare is the share of a limit that background requests get while callers
	// could use all of it.
	backgroundShare = 0.5
	// callerLifetime is how long after a demand of callers a service counts as one that
	// callers use.
	callerLifetime = 2 * time.Second
)

// Demand asks for requests to any of the servers of a service that have a limit.
type Demand struct {
	Host    string
	Servers []Candidate // the preferred ones first
	// Requests is the number of requests that the host has, at least 1.
	Requests int
	// Patience is how long the host's request may wait until it is sent.
	Patience time.Duration
	// Refresh asks for a request only to a server that had none for a while. The host
	// could also send its request to a server without a limit, so it has no patience.
	Refresh bool
	// Background is set for requests that can be sent later, i.e. items and reward
	// calls. Beyond their share they get only what callers leave.
	Background bool
}

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Server      string
	Incarnation int64
}

// Grant allows a host to send requests to a server.
type Grant struct {
	Server   string
	Requests int
	// Wait is the time from the reply until the requests may be sent.
	Wait time.Duration
}

// Decision is the answer to a demand.
type Decision struct {
	Grants []Grant
	// Unlimited are the servers that no longer name a limit.
	Unlimited []string
	// Wait is the time until the next request could be sent, if nothing was granted.
	Wait time.Duration
	// Hosts is the number of hosts that asked of late.
	Hosts int
}

// Allocator grants the requests of servers with a limit to hosts, in the order in
// which they ask.
type Allocator struct {
	limits  *Limits
	buckets map[string]*allocation
	askers  map[string]time.Time
}

// allocation is the allocator's state of one incarnation of a server.
type allocation struct {
	*Bucket
	background  *Bucket // share of background requests
	incarnation int64
	granted     time.Time // when a request was last granted
	callers     time.Time // when callers last asked
}

// NewAllocator returns an allocator of the limits in a table.
func NewAllocator(limits *Limits) *Allocator {
	return &Allocator{limits: limits, buckets: make(map[string]*allocation), askers: make(map[string]time.Time)}
}

// Decide answers a demand. It grants as many requests as can be sent at once, and at
// least one if it can be sent within the host's patience.
func (a *Allocator) Decide(d Demand, now time.Time) Decision {
	a.askers[d.Host] = now
	server, best, unlimited := a.choose(d, now)
	decision := Decision{Hosts: a.hosts(now), Unlimited: unlimited}
	if best == nil {
		return decision
	}
	wait, granted := best.admit(d, now)
	if !granted {
		decision.Wait = wait
		return decision
	}
	decision.Grants = []Grant{{Server: server, Requests: best.take(d, now), Wait: wait}}
	return decision
}

// choose returns the server of a demand that can take a request first, and those that
// have no limit.
func (a *Allocator) choose(d Demand, now time.Time) (server string, best *allocation, unlimited []string) {
	for _, c := range d.Servers {
		row, limited := a.allocation(c, now)
		if limited && !d.Background {
			row.callers = now
		}
		switch {
		case !limited:
			unlimited = append(unlimited, c.Server)
		case d.Refresh && now.Sub(row.granted) < refreshInterval:
		case best == nil || row.Wait(now) < best.Wait(now):
			best, server = row, c.Server
		}
	}
	return server, best, unlimited
}

// admit returns the time until a request of a demand may be sent, and whether the demand
// allows for it.
func (r *allocation) admit(d Demand, now time.Time) (time.Duration, bool) {
	wait := r.Wait(now)
	if !d.Background || r.background.Wait(now) == 0 || now.Sub(r.callers) >= callerLifetime {
		return wait, wait <= d.Patience
	}
	// Beyond their share, background requests do not reserve requests ahead of callers
	// and leave them one that they can send at once.
	if !r.canSpare(now) {
		return max(wait, r.Interval()), false
	}
	return 0, true
}

// take takes the requests of a demand and returns their number, at least 1.
func (r *allocation) take(d Demand, now time.Time) int {
	most := min(d.Requests, max(int(r.perSecond*grantWindow.Seconds()), 1))
	taken := 0
	for taken == 0 || (taken < most && r.Wait(now) == 0) {
		r.Take(now)
		if d.Background {
			r.background.takeAtMost(now)
		}
		taken++
	}
	r.granted = now
	return taken
}

// allocation returns the state of a server, and false if the server has no limit.
func (a *Allocator) allocation(c Candidate, now time.Time) (*allocation, bool) {
	limit, limited := a.limits.Get(c.Server, c.Incarnation)
	if !limited {
		delete(a.buckets, c.Server)
		return nil, false
	}
	row := a.buckets[c.Server]
	if row == nil || row.incarnation != c.Incarnation {
		row = &allocation{
			Bucket: NewBucket(limit.PerSecond, now), background: NewBucket(backgroundShare*limit.PerSecond, now), incarnation: c.Incarnation,
		}
		a.buckets[c.Server] = row
	}
	row.SetRate(limit.PerSecond, now)
	row.background.SetRate(backgroundShare*limit.PerSecond, now)
	return row, true
}

// hosts returns the number of hosts that asked of late.
func (a *Allocator) hosts(now time.Time) int {
	maps.DeleteFunc(a.askers, func(_ string, asked time.Time) bool { return now.Sub(asked) > askerLifetime })
	return len(a.askers)
}

// Retain removes the state of servers that are no longer registered.
func (a *Allocator) Retain(registered func(server string) bool) {
	maps.DeleteFunc(a.buckets, func(server string, _ *allocation) bool { return !registered(server) })
}
