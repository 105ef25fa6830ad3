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

// String formats the counts for the decision line.
func (r Removed) String() string {
	return fmt.Sprintf("model %d, health %d, leaving %d, version %d, avoid %d, reach %d",
		r.Model, r.Health, r.Leaving, r.Version, r.Avoid, r.Remote)
}

// filter returns the candidates that may take the request.
func filter(request Request, candidates []Candidate) ([]*Candidate, Removed) {
	var removed Removed
	kept := make([]*Candidate, 0, len(candidates))
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
			kept = append(kept, c)
		}
	}
	return reach(request, kept, &removed)
}

// spillLoad is the load from which on a replica of the own data centre no
// longer keeps work from going to another one. At 1, a trainer filled the four
// replicas of its data centre, whose tokens then came at a third of the pace,
// while eight others a millisecond away were idle.
const spillLoad = 0.5

// reach removes the replicas of other data centres while one of the own data
// centre has room.
func reach(request Request, kept []*Candidate, removed *Removed) ([]*Candidate, Removed) {
	room := slices.ContainsFunc(kept, func(c *Candidate) bool {
		return c.DataCentre == request.DataCentre && !busy(c)
	})
	if !room {
		return kept, *removed
	}
	near := slices.DeleteFunc(kept, func(c *Candidate) bool { return c.DataCentre != request.DataCentre })
	removed.Remote += len(kept) - len(near)
	return near, *removed
}

// busy reports whether the replica has less room than work should have that is
// kept from other data centres.
func busy(c *Candidate) bool {
	return c.StateKnown && load(c) >= spillLoad
}

// soloShare is the part of the replicas that requests which must run alone may
// use. After a crash all requests of its batch are such; spread over all
// replicas, they would drain each of them.
const soloShare = 4

// soloReplicas returns the quarter of the candidates, at least one, on which
// all routers agree by their hashes.
func soloReplicas(kept []*Candidate) []*Candidate {
	slices.SortFunc(kept, func(a, b *Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	return kept[:(len(kept)+soloShare-1)/soloShare]
}
