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
