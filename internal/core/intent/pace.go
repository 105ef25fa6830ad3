package intent

import "time"

// maxPace bounds the time between two appends while the log refuses or does
// not answer. A longer one would delay calls after an outage.
const maxPace = 500 * time.Millisecond

// Pace is the time between two appends of one host. All users share the log's
// limit, so a host whose append fails doubles its pace and fills its batches
// instead; with each stored append it goes back towards the shortest pace.
type Pace struct {
	shortest time.Duration
	current  time.Duration
}

// NewPace returns a pace that begins at the shortest.
func NewPace(shortest time.Duration) *Pace { return &Pace{shortest: shortest, current: shortest} }

// Appended takes the outcome of an append and returns the time to leave before
// the next one.
func (p *Pace) Appended(outcome AppendOutcome) time.Duration {
	if outcome == AppendStored {
		p.current = max(p.shortest, p.current-p.current/8)
	} else {
		p.current = max(p.shortest, min(2*p.current, maxPace))
	}
	return p.current
}
