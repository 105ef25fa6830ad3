// Package table provides tables that are iterated in key order, so that code
// iterating over a table makes the same decisions in every run with the same
// inputs.
package table

import (
	"cmp"
	"slices"
)

// Table maps keys to rows and iterates over them in ascending key order. It is
// not safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	rows   map[K]*V
	keys   []K // ascending; rebuilt on demand after the set of keys changed
	sorted bool
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]*V), sorted: true}
}

// Get returns the row for key, or nil.
func (t *Table[K, V]) Get(key K) *V { return t.rows[key] }

// Put inserts or replaces the row for key and returns it.
func (t *Table[K, V]) Put(key K, row V) *V {
	if _, exists := t.rows[key]; !exists {
		t.sorted = false
	}
	t.rows[key] = &row
	return &row
}

// Delete removes the row for key, if present.
func (t *Table[K, V]) Delete(key K) {
	if _, exists := t.rows[key]; exists {
		delete(t.rows, key)
		t.sorted = false
	}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Keys returns a copy of the keys in ascending order.
func (t *Table[K, V]) Keys() []K {
	t.sortKeys()
	return slices.Clone(t.keys)
}

// Each calls f for each row in ascending key order until f returns false. f may
// delete rows; rows that it adds are not visited.
func (t *Table[K, V]) Each(f func(key K, row *V) bool) {
	t.sortKeys()
	for _, k := range t.keys {
		row, exists := t.rows[k]
		if exists && !f(k, row) {
			return
		}
	}
}

func (t *Table[K, V]) sortKeys() {
	if t.sorted {
		return
	}
	t.keys = make([]K, 0, len(t.rows))
	for k := range t.rows {
		t.keys = append(t.keys, k)
	}
	slices.Sort(t.keys)
	t.sorted = true
}
