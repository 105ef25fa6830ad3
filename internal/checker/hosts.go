package checker

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
)

// interval is a period in which a backend server must not receive new work. A
// zero end means that it is still open.
type interval struct{ from, to time.Time }

func (i interval) contains(at time.Time) bool {
	return at.After(i.from) && (i.to.IsZero() || at.Before(i.to))
}

// checkLeaving checks P7: a backend server receives no new work later than
// LeaveGrace after the host list showed it as leaving or removed.
func (c *check) checkLeaving() Verdict {
	v := Verdict{ID: "P7", Text: "a leaving backend server gets no new work after a few seconds"}
	intervals := c.leavingIntervals()
	for _, list := range intervals {
		for range list {
			v.Checked++
		}
	}
	for _, entry := range c.requests {
		for _, leaving := range intervals[entry.Engine] {
			if leaving.contains(entry.Time) {
				v.record(false, "engine %s received request %s %s after its grace period", entry.Engine, entry.RequestID, entry.Time.Sub(leaving.from))
			}
		}
	}
	for _, call := range c.Services {
		for _, leaving := range intervals[call.Server] {
			if leaving.contains(call.Time) {
				v.record(false, "service %s received call %s %s after its grace period", call.Server, call.Key, call.Time.Sub(leaving.from))
			}
		}
	}
	return v
}

// leavingIntervals returns, by backend server, the intervals in which the server
// must not receive new work.
func (c *check) leavingIntervals() map[string][]interval {
	intervals := make(map[string][]interval)
	open := make(map[string]bool)
	for _, change := range c.Hosts {
		id := change.Server.ID
		gone := change.Server.Leaving || change.Removed
		switch {
		case gone && !open[id]:
			intervals[id] = append(intervals[id], interval{from: change.VisibleAt.Add(c.LeaveGrace)})
		case !gone && open[id]:
			intervals[id][len(intervals[id])-1].to = change.Time
		}
		open[id] = gone
	}
	return intervals
}

// checkDrains checks P8: attempts in flight at an entry host during its graceful
// shutdown ended with a response or a typed refusal. Attempts that could not
// connect were not in flight.
func (c *check) checkDrains() Verdict {
	v := Verdict{ID: "P8", Text: "a graceful shutdown cuts off no request in flight"}
	for _, drain := range c.Drains {
		for _, a := range c.Load.Attempts {
			inFlight := a.Entry == drain.Entry && a.Start.Before(drain.End) && a.End.After(drain.Start)
			if inFlight && a.Result != load.ResultNotConnected {
				v.record(a.Result != load.ResultBroken, "request %s at %s was cut off: %s", a.RequestID+a.Key, a.Entry, a.Error)
			}
		}
	}
	return v
}

// checkConfiguration checks P9 by the probes: within ConfigGrace after a
// publication an entry host may still have the old configuration, later only the
// new one. Once it had the new one, it must not have the old one again.
func (c *check) checkConfiguration() Verdict {
	v := Verdict{ID: "P9", Text: "an accepted configuration is in force everywhere within seconds and never reverts"}
	probes := slices.Clone(c.Load.Probes)
	slices.SortStableFunc(probes, func(a, b load.Probe) int { return a.At.Compare(b.At) })
	type probeTarget struct{ entry, service string }
	applied := make(map[probeTarget]time.Time) // latest publication that the entry host was seen to have applied
	for _, probe := range probes {
		newest, found := c.publishedBefore(probe.Service, probe.At)
		if !found {
			continue
		}
		target := probeTarget{probe.Entry, probe.Service}
		if probe.ServiceFound == !newest.Removed {
			v.record(true, "")
			applied[target] = newest.At
			continue
		}
		delayed := probe.At.Sub(newest.At) > c.ConfigGrace
		reverted := applied[target].Equal(newest.At)
		v.record(!delayed && !reverted, "entry host %s: service %s found=%t %s after its configuration change (reverted=%t)",
			probe.Entry, probe.Service, probe.ServiceFound, probe.At.Sub(newest.At), reverted)
	}
	return v
}

// publishedBefore returns the newest publication that concerns the service before
// the given time.
func (c *check) publishedBefore(service string, at time.Time) (newest Publication, found bool) {
	for _, publication := range c.Publications {
		if publication.Service == service && publication.At.Before(at) && (!found || newest.At.Before(publication.At)) {
			newest, found = publication, true
		}
	}
	return newest, found
}
