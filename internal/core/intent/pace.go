package intent

import "time"

// maxPace bounds the time between two appends while the log refuses or does
// not answer. A longer one would delay calls after an outage.
const maxPace = 500 * time.Millisecond

// AppendBackoff is the time between two appends of one host. All users share the log's
// limit, so a host whose append fails doubles its pace and fills its batches
// instead; with each stored append it goes back towards the shortest pace.
type AppendBackoff struct {
	shortest time.Duration
	current  time.Duration
}

// NewAppendBackoff returns a pace that begins at the shortest.
func NewAppendBackoff(shortest time.Duration) *AppendBackoff {
	return &AppendBackoff{shortest: shortest, current: shortest}
}

// Next takes the outcome of an append and returns the time to leave before
// the next one.
func (p *AppendBackoff) Next(outcome AppendOutcome) time.Duration {
	if outcome == AppendStored {
		p.current = max(p.shortest, p.current-p.current/8)
	} else {
		p.current = max(p.shortest, min(2*p.current, maxPace))
	}
	return p.current
}
