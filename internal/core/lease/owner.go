package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// handoverMargin is added to the lease term before a new owner gives orders.
const handoverMargin = time.Second

// Owner returns the host with the highest rendezvous hash for a replica, or
// an empty string when there is no host.
func Owner(replica string, hosts []string) string {
	best, bestScore := "", uint64(0)
	for _, host := range hosts {
		score := Score(replica, host)
		if best == "" || score > bestScore || score == bestScore && host > best {
			best, bestScore = host, score
		}
	}
	return best
}

// Score is the rendezvous hash of a replica and a host.
func Score(replica, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(replica)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// ActingOwner returns the owner for admission: the hosts of the view without
// those that membership reports dead or leaving, or the live hosts of the data
// centre when the view names none of them.
func ActingOwner(replica string, viewHosts, live []string) string {
	return Owner(replica, ServingHosts(viewHosts, live))
}

// ServingHosts returns the hosts of the view that are live, or all live ones when
// the view has none.
func ServingHosts(viewHosts, live []string) []string {
	alive := make(map[string]bool, len(live))
	for _, host := range live {
		alive[host] = true
	}
	var hosts []string
	for _, host := range viewHosts {
		if alive[host] {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return live
	}
	return hosts
}

// Refusal says why a host may not give an order.
type Refusal string

// Refusals.
const (
	NoView      Refusal = "no view is known"
	Provisional Refusal = "the view is not proven yet"
	NotOwner    Refusal = "another host owns the replica"
	StaleRead   Refusal = "the last read of the view stream is older than the lease term"
	Handover    Refusal = "the former owner's lease term may not have ended"
)

// Permission allows an order until the deadline. A zero deadline means none.
type Permission struct {
	Fence    int64
	Deadline time.Time
}

// Authorizer holds what this host needs to know before each order.
type Authorizer struct {
	Views     *ViewTable
	Self      string
	LeaseTerm time.Duration
	// LastReadStart is the start of the last read of the view stream that
	// succeeded and reached the end of the stream. An answer shows the stream
	// as it was at some moment after the request started, not when it arrived.
	LastReadStart time.Time
	// CaughtUpAt is when this process had first read the stream to its end.
	CaughtUpAt time.Time
}

// RecordRead records that a read that started at the given time reached the end
// of the stream. Its records must have been applied before.
func (p *Authorizer) RecordRead(start, now time.Time) {
	p.LastReadStart = start
	if p.CaughtUpAt.IsZero() {
		p.CaughtUpAt = now
	}
}

// AuthorizeOrder says whether this host may give the replica an order now. Checked
// says that the replica's engine refuses orders with an old fencing number.
func (p *Authorizer) AuthorizeOrder(now time.Time, replica, dataCentre string, checked bool) (Permission, Refusal) {
	c := p.Views.chains.Get(dataCentre)
	switch {
	case c == nil || c.newest() == nil:
		return Permission{}, NoView
	case c.provisional:
		return Permission{}, Provisional
	case Owner(replica, c.newest().Hosts) != p.Self:
		return Permission{}, NotOwner
	}
	permission := Permission{Fence: c.newest().Epoch}
	if checked {
		return permission, ""
	}
	if p.LastReadStart.IsZero() || elapsed(p.LastReadStart, now) >= p.LeaseTerm {
		return Permission{}, StaleRead
	}
	since, formerOwner := c.ownedSince(replica, p.Self, p.CaughtUpAt)
	if formerOwner && now.Sub(since) < p.LeaseTerm+handoverMargin {
		return Permission{}, Handover
	}
	permission.Deadline = p.LastReadStart.Add(p.LeaseTerm)
	return permission, ""
}

// ownedSince returns when this host read the view that made it owner, and
// whether another host may have owned the replica before. There was none when
// this host owns it since the data centre's first view and that view was
// written in the life of this process; an earlier process of the same host may
// hold a lease under a view that was there before.
func (c *chain) ownedSince(replica, self string, firstRead time.Time) (since time.Time, formerOwner bool) {
	since, formerOwner = c.newest().ReadAt, true
	for i := len(c.history) - 1; i >= 0 && Owner(replica, c.history[i].Hosts) == self; i-- {
		since = c.history[i].ReadAt
		formerOwner = c.history[i].BaseEpoch != NoEpoch || !since.After(firstRead)
	}
	return since, formerOwner
}

// elapsed is the longer of the times by the monotonic and by the wall clock,
// because the monotonic clock stands still while a machine is suspended. A
// wall clock that was set back counts as the full lease.
func elapsed(from, to time.Time) time.Duration {
	wall := to.Round(0).Sub(from.Round(0))
	if wall < -time.Second {
		return 1<<63 - 1
	}
	return max(to.Sub(from), wall)
}
