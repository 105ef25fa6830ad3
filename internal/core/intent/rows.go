package intent

import (
	"slices"
	"time"
)

// generationsPerRetention is the number of generations in one retention. More
// of them free memory sooner and make lookups slower.
const generationsPerRetention = 8

// keyRow is what the log says about a key: the intent in force, if there is
// one. Every host keeps a row for every key of the retention, so it is small.
type keyRow struct {
	author *Originator // shared by all rows of the author; nil when none is in force
	nonce  Nonce
}

// generation holds the keys whose newest record lies in one span of time. It
// is dropped as a whole.
type generation struct {
	first, newest time.Time // log's times of its records
	rows          map[Key]keyRow
	dead          map[Key][]Nonce // intents that were abandoned or have lost; few keys have any
}

// rows is the table of keys, split by the time of their newest record.
type rows struct {
	span        time.Duration
	generations []*generation // oldest first
	authors     map[Originator]*Originator
}

func newRows(retention time.Duration) *rows {
	return &rows{span: retention / generationsPerRetention, authors: make(map[Originator]*Originator)}
}

// get returns the row of a key, and the nonces that can never come into force.
func (r *rows) get(key Key) (row keyRow, dead []Nonce, ok bool) {
	for _, g := range slices.Backward(r.generations) {
		if row, ok = g.rows[key]; ok {
			return row, g.dead[key], true
		}
	}
	return keyRow{}, nil, false
}

// put stores the row of a key whose newest record has the given time.
func (r *rows) put(key Key, row keyRow, dead []Nonce, at time.Time) {
	g := r.current(at)
	for _, older := range r.generations[:len(r.generations)-1] {
		delete(older.rows, key)
		delete(older.dead, key)
	}
	g.rows[key] = row
	if len(dead) > 0 {
		g.dead[key] = dead
	}
}

func (r *rows) current(at time.Time) *generation {
	if n := len(r.generations); n > 0 && at.Sub(r.generations[n-1].first) < r.span {
		g := r.generations[n-1]
		if at.After(g.newest) {
			g.newest = at
		}
		return g
	}
	g := &generation{first: at, newest: at, rows: make(map[Key]keyRow), dead: make(map[Key][]Nonce)}
	r.generations = append(r.generations, g)
	return g
}

// drop forgets the generations whose records are all older than limit.
func (r *rows) drop(limit time.Time) {
	for len(r.generations) > 0 && r.generations[0].newest.Before(limit) {
		r.generations = slices.Delete(r.generations, 0, 1)
	}
}

// len returns the number of keys.
func (r *rows) len() int {
	n := 0
	for _, g := range r.generations {
		n += len(g.rows)
	}
	return n
}

// author returns the shared copy of an author.
func (r *rows) author(a Originator) *Originator {
	if r.authors[a] == nil {
		r.authors[a] = &a
	}
	return r.authors[a]
}
