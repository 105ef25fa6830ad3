package ratelimit

import (
	"maps"
	"slices"
	"time"
)

const (
	// grantLifetime is how long granted requests may be sent.
	grantLifetime = 500 * time.Millisecond
	// uncoordinatedRate is the rate, in requests per second, at which a host sends to a
	// server with a limit as long as it has never reached an allocator, and so does not
	// know how many hosts share the limit.
	uncoordinatedRate = 0.1
	// refreshAge is the age from which a host doubts that a server still names its
	// limit.
	refreshAge = 2 * time.Second
)

// State says whether a host may send a request to a server now.
type State int

// States of servers.
const (
	// Unlimited servers have no limit.
	Unlimited State = iota
	// Granted servers have a limit, and this host has a granted request.
	Granted
	// Limited servers need a grant.
	Limited
)

// Budget holds the granted requests of one host.
type Budget struct {
	limits *Limits
	grants map[string][]heldGrant
	// next is when the allocator could grant the next request, by server.
	next map[string]time.Time
	// shareUsed is when this host last used its share of a limit, by server.
	shareUsed map[string]time.Time
	// refreshed is when this host last asked whether a server still names its limit.
	refreshed map[string]time.Time
	hosts     int // that share the limits; 0 if unknown
	// returning is when the last caller that was refused was asked to return.
	returning time.Time
}

// heldGrant is a grant that the host has not used up.
type heldGrant struct {
	requests    int
	from, until time.Time
}

// NewBudget returns a budget without grants for the limits in a table.
func NewBudget(limits *Limits) *Budget {
	return &Budget{
		limits: limits, grants: make(map[string][]heldGrant), next: make(map[string]time.Time),
		shareUsed: make(map[string]time.Time), refreshed: make(map[string]time.Time),
	}
}

// State returns whether a request may be sent to a server now.
func (b *Budget) State(c Candidate, now time.Time) State {
	if _, limited := b.limits.Get(c.Server, c.Incarnation); !limited {
		return Unlimited
	}
	if b.Available(c.Server, now) > 0 {
		return Granted
	}
	return Limited
}

// Available returns the number of granted requests to a server that may be sent now.
func (b *Budget) Available(server string, now time.Time) int {
	total := 0
	for _, g := range b.grants[server] {
		if !now.Before(g.from) && now.Before(g.until) {
			total += g.requests
		}
	}
	return total
}

// Pending returns the number of granted requests to a server that may be sent now or
// later.
func (b *Budget) Pending(server string, now time.Time) int {
	total := 0
	for _, g := range b.grants[server] {
		if now.Before(g.until) {
			total += g.requests
		}
	}
	return total
}

// Take uses a granted request, and returns false if there is none.
func (b *Budget) Take(server string, now time.Time) bool {
	kept := b.grants[server][:0]
	taken := false
	for _, g := range b.grants[server] {
		if !taken && g.requests > 0 && !now.Before(g.from) && now.Before(g.until) {
			g.requests--
			taken = true
		}
		if g.requests > 0 && now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	b.grants[server] = kept
	if len(kept) == 0 {
		delete(b.grants, server)
	}
	return taken
}

// Apply applies the allocator's decision on a demand. The granted requests can be
// taken from the budget, except for used ones, which the caller sends itself.
func (b *Budget) Apply(d Demand, decision Decision, used int, now time.Time) {
	b.hosts = max(decision.Hosts, 1)
	for _, g := range decision.Grants {
		if held := g.Requests - used; held > 0 {
			from := now.Add(g.Wait)
			b.grants[g.Server] = append(b.grants[g.Server], heldGrant{requests: held, from: from, until: from.Add(grantLifetime)})
		}
	}
	for _, c := range d.Servers {
		switch {
		case d.Refresh:
			b.refreshed[c.Server] = now
		case len(decision.Grants) > 0:
			delete(b.next, c.Server)
		default:
			b.next[c.Server] = now.Add(decision.Wait)
		}
	}
}

// Hopeless reports whether the allocator is known to have no request for any of the
// servers within the patience, so that it need not be asked.
func (b *Budget) Hopeless(d Demand, now time.Time) bool {
	for _, c := range d.Servers {
		if next, known := b.next[c.Server]; !known || next.Sub(now) <= d.Patience {
			return false
		}
	}
	return len(d.Servers) > 0
}

// Wanted returns the number of requests that a host asks for at once: its share of
// what one host gets, so that hosts with much traffic ask less often.
func (b *Budget) Wanted(c Candidate) int {
	limit, _ := b.limits.Get(c.Server, c.Incarnation)
	return max(int(limit.PerSecond*grantWindow.Seconds()/float64(max(b.hosts, 1))), 1)
}

// Outdated returns the servers whose limit was last named so long ago that the host
// should ask whether they still name it, each at most once in refreshInterval.
func (b *Budget) Outdated(candidates []Candidate, now time.Time) []Candidate {
	var outdated []Candidate
	for _, c := range candidates {
		limit, limited := b.limits.Get(c.Server, c.Incarnation)
		if limited && now.Sub(limit.At) >= refreshAge && now.Sub(b.refreshed[c.Server]) >= refreshInterval {
			outdated = append(outdated, c)
		}
	}
	return outdated
}

// TakeShare takes a request from this host's share of a server's limit. It is used
// while no allocator can be reached.
func (b *Budget) TakeShare(c Candidate, now time.Time) bool {
	limit, limited := b.limits.Get(c.Server, c.Incarnation)
	if !limited {
		return true
	}
	rate := uncoordinatedRate
	if b.hosts > 0 {
		rate = max(limit.PerSecond, minRate) / float64(b.hosts)
	}
	if used, known := b.shareUsed[c.Server]; known && now.Sub(used).Seconds() < 1/rate {
		return false
	}
	b.shareUsed[c.Server] = now
	return true
}

// RetryAfter returns when a refused caller should return: in the order of the
// refusals, at the rate at which this host can expect requests to servers with a
// limit. It is at most limit, and 0 if no server has a limit.
func (b *Budget) RetryAfter(candidates []Candidate, limit time.Duration, now time.Time) time.Duration {
	perSecond := 0.0
	var earliest time.Time
	for _, c := range candidates {
		l, limited := b.limits.Get(c.Server, c.Incarnation)
		if !limited {
			continue
		}
		perSecond += max(l.PerSecond, minRate)
		if next, known := b.next[c.Server]; known && (earliest.IsZero() || next.Before(earliest)) {
			earliest = next
		}
	}
	if perSecond == 0 {
		return 0
	}
	between := time.Duration(float64(max(b.hosts, 1)) / perSecond * float64(time.Second))
	at := latest(now, earliest, b.returning.Add(between))
	if last := now.Add(limit); at.After(last) {
		at = last
	}
	b.returning = at
	return at.Sub(now)
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// Retain removes the state of servers that are no longer registered.
func (b *Budget) Retain(registered func(server string) bool) {
	maps.DeleteFunc(b.grants, func(server string, _ []heldGrant) bool { return !registered(server) })
	for _, times := range []map[string]time.Time{b.next, b.shareUsed, b.refreshed} {
		maps.DeleteFunc(times, func(server string, _ time.Time) bool { return !registered(server) })
	}
}
