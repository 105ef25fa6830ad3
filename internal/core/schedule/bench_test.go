package schedule

import (
	"math/rand/v2"
	"testing"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// BenchmarkTick measures one tick while all slots of the replicas are taken and
// two steps of three models wait: the peak load of a service with 44 replicas.
func BenchmarkTick(b *testing.B) {
	s := newStep(rand.New(rand.NewPCG(1, 1)), 84, 16, 44, 8)
	for i := range s.replicas {
		s.replicas[i].MemoryTokens = 31_000
	}
	s.scheduler.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	for range 40 {
		for _, start := range s.scheduler.Tick(s.input()).Starts {
			s.runs[start.Run] = &simulatedRun{start: start, nextEvent: s.now.Add(testEventInterval)}
		}
		s.now = s.now.Add(testTick)
		s.advance()
	}
	for b.Loop() {
		s.scheduler.Tick(s.input())
	}
}
