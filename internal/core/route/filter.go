package route

import (
	"cmp"
	"fmt"
	"slices"
)

// Removed counts the candidates that each filter removed.
type Removed struct {
	Model, Health, Leaving, Version, Avoid, Remote int
}

// String formats the counts for the decision log, in which Remote appears as
// "reach".
func (r Removed) String() string {
	return fmt.Sprintf("model %d, health %d, leaving %d, version %d, avoid %d, reach %d",
		r.Model, r.Health, r.Leaving, r.Version, r.Avoid, r.Remote)
}

// filter returns the candidates that can take the request.
func filter(request Request, candidates []Candidate) ([]*Candidate, Removed) {
	var removed Removed
	eligible := make([]*Candidate, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Model != request.Model:
			removed.Model++
		case c.Leaving:
			removed.Leaving++
		case c.StateKnown && !c.Healthy || c.Owner == "":
			removed.Health++
		case c.StateKnown && c.Version < request.MinVersion:
			removed.Version++
		case slices.Contains(request.Avoid, c.Replica):
			removed.Avoid++
		default:
			eligible = append(eligible, c)
		}
	}
	if request.Spill != nil {
		return applySpill(request, eligible, &removed)
	}
	return preferLocal(request, eligible, &removed)
}

// spillThreshold is the load of local replicas at which requests may go to
// other data centres. With a threshold of 1, a trainer filled the four replicas
// of its data centre, where token throughput dropped to a third, while eight
// replicas a millisecond away were idle.
const spillThreshold = 0.5

// preferLocal removes the replicas of other data centres as long as the load of
// a local replica is below spillThreshold.
func preferLocal(request Request, eligible []*Candidate, removed *Removed) ([]*Candidate, Removed) {
	localCapacity := slices.ContainsFunc(eligible, func(c *Candidate) bool {
		return c.DataCentre == request.DataCentre && !aboveSpillThreshold(c)
	})
	if !localCapacity {
		return eligible, *removed
	}
	local := slices.DeleteFunc(eligible, func(c *Candidate) bool { return c.DataCentre != request.DataCentre })
	removed.Remote += len(eligible) - len(local)
	return local, *removed
}

// aboveSpillThreshold reports whether the load of the replica is known to have
// reached spillThreshold.
func aboveSpillThreshold(c *Candidate) bool {
	return c.StateKnown && loadRatio(c) >= spillThreshold
}

// isolationDivisor is the inverse of the share of the replicas that isolated
// runs may use. After a crash every request of the engine's batch runs
// isolated; spread over all replicas, these requests would drain each of them.
const isolationDivisor = 4

// isolationReplicas returns the quarter of the candidates, but at least one,
// with the lowest hashes, so that all routers agree on them.
func isolationReplicas(eligible []*Candidate) []*Candidate {
	slices.SortFunc(eligible, func(a, b *Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	return eligible[:(len(eligible)+isolationDivisor-1)/isolationDivisor]
}
