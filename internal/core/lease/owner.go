package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// handoverMargin is added to the lease term before a new owner sends orders.
const handoverMargin = time.Second

// Owner returns the host with the highest rendezvous hash for a replica, or an
// empty string if there is no host.
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

// Score returns the rendezvous hash of a replica and a host.
func Score(replica, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(replica)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// ActingOwner returns the owner for admission. It chooses among the hosts of
// the view that membership reports neither dead nor leaving, or among all live
// hosts of the data centre if the view contains none of them.
func ActingOwner(replica string, viewHosts, live []string) string {
	return Owner(replica, ServingHosts(viewHosts, live))
}

// ServingHosts returns the hosts of the view that are live, or all live hosts
// if the view contains none of them.
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

// Refusal is the reason why a host may not send an order. Its text is the value
// of a metric label.
type Refusal string

// Reasons for refusing an order.
const (
	NoView      Refusal = "no view is known"
	Provisional Refusal = "the view is not proven yet"
	NotOwner    Refusal = "another host owns the replica"
	StaleRead   Refusal = "the last read of the view stream is older than the lease term"
	Handover    Refusal = "the former owner's lease term may not have ended"
)

// Permission allows an order until the deadline. A zero deadline sets no limit.
type Permission struct {
	Fence    int64 // fencing number to send with the order
	Deadline time.Time
}

// Authorizer decides whether this host may send an order.
type Authorizer struct {
	Views     *ViewTable
	Self      string
	LeaseTerm time.Duration
	// LastReadStart is when the last read of the view stream that succeeded and
	// reached the end of the stream was started. A response shows the stream as
	// of some moment after the request started, not as of its arrival.
	LastReadStart time.Time
	// CaughtUpAt is when this process first read the stream to its end.
	CaughtUpAt time.Time
}

// RecordRead records that a read started at the given time reached the end of
// the stream. The records of the read must be applied first.
func (a *Authorizer) RecordRead(start, now time.Time) {
	a.LastReadStart = start
	if a.CaughtUpAt.IsZero() {
		a.CaughtUpAt = now
	}
}

// AuthorizeOrder reports whether this host may send the replica an order now,
// or why not. fencingChecked states that the replica's engine rejects orders
// with an outdated fencing number, so that no lease is needed.
func (a *Authorizer) AuthorizeOrder(now time.Time, replica, dataCentre string, fencingChecked bool) (Permission, Refusal) {
	history := a.Views.histories.Get(dataCentre)
	switch {
	case history == nil || history.current() == nil:
		return Permission{}, NoView
	case history.provisional:
		return Permission{}, Provisional
	case Owner(replica, history.current().Hosts) != a.Self:
		return Permission{}, NotOwner
	}
	permission := Permission{Fence: history.current().Epoch}
	if fencingChecked {
		return permission, ""
	}
	if a.LastReadStart.IsZero() || elapsed(a.LastReadStart, now) >= a.LeaseTerm {
		return Permission{}, StaleRead
	}
	since, formerOwner := history.ownedSince(replica, a.Self, a.CaughtUpAt)
	if formerOwner && now.Sub(since) < a.LeaseTerm+handoverMargin {
		return Permission{}, Handover
	}
	permission.Deadline = a.LastReadStart.Add(a.LeaseTerm)
	return permission, ""
}

// ownedSince returns when this host read the view that made it owner, and
// whether another process may have owned the replica before. There is no former
// owner if this host has owned the replica since the data centre's first view
// and this process read that view after it had caught up. An earlier process of
// the same host may hold a lease under a view that existed before.
func (h *viewHistory) ownedSince(replica, self string, caughtUpAt time.Time) (since time.Time, formerOwner bool) {
	since, formerOwner = h.current().ReadAt, true
	for i := len(h.views) - 1; i >= 0 && Owner(replica, h.views[i].Hosts) == self; i-- {
		since = h.views[i].ReadAt
		formerOwner = h.views[i].BaseEpoch != NoEpoch || !since.After(caughtUpAt)
	}
	return since, formerOwner
}

// elapsed returns the longer of the durations on the monotonic and on the wall
// clock, because the monotonic clock stops while a machine is suspended. If the
// wall clock was set back, the lease counts as expired.
func elapsed(from, to time.Time) time.Duration {
	wall := to.Round(0).Sub(from.Round(0))
	if wall < -time.Second {
		return 1<<63 - 1
	}
	return max(to.Sub(from), wall)
}
