package pool

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// fleet is the state of the servers of one kind in one data centre.
type fleet struct {
	key    Key
	config *Config
	// startUp is the time until an ordered server serves.
	startUp time.Duration
	serving map[string]bool
	leaving map[string]bool
	// missing holds since when servers are gone, or leave, without an order or a reclaim.
	// They may still be part of the number that the platform has.
	missing map[string]time.Time
	// unregistered is set while the registry has no server of either kind in the data centre.
	// They may all be alive, so what was known of them is kept.
	unregistered bool
	// coming is the number of ordered servers that have not arrived, and releasing that of
	// servers that an order drains and that do not leave yet. Both are given up at effectBy.
	coming, releasing int
	effectBy          time.Time
	inFlight          bool
	// ordered is the number in the newest order that was or may have been accepted. It is
	// part of the floor until orderedUntil.
	ordered      int
	orderedUntil time.Time
	// avoidUntil is the time until which other data centres are preferred.
	avoidUntil time.Time
	// refusals counts the refusals in succession; nothing is ordered until retryAt.
	refusals int
	retryAt  time.Time
}

// expected returns the number of servers that serve or come.
func (f *fleet) expected() int { return len(f.serving) + f.coming }

// possible returns the number of servers that may be there soon: a lower number in an
// order may drain some.
func (f *fleet) possible() int { return f.expected() + len(f.missing) }

// floor returns the least number that an increase may order: what may be there, and what
// was ordered, because an earlier order may still be carried out.
func (f *fleet) floor(now time.Time) int {
	if f.unregistered || now.Before(f.orderedUntil) {
		return max(f.possible(), f.ordered)
	}
	return f.possible()
}

// recent returns possible without the servers that have been missing for long.
func (f *fleet) recent(now time.Time) int {
	n := f.expected()
	for _, since := range f.missing {
		if now.Sub(since) < f.config.MissingRetention {
			n++
		}
	}
	return n
}

// canOrder reports whether an order can be sent now.
func (f *fleet) canOrder(now time.Time) bool { return !f.inFlight && !now.Before(f.retryAt) }

// observe updates the state to the registered servers. It reports whether servers were
// lost, i.e. left without an order, or did not arrive.
func (f *fleet) observe(servers []*deployment.Server, now time.Time) (disturbed bool) {
	serving, leaving := make(map[string]bool), make(map[string]bool)
	for _, s := range servers {
		if s.Leaving {
			leaving[s.ID] = true
			continue
		}
		serving[s.ID] = true
		f.arrive(s.ID)
	}
	for id := range f.serving {
		if !serving[id] && !f.depart(id, leaving[id], now) {
			disturbed = true
		}
	}
	f.serving, f.leaving = serving, leaving
	for id, since := range f.missing {
		if !f.unregistered && now.Sub(since) >= f.config.MissingRetention {
			delete(f.missing, id)
		}
	}
	return f.expire(now) || disturbed || len(f.missing) > 0
}

// setUnregistered records whether the registry has no server in the data centre. Once it has
// some again, the others have MissingRetention to be registered.
func (f *fleet) setUnregistered(unregistered bool, now time.Time) {
	if f.unregistered && !unregistered {
		for id := range f.missing {
			f.missing[id] = now
		}
	}
	f.unregistered = unregistered
}

// arrive records that a server serves.
func (f *fleet) arrive(id string) {
	if _, returned := f.missing[id]; returned {
		delete(f.missing, id)
		return
	}
	if !f.serving[id] && f.coming > 0 {
		f.coming--
	}
}

// depart records that a server does not serve any more. It reports whether an order was the
// cause.
func (f *fleet) depart(id string, leaving bool, now time.Time) bool {
	if f.releasing > 0 {
		f.releasing--
		return true
	}
	f.avoidUntil = now.Add(f.config.LossHold)
	if f.key.Spot && leaving {
		f.ordered = max(f.ordered-1, 0) // reclaimed
		return false
	}
	f.missing[id] = now
	return false
}

// expire gives up what an order should have changed by now, and reports whether an
// increase had no effect.
func (f *fleet) expire(now time.Time) bool {
	if f.inFlight || now.Before(f.effectBy) {
		return false
	}
	failed := f.coming > 0
	if failed {
		f.avoidUntil = now.Add(f.config.LossHold)
	}
	f.coming, f.releasing = 0, 0
	return failed
}

// order returns an order that changes the number of servers.
func (f *fleet) order(change int, reason string, now time.Time) Order {
	o := Order{Key: f.key, Count: max(f.possible()+change, f.floor(now)), Change: change, Reason: reason}
	if change < 0 {
		o.Count = len(f.serving) + change
	}
	f.expect(change, now)
	f.inFlight = true
	return o
}

// expect records the change that an order will make.
func (f *fleet) expect(change int, now time.Time) {
	f.coming += max(change, 0)
	f.releasing += max(-change, 0)
	f.effectBy = now.Add(f.startUp + f.config.ArrivalLag)
}

// recordOutcome records the outcome of an order.
func (f *fleet) recordOutcome(o Order, outcome Outcome, now time.Time) {
	f.inFlight = false
	switch outcome {
	case Accepted:
		f.ordered, f.refusals = o.Count, 0
	case Unknown:
		// A later order with a higher number may be followed by this one.
		if !now.Before(f.orderedUntil) {
			f.ordered = 0
		}
		f.ordered, f.avoidUntil = max(f.ordered, o.Count), now.Add(f.config.LateWindow)
	case Refused, NoCapacity:
		f.coming = max(f.coming-max(o.Change, 0), 0)
		f.releasing = max(f.releasing-max(-o.Change, 0), 0)
		f.retryAt = now.Add(min(f.config.MinBackoff<<min(f.refusals, maxDoublings), f.config.MaxBackoff))
		f.refusals++
		return
	}
	f.orderedUntil = now.Add(f.config.MissingRetention)
	f.effectBy = now.Add(f.startUp + f.config.ArrivalLag)
}

// maxDoublings keeps the backoff in the range of its type.
const maxDoublings = 10

// restore takes over an order of a former holder, which was stored some time ago but may
// have been sent just now.
func (f *fleet) restore(o Order, age time.Duration, now time.Time) {
	f.expect(o.Count-len(f.serving), now)
	f.ordered, f.orderedUntil = o.Count, now.Add(f.config.MissingRetention-age)
}
