package intent

import "time"

// maxAppendDelay bounds the time between two appends while the log refuses or
// does not answer. A longer delay would slow down calls after an outage.
const maxAppendDelay = 500 * time.Millisecond

// AppendBackoff determines the delay between two appends of one host. All users
// share the rate limit of the log, so a host whose append fails doubles the
// delay and sends larger batches instead. Each stored append reduces the delay
// towards the minimum.
type AppendBackoff struct {
	minDelay time.Duration
	delay    time.Duration
}

// NewAppendBackoff returns a backoff that starts at the minimum delay.
func NewAppendBackoff(minDelay time.Duration) *AppendBackoff {
	return &AppendBackoff{minDelay: minDelay, delay: minDelay}
}

// Next records the outcome of an append and returns the delay before the next
// one.
func (b *AppendBackoff) Next(outcome AppendOutcome) time.Duration {
	if outcome == AppendStored {
		b.delay = max(b.minDelay, b.delay-b.delay/8)
	} else {
		b.delay = max(b.minDelay, min(2*b.delay, maxAppendDelay))
	}
	return b.delay
}
