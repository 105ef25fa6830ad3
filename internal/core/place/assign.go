package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score orders replicas for a purpose in the same pseudo-random way on all hosts.
func score(purpose, id string) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + id)
}

// Assign returns the model that each server should run. Servers stay with the
// model that they were started for as long as it wants that many; the rest
// fills the models that lack replicas. All owners of the data centre come to
// the same result from the same host list and wanted numbers.
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
			return cmp.Or(cmp.Compare(score(model, a), score(model, b)), cmp.Compare(a, b))
		})
		if keep := wanted[model]; keep < len(ids) {
			spare = append(spare, ids[keep:]...)
		}
	}
	slices.Sort(spare)
	for _, model := range slices.Sorted(maps.Keys(missing)) {
		slices.SortStableFunc(spare, func(a, b string) int { return cmp.Compare(score(model, a), score(model, b)) })
		for missing[model] > 0 && len(spare) > 0 {
			assigned[spare[0]] = model
			spare = spare[1:]
			missing[model]--
		}
	}
	return assigned
}
