package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvousScore returns the rendezvous hash of a key and a replica ID.
// Sorting replicas by it gives the same pseudo-random order on all hosts.
func rendezvousScore(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}

// Assign returns the model that each server should run. Servers keep the model
// that they were started for while that model needs them; the others are
// assigned to the models that lack replicas. All owners of the data centre
// compute the same result from the same host list and replica numbers.
func Assign(servers []Server, wanted map[string]int) map[string]string {
	assigned := make(map[string]string, len(servers))
	byModel := make(map[string][]string)
	for _, s := range servers {
		if !s.Leaving {
			byModel[s.Model] = append(byModel[s.Model], s.ID)
			assigned[s.ID] = s.Model
		}
	}
	var spare []string
	missing := make(map[string]int)
	for model, count := range wanted {
		missing[model] = count - len(byModel[model])
	}
	for model, ids := range byModel {
		slices.SortFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(rendezvousScore(model, a), rendezvousScore(model, b)), cmp.Compare(a, b))
		})
		if retained := wanted[model]; retained < len(ids) {
			spare = append(spare, ids[retained:]...)
		}
	}
	slices.Sort(spare)
	for _, model := range slices.Sorted(maps.Keys(missing)) {
		slices.SortStableFunc(spare, func(a, b string) int { return cmp.Compare(rendezvousScore(model, a), rendezvousScore(model, b)) })
		for missing[model] > 0 && len(spare) > 0 {
			assigned[spare[0]] = model
			spare = spare[1:]
			missing[model]--
		}
	}
	return assigned
}
