package schedule

import (
	"math/rand/v2"
	"testing"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// BenchmarkTick measures one tick of a board whose replicas are all taken while
// two steps of three models wait: the heaviest moment of a service of 44
// replicas.
func BenchmarkTick(b *testing.B) {
	s := newStep(rand.New(rand.NewPCG(1, 1)), 84, 16, 44, 8)
	for i := range s.replicas {
		s.replicas[i].MemoryTokens = 31_000
	}
	s.board.AddJob(s.entry, func(string) (jobs.Partial, bool) { return jobs.Partial{}, false })
	for range 40 {
		for _, start := range s.board.Tick(s.view()).Starts {
			s.running[start.Run] = &running{start: start, next: s.now.Add(testEvent)}
		}
		s.now = s.now.Add(testTick)
		s.advance()
	}
	for b.Loop() {
		s.board.Tick(s.view())
	}
}
