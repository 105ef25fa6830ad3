package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleet returns n replicas of one data centre with different loads.
func fleet(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = candidate(fmt.Sprintf("replica-%03d", i), "plateau", func(c *Candidate) { c.Running = i % 8 })
	}
	return candidates
}

// Guards against different selections for the same inputs, and against all
// routers that have the same load rows selecting the same replica.
func TestPickIsSeededAndSpreads(t *testing.T) {
	candidates := fleet(40)
	counts := make(map[string]int)
	for seed := range uint64(500) {
		request := Request{Model: "album", DataCentre: "plateau", Seed: seed}
		now := time.Unix(1000, 0)
		chosen := Choose(request, candidates, NewPrefixIndex(), DefaultWeights(), now).Chosen
		must.Eq(t, chosen, Choose(request, candidates, NewPrefixIndex(), DefaultWeights(), now).Chosen)
		must.Eq(t, 0, chosen.Running)
		counts[chosen.Replica]++
	}
	must.MapLen(t, 5, counts) // five of the 40 replicas are idle
}

// Guards against a round-robin selection that depends on load or skips
// replicas.
func TestRoundRobinSelectsEachReplicaEqually(t *testing.T) {
	var r RoundRobin
	counts := make(map[string]int)
	for range 60 {
		counts[r.Choose(Request{Model: "album", DataCentre: "plateau"}, fleet(20)).Replica]++
	}
	for _, n := range counts {
		must.Eq(t, 3, n)
	}
	must.Nil(t, r.Choose(Request{Model: "other"}, fleet(3)))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 750} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates, prefixes, now := fleet(n), NewPrefixIndex(), time.Unix(1000, 0)
			blocks := make([]uint64, 32)
			for i := range blocks {
				blocks[i] = uint64(i + 1)
			}
			prefixes.RecordSent("replica-003", blocks, now)
			request := Request{Model: "album", DataCentre: "plateau", NewestVersion: 5, Prefix: blocks}
			for b.Loop() {
				request.Seed++
				choice := Choose(request, candidates, prefixes, DefaultWeights(), now)
				_ = choice.Scores()
			}
		})
	}
}
