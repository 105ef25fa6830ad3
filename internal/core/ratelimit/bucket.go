package ratelimit

import "time"

const (
	// burstWindow is the time whose requests may be sent at once after a pause.
	burstWindow = time.Second
	// minRate is the rate, in requests per second, at which even a server that accepts
	// none is tried: only an answer shows that the limit has ended.
	minRate = 0.1
)

// Bucket is a token bucket in the form of the generic cell rate algorithm (GCRA), so
// that requests can also be reserved ahead.
type Bucket struct {
	perSecond float64
	// nextArrival is the theoretical arrival time of GCRA: when the next request would be
	// sent if all requests so far had been sent at an even rate.
	nextArrival time.Time
}

// NewBucket returns a bucket from which one request may be taken at once. How many
// requests were sent before is not known.
func NewBucket(perSecond float64, now time.Time) *Bucket {
	b := &Bucket{perSecond: max(perSecond, minRate)}
	b.nextArrival = now.Add(b.burst())
	return b
}

// Interval is the time between two requests at an even rate.
func (b *Bucket) Interval() time.Duration {
	return time.Duration(float64(time.Second) / b.perSecond)
}

// size is the number of requests that may be sent at once after a pause.
func (b *Bucket) size() float64 { return max(b.perSecond*burstWindow.Seconds(), 1) }

// burst is the time by which requests may be sent before their theoretical arrival.
func (b *Bucket) burst() time.Duration {
	return time.Duration((b.size() - 1) * float64(b.Interval()))
}

// Wait returns the time until the next request may be sent.
func (b *Bucket) Wait(now time.Time) time.Duration {
	return max(b.nextArrival.Sub(now)-b.burst(), 0)
}

// canSpare reports whether a request may be taken so that another one can follow at
// once. A bucket for single requests has nothing to spare; there it is enough that a
// request may be sent.
func (b *Bucket) canSpare(now time.Time) bool {
	if b.size() < 2 {
		return b.Wait(now) == 0
	}
	return !b.nextArrival.Add(b.Interval()).After(now.Add(b.burst()))
}

// takeAtMost takes a request, but leaves the bucket empty at most.
func (b *Bucket) takeAtMost(now time.Time) {
	b.Take(now)
	if empty := now.Add(time.Duration(b.size() * float64(b.Interval()))); b.nextArrival.After(empty) {
		b.nextArrival = empty
	}
}

// Take takes the request that may be sent after Wait.
func (b *Bucket) Take(now time.Time) {
	if b.nextArrival.Before(now) {
		b.nextArrival = now
	}
	b.nextArrival = b.nextArrival.Add(b.Interval())
}

// SetRate changes the rate. Requests that were taken ahead of their theoretical arrival
// leave the bucket empty at most, so that a much lower limit does not block the server
// for long.
func (b *Bucket) SetRate(perSecond float64, now time.Time) {
	perSecond = max(perSecond, minRate)
	if perSecond == b.perSecond {
		return
	}
	ahead := max(b.nextArrival.Sub(now), 0).Seconds() * b.perSecond
	b.perSecond = perSecond
	b.nextArrival = now.Add(time.Duration(min(ahead, b.size()) * float64(b.Interval())))
}
