package logstore

import (
	"sync/atomic"
	"time"
)

// AppendLatency is how long a store takes for appends. Without it each append would begin
// with the timeout for a healthy store: a slow one carries the attempts out that were
// given up, one after the other, before the one that is waited for. The zero value is a
// store of which nothing is known. A Store that embeds one shares it among all appends.
type AppendLatency struct {
	last  atomic.Int64 // nanoseconds, of the last answer, or that it took at least
	small atomic.Int64 // nanoseconds, of the last answer to few bytes
}

// smallAppend is the size, in bytes, up to which an append takes about the same time as
// an empty one.
const smallAppend = 64 << 10

// Appends implements latencyKeeper.
func (l *AppendLatency) Appends() *AppendLatency { return l }

// latencyKeeper is a Store that knows how long it takes for appends.
type latencyKeeper interface{ Appends() *AppendLatency }

// latencyOf returns the latency that a store keeps, or else an unknown one.
func latencyOf(store Store) *AppendLatency {
	if keeper, ok := store.(latencyKeeper); ok {
		return keeper.Appends()
	}
	return &AppendLatency{}
}

// Small returns how long the last answered append of few bytes took, or 0 if unknown.
func (l *AppendLatency) Small() time.Duration { return time.Duration(l.small.Load()) }

func (l *AppendLatency) answered(took time.Duration, bytes int) {
	l.last.Store(int64(took))
	if bytes <= smallAppend {
		l.small.Store(int64(took))
	}
}

func (l *AppendLatency) timedOut(timeout time.Duration) {
	l.last.Store(max(l.last.Load(), int64(timeout)))
}

// firstTimeout returns the timeout of the first attempt of an append.
func (l *AppendLatency) firstTimeout() time.Duration {
	return min(max(2*time.Duration(l.last.Load()), firstAppendTimeout), maxAppendTimeout)
}

func sizeOf(records []Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}
