// Package drain decides which requests a host that is stopping still takes. It has no
// I/O and no clock.
package drain

import "time"

// Window is the time that a stopping host has for requests.
type Window struct {
	// NoticeEnd is the time until which load balancers may still send new clients,
	// because they have not noticed yet that the host is not ready.
	NoticeEnd time.Time
	// End is the time by which all responses must have been sent.
	End time.Time
}

// usualFactor is multiplied by the longest recent duration of a route's requests to give
// the time that a request must have left.
const usualFactor = 1.25

// Admits reports whether a request that arrives now and may take until limit is served.
// longest is the longest recent duration of the route's requests, or 0 if unknown.
//
// A request is served if it must have ended by the end of the window. Until NoticeEnd,
// it is also served if it is likely to end by then: otherwise every client of a route
// whose requests may take longer than the window would have to return elsewhere.
func (w Window) Admits(now, limit time.Time, longest time.Duration) bool {
	if !now.Before(w.End) {
		return false
	}
	if !limit.After(w.End) {
		return true
	}
	needed := time.Duration(usualFactor * float64(longest))
	return now.Before(w.NoticeEnd) && longest > 0 && !now.Add(needed).After(w.End)
}

// Closed returns a window that admits no request.
func Closed() Window { return Window{} }

// Durations holds the longest recent duration of the requests of each route. It is not
// safe for concurrent use.
type Durations struct {
	periodStart      time.Time
	current, earlier map[string]time.Duration
}

// durationPeriod is the length of the two periods over which durations are kept.
const durationPeriod = 30 * time.Second

// NewDurations returns an empty Durations.
func NewDurations() *Durations {
	return &Durations{current: make(map[string]time.Duration), earlier: make(map[string]time.Duration)}
}

// Record records how long a request of a route took.
func (d *Durations) Record(route string, took time.Duration, now time.Time) {
	d.advance(now)
	d.current[route] = max(d.current[route], took)
}

// Longest returns the longest duration of the route in the current period and the one
// before, or 0 if the route had no request.
func (d *Durations) Longest(route string, now time.Time) time.Duration {
	d.advance(now)
	return max(d.current[route], d.earlier[route])
}

// advance begins a new period if the current one is over.
func (d *Durations) advance(now time.Time) {
	switch age := now.Sub(d.periodStart); {
	case age < durationPeriod:
		return
	case age < 2*durationPeriod:
		d.earlier = d.current
	default:
		d.earlier = make(map[string]time.Duration)
	}
	d.current, d.periodStart = make(map[string]time.Duration), now
}

// Pace estimates how late the steps of a stopping host usually are, because it gets little
// processor time. The zero value is a host on time.
type Pace struct{ late time.Duration }

const (
	// lateSteps is the number of steps between a stop signal and the end of a process,
	// each of which can be late: the handling of the signal, the end of the drain, the end
	// of what is in flight, the last responses, the closing of connections and the last log
	// lines.
	lateSteps = 6
	// spareTime is the part of that delay for which the time after a drain has room.
	spareTime = 200 * time.Millisecond
	// maxAllowance bounds the time that a slow host does not use for requests.
	maxAllowance = 2 * time.Second
	// lateWeight is the weight of an observation in the mean. A host that is slow is late
	// at every step; a single pause does not end requests.
	lateWeight = 0.1
)

// Observe records how much later than intended a step was.
func (p *Pace) Observe(late time.Duration) {
	p.late += time.Duration(lateWeight * float64(late-p.late))
}

// Allowance returns by how much a drain should end earlier, so that the process ends in
// time.
func (p *Pace) Allowance() time.Duration {
	return min(max(lateSteps*p.late-spareTime, 0), maxAllowance)
}
