package route

import (
	"maps"
	"slices"

	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// SpillWork returns the input of the decision whether a request leaves its data centre:
// the mean loads of the data centres. Load rows are exchanged between all hosts, so both
// sides of a pair of data centres decide from the same loads. The requests that this
// host has sent since are left out, because others do not know of them.
func SpillWork(request Request, candidates []Candidate, config spill.Config) spill.Work {
	loads := meanLoads(request.Model, candidates)
	here := loads[request.DataCentre]
	work := spill.Work{Service: request.Model, Key: request.Seed, Pressure: here}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		if name != request.DataCentre {
			work.Options = append(work.Options, spill.Option{DataCentre: name, Pressure: loads[name], Open: config.LoadAllows(here, loads[name])})
		}
	}
	return work
}

// meanLoads returns the mean load of a model's replicas in each data centre.
func meanLoads(model string, candidates []Candidate) map[string]float64 {
	used, limits := make(map[string]int), make(map[string]int)
	for i := range candidates {
		if c := &candidates[i]; c.Model == model && c.StateKnown && c.Healthy && !c.Leaving {
			used[c.DataCentre] += c.Running + c.Queued
			limits[c.DataCentre] += max(1, c.Limit)
		}
	}
	loads := make(map[string]float64, len(limits))
	for name, limit := range limits {
		loads[name] = float64(used[name]) / float64(limit)
	}
	return loads
}

// applySpill removes the replicas outside the data centre in which the request is to run,
// unless there are no others.
func applySpill(request Request, eligible []*Candidate, removed *Removed) ([]*Candidate, Removed) {
	chosen := request.DataCentre
	if request.Spill.Leaves() {
		chosen = request.Spill.DataCentre
	}
	outside := func(c *Candidate) bool { return c.DataCentre != chosen }
	kept := slices.DeleteFunc(slices.Clone(eligible), outside)
	if len(kept) == 0 {
		return eligible, *removed
	}
	removed.Remote += len(eligible) - len(kept)
	return kept, *removed
}
