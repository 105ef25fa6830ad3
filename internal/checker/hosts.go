package checker

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
)

// span is a time in which a backend server must get no new work. A zero end
// means that it lasts.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return at.After(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// leaving checks P7: no work that arrives at a backend server later than the
// grace after its row was visible as leaving or removed.
func (c *check) leaving() Verdict {
	p := Verdict{ID: "P7", Text: "a leaving backend server gets no new work after a few seconds"}
	spans := c.leavingSpans()
	for _, list := range spans {
		for range list {
			p.Checked++
		}
	}
	for _, entry := range c.requests {
		for _, s := range spans[entry.Engine] {
			if s.contains(entry.Time) {
				p.fact(false, "engine %s got request %s %s after its grace ended", entry.Engine, entry.RequestID, entry.Time.Sub(s.from))
			}
		}
	}
	for _, call := range c.Services {
		for _, s := range spans[call.Server] {
			if s.contains(call.Time) {
				p.fact(false, "service %s got call %s %s after its grace ended", call.Server, call.Key, call.Time.Sub(s.from))
			}
		}
	}
	return p
}

func (c *check) leavingSpans() map[string][]span {
	spans := make(map[string][]span)
	open := make(map[string]bool)
	for _, change := range c.Hosts {
		id := change.Server.ID
		gone := change.Server.Leaving || change.Removed
		switch {
		case gone && !open[id]:
			spans[id] = append(spans[id], span{from: change.VisibleAt.Add(c.LeaveGrace)})
		case !gone && open[id]:
			spans[id][len(spans[id])-1].to = change.Time
		}
		open[id] = gone
	}
	return spans
}

// drains checks P8: attempts that were in flight at an entry host during its
// graceful shutdown ended with an answer or a typed refusal. A connection
// that could not be made any more cut nothing off.
func (c *check) drains() Verdict {
	p := Verdict{ID: "P8", Text: "a graceful shutdown cuts off no request in flight"}
	for _, drain := range c.Drains {
		for _, a := range c.Load.Attempts {
			inFlight := a.Entry == drain.Entry && a.Start.Before(drain.End) && a.End.After(drain.Start)
			if inFlight && a.Result != load.ResultNotConnected {
				p.fact(a.Result != load.ResultBroken, "request %s at %s was cut off: %s", a.RequestID+a.Key, a.Entry, a.Error)
			}
		}
	}
	return p
}

// configuration checks P9 with probes: within the grace after a publication
// the old state may still be seen, later only the new one. Once an entry host
// showed the new state, it must not show the old one again.
func (c *check) configuration() Verdict {
	p := Verdict{ID: "P9", Text: "an accepted configuration is in force everywhere within seconds and never reverts"}
	probes := slices.Clone(c.Load.Probes)
	slices.SortStableFunc(probes, func(a, b load.Probe) int { return a.At.Compare(b.At) })
	type place struct{ entry, service string }
	shown := make(map[place]time.Time) // publication whose state the entry host has shown
	for _, probe := range probes {
		newest, found := c.publishedBefore(probe.Service, probe.At)
		if !found {
			continue
		}
		at := place{probe.Entry, probe.Service}
		if probe.ServiceFound == !newest.Removed {
			p.fact(true, "")
			shown[at] = newest.At
			continue
		}
		late := probe.At.Sub(newest.At) > c.ConfigGrace
		reverted := shown[at].Equal(newest.At)
		p.fact(!late && !reverted, "%s: service %s known %t %s after the change (reverted %t)",
			probe.Entry, probe.Service, probe.ServiceFound, probe.At.Sub(newest.At), reverted)
	}
	return p
}

func (c *check) publishedBefore(service string, at time.Time) (newest Publication, found bool) {
	for _, publication := range c.Publications {
		if publication.Service == service && publication.At.Before(at) && (!found || newest.At.Before(publication.At)) {
			newest, found = publication, true
		}
	}
	return newest, found
}
