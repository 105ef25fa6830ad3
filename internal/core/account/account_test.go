package account

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed" // fixes the seed
)

// Guards against consumers that each keep their limit and together exceed that of the
// process.
func TestConsumersShareOneLimit(t *testing.T) {
	limits := NewLimits(100, 0.5, 64)
	must.EqOp(t, 50<<20, limits.Total)
	rapid.Check(t, func(t *rapid.T) {
		a, held := New(limits), make(map[Consumer]int64)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			c := rapid.SampledFrom(Consumers()).Draw(t, "consumer")
			bytes := rapid.Int64Range(0, 20<<20).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "return") {
				a.Add(c, -held[c])
				held[c] = 0
			} else if a.Take(c, bytes) {
				held[c] += bytes
			} else if limit := limits.of(c); a.Missing(bytes) == 0 && held[c]+bytes <= limit {
				t.Fatalf("%d bytes refused to %s, which holds %d of %d", bytes, c, held[c], limit)
			}
			total := int64(0)
			for _, other := range Consumers() {
				total += held[other]
				if a.Held(other) != held[other] || held[other] > limits.of(other) {
					t.Fatalf("%s holds %d, %d counted", other, held[other], a.Held(other))
				}
			}
			if total > limits.Total || a.Others(c) != total-held[c] {
				t.Fatalf("%d bytes are held", total)
			}
		}
	})
}

// Guards against limits that are above the memory of a small process, and against none in
// a process without a memory limit.
func TestLimitsFollowTheMemory(t *testing.T) {
	small, unlimited := NewLimits(112, 0.45, 64), NewLimits(0, 0.45, 64)
	must.Less(t, small.Total, small.Jobs)
	must.Less(t, small.Total, small.Large)
	must.EqOp(t, 64<<20, unlimited.Jobs)
	must.Positive(t, unlimited.Decisions)
}

// Guards against requests that are refused because other hosts accepted more jobs than fit.
func TestConsumerBeyondItsLimitLeavesTheOthersTheirMemory(t *testing.T) {
	a := New(NewLimits(100, 0.5, 64))
	limits := a.Limits()
	a.Add(Jobs, 10*limits.Total)
	must.False(t, a.Take(Jobs, 1))
	must.EqOp(t, limits.Jobs, a.Others(Connections))
	must.True(t, a.Take(Connections, limits.Total-limits.Jobs))
	must.False(t, a.Take(Connections, 1))
	a.Add(Jobs, -10*limits.Total)
	must.True(t, a.Take(Connections, limits.Jobs))
	must.EqOp(t, 0, a.Others(Connections))
}
