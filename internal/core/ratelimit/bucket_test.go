package ratelimit

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// Guards against a limit so high or so low that a bucket overflows: it waits for ever, or
// grants what the limit does not allow.
func TestBucketOfAnyLimitWaitsWithinBounds(t *testing.T) {
	const longest = time.Duration(float64(time.Second) / minRate)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1764000000, 0)
		rate := func() float64 {
			perSecond, ok := ParseRate(strconv.FormatFloat(rapid.OneOf(rapid.Float64Min(0), rapid.Float64Range(0, 100)).Draw(t, "rate"), 'g', -1, 64))
			if !ok {
				return 0
			}
			return perSecond
		}
		b := NewBucket(rate(), now)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "change") {
				b.SetRate(rate(), now)
			}
			if wait := b.Wait(now); wait < 0 || wait > 2*longest {
				t.Fatalf("waits %s with %g requests per second", wait, b.perSecond)
			}
			if b.Wait(now) == 0 {
				b.Take(now)
			}
		}
	})
}
