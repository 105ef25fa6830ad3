package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func candidate(id, dataCentre string, change func(*Candidate)) Candidate {
	c := Candidate{
		Replica: id, DataCentre: dataCentre, Model: "album", Owner: "host-1", Hash: HashReplica(id),
		StateKnown: true, Healthy: true, Version: 5, Limit: 8,
	}
	if change != nil {
		change(&c)
	}
	return c
}

// Guards against routing requests to replicas that cannot or must not take
// them.
func TestFilters(t *testing.T) {
	candidates := []Candidate{
		candidate("good", "plateau", nil),
		candidate("unknown", "plateau", func(c *Candidate) { c.StateKnown, c.Healthy, c.Version = false, false, 0 }),
		candidate("other-model", "plateau", func(c *Candidate) { c.Model = "gallery" }),
		candidate("leaving", "plateau", func(c *Candidate) { c.Leaving = true }),
		candidate("unhealthy", "plateau", func(c *Candidate) { c.Healthy = false }),
		candidate("no-owner", "plateau", func(c *Candidate) { c.Owner = "" }),
		candidate("old", "plateau", func(c *Candidate) { c.Version = 3 }),
		candidate("avoided", "plateau", nil),
		candidate("far", "yoff", nil),
	}
	eligible, removed := filter(Request{
		Model: "album", DataCentre: "plateau", MinVersion: 4, Avoid: []string{"avoided"},
	}, candidates)
	must.Len(t, 2, eligible)
	must.Eq(t, "good", eligible[0].Replica)
	must.Eq(t, "unknown", eligible[1].Replica)
	must.Eq(t, Removed{Model: 1, Health: 2, Leaving: 1, Version: 1, Avoid: 1, Remote: 1}, removed)
}

// Guards against routing to other data centres while a local replica has
// capacity, and against not routing there when none has.
func TestOtherDataCentresAreUsedOnlyWhenLocalReplicasAreFull(t *testing.T) {
	full := func(c *Candidate) { c.Running = 8 }
	for name, tc := range map[string]struct {
		near func(*Candidate)
		want int
	}{
		"room":                             {nil, 1},
		"full":                             {full, 2},
		"requests sent since the load row": {func(c *Candidate) { c.Running, c.Pending = 4, 4 }, 2},
		"unhealthy":                        {func(c *Candidate) { c.Healthy = false }, 1},
	} {
		eligible, _ := filter(Request{Model: "album", DataCentre: "plateau"},
			[]Candidate{candidate("near", "plateau", tc.near), candidate("far", "yoff", nil)})
		must.Len(t, tc.want, eligible, must.Sprint(name))
	}
}

// Guards against the requests of one crashed batch draining every replica.
func TestIsolatedRunsUseAQuarterOfTheReplicas(t *testing.T) {
	for n, want := range map[int]int{1: 1, 4: 1, 12: 3} {
		used := make(map[string]bool)
		for seed := range uint64(200) {
			request := Request{Model: "album", DataCentre: "plateau", Isolated: true, Seed: seed}
			candidates := fleet(n)
			for i := range candidates {
				candidates[i].Running = 0
			}
			used[Choose(request, candidates, NewPrefixIndex(), DefaultWeights(), time.Unix(1000, 0)).Chosen.Replica] = true
		}
		must.MapLen(t, want, used)
	}
}
