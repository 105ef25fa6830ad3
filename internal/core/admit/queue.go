package admit

import (
	"cmp"
	"slices"
)

// queue holds waiting requests ordered by class, then by priority, then by
// arrival.
type queue []*item

func (q *queue) push(it *item) {
	at, _ := slices.BinarySearchFunc(*q, it, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
	*q = slices.Insert(*q, at, it)
}

func (q *queue) pop() *item {
	it := (*q)[0]
	(*q)[0] = nil
	*q = (*q)[1:]
	return it
}

func (q *queue) remove(id uint64) bool {
	at := slices.IndexFunc(*q, func(it *item) bool { return it.ID == id })
	if at < 0 {
		return false
	}
	*q = slices.Delete(*q, at, at+1)
	return true
}

// removeMatching removes and returns the items for which match returns true.
func (q *queue) removeMatching(match func(*item) bool) []*item {
	var removed []*item
	*q = slices.DeleteFunc(*q, func(it *item) bool {
		if match(it) {
			removed = append(removed, it)
			return true
		}
		return false
	})
	return removed
}

// cost returns the expected number of tokens of all waiting responses.
func (q queue) cost() float64 {
	sum := 0.0
	for _, it := range q {
		sum += it.cost
	}
	return sum
}
