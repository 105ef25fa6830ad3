package intent

import (
	"slices"
	"time"
)

// generationsPerRetention is the number of generations in one retention period.
// More generations free memory sooner and make lookups slower.
const generationsPerRetention = 8

// keyState is the state of a key according to the log: its active intent, if
// any. Every host stores one for every key within the retention, so it is
// small.
type keyState struct {
	originator *Originator // shared by all keys of the originator; nil if no intent is active
	nonce      Nonce
}

// generation holds the keys whose newest record lies in one time span. It is
// removed as a whole.
type generation struct {
	first, newest time.Time // log times of its records
	states        map[Key]keyState
	voided        map[Key][]Nonce // nonces of abandoned and rejected intents; few keys have any
}

// keyTable holds the state of all keys, split by the time of their newest
// record.
type keyTable struct {
	span        time.Duration
	generations []*generation // oldest first
	originators map[Originator]*Originator
}

func newKeyTable(retention time.Duration) *keyTable {
	return &keyTable{span: retention / generationsPerRetention, originators: make(map[Originator]*Originator)}
}

// get returns the state of a key, and the nonces whose intents can never become
// active.
func (t *keyTable) get(key Key) (state keyState, voided []Nonce, ok bool) {
	for _, g := range slices.Backward(t.generations) {
		if state, ok = g.states[key]; ok {
			return state, g.voided[key], true
		}
	}
	return keyState{}, nil, false
}

// put stores the state of a key whose newest record has the given time.
func (t *keyTable) put(key Key, state keyState, voided []Nonce, at time.Time) {
	g := t.currentGeneration(at)
	for _, older := range t.generations[:len(t.generations)-1] {
		delete(older.states, key)
		delete(older.voided, key)
	}
	g.states[key] = state
	if len(voided) > 0 {
		g.voided[key] = voided
	}
}

func (t *keyTable) currentGeneration(at time.Time) *generation {
	if n := len(t.generations); n > 0 && at.Sub(t.generations[n-1].first) < t.span {
		g := t.generations[n-1]
		if at.After(g.newest) {
			g.newest = at
		}
		return g
	}
	g := &generation{first: at, newest: at, states: make(map[Key]keyState), voided: make(map[Key][]Nonce)}
	t.generations = append(t.generations, g)
	return g
}

// expire removes the generations whose records are all older than limit.
func (t *keyTable) expire(limit time.Time) {
	for len(t.generations) > 0 && t.generations[0].newest.Before(limit) {
		t.generations = slices.Delete(t.generations, 0, 1)
	}
}

// len returns the number of keys.
func (t *keyTable) len() int {
	n := 0
	for _, g := range t.generations {
		n += len(g.states)
	}
	return n
}

// internOriginator returns the shared copy of an originator.
func (t *keyTable) internOriginator(o Originator) *Originator {
	if t.originators[o] == nil {
		t.originators[o] = &o
	}
	return t.originators[o]
}
