package usage

import (
	"slices"
	"time"
)

const (
	// recentRuns is the number of runs of a service whose times are retained.
	recentRuns = 64
	// queuedFactor is how many times longer than the fast runs of its service a request
	// takes that its server has queued.
	queuedFactor = 3
)

// Starts estimates when plain requests began to run, by how long the recent ones took.
// Servers do not say how long they queued a request.
type Starts struct {
	recent map[string][]time.Duration // by service, the newest last
}

// NewStarts returns an estimate without requests.
func NewStarts() *Starts { return &Starts{recent: make(map[string][]time.Duration)} }

// Began returns when a request probably began that was written and responded to, and
// records how long it took.
func (s *Starts) Began(service string, written, responded time.Time) time.Time {
	took := responded.Sub(written)
	recent := append(s.recent[service], took)
	if len(recent) > recentRuns {
		recent = slices.Delete(recent, 0, len(recent)-recentRuns)
	}
	s.recent[service] = recent
	fast := slices.Sorted(slices.Values(recent))[len(recent)/10]
	if took <= queuedFactor*fast {
		return written
	}
	return responded.Add(-fast)
}
