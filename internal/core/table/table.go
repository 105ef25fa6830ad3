// Package table holds entities in tables that are iterated in key order, so
// that a system that runs over a table takes the same decisions on every run
// with the same inputs.
package table

import (
	"cmp"
	"slices"
)

// Table maps keys to rows and iterates in ascending key order. It is not safe
// for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	rows map[K]*V
	keys []K // sorted; rebuilt lazily after a change of the key set
	ok   bool
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]*V), ok: true}
}

// Get returns the row of key, or nil.
func (t *Table[K, V]) Get(key K) *V { return t.rows[key] }

// Put inserts or replaces the row of key and returns it.
func (t *Table[K, V]) Put(key K, row V) *V {
	if _, exists := t.rows[key]; !exists {
		t.ok = false
	}
	t.rows[key] = &row
	return &row
}

// Delete removes key if it is present.
func (t *Table[K, V]) Delete(key K) {
	if _, exists := t.rows[key]; exists {
		delete(t.rows, key)
		t.ok = false
	}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Keys returns a copy of the keys in ascending order.
func (t *Table[K, V]) Keys() []K {
	t.sort()
	return slices.Clone(t.keys)
}

// Each calls f for every row in ascending key order until f returns false.
// f may delete rows; rows that it adds are not visited.
func (t *Table[K, V]) Each(f func(key K, row *V) bool) {
	t.sort()
	for _, k := range t.keys {
		row, exists := t.rows[k]
		if exists && !f(k, row) {
			return
		}
	}
}

func (t *Table[K, V]) sort() {
	if t.ok {
		return
	}
	t.keys = make([]K, 0, len(t.rows))
	for k := range t.rows {
		t.keys = append(t.keys, k)
	}
	slices.Sort(t.keys)
	t.ok = true
}
