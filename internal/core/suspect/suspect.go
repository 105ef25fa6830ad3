// Package suspect keeps marks on the content of requests that were in flight
// when an engine crashed. A marked request runs alone on a replica; one that
// goes on crashing engines is refused; a whole answer clears it.
//
// The package has no I/O and no clock. A Table is not safe for concurrent use.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the parameters of a Table.
type Config struct {
	// CrashesToRefuse is the number of crashes after which content is refused.
	CrashesToRefuse int
	// IsolatedCrashesToRefuse is the number of crashes while it ran alone after
	// which content is refused.
	IsolatedCrashesToRefuse int
	// MaxSuspicions bounds the table; the mark that changed longest ago goes first.
	MaxSuspicions int
	// Lifetime is the time after the last change when a mark is forgotten.
	Lifetime time.Duration
	// ClearedLifetime is the time for which a cleared mark overrides what
	// other hosts still report about it.
	ClearedLifetime time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		CrashesToRefuse:         3,
		IsolatedCrashesToRefuse: 2,
		MaxSuspicions:           4096,
		Lifetime:                30 * time.Minute,
		ClearedLifetime:         20 * time.Second,
	}
}

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	Run Verdict = iota
	RunIsolated
	Refuse
)

// Suspicion is what is known about one fingerprint, in the form that hosts share.
type Suspicion struct {
	Fingerprint     string
	Crashes         int
	IsolatedCrashes int
	Cleared         bool
}

type row struct {
	Suspicion
	changed time.Time
	dirty   bool
	crashes []string // crashes already counted on this host
}

// maxCrashes bounds the crashes remembered per mark. A request is refused long
// before it takes part in more of them.
const maxCrashes = 16

// Table holds the marks of one host.
type Table struct {
	config Config
	rows   *table.Table[string, row]
}

// New returns an empty Table.
func New(config Config) *Table {
	return &Table{config: config, rows: table.New[string, row]()}
}

// Fingerprint identifies the content of a request. The seed is left out: the
// samples of one group, and a caller that sends again without one, differ only
// in it.
func Fingerprint(model, adapter, prompt string, maxTokens int, temperature float64) string {
	h := sha256.New()
	var number [8]byte
	for _, text := range []string{model, adapter, prompt} {
		binary.BigEndian.PutUint64(number[:], uint64(len(text)))
		h.Write(number[:])
		h.Write([]byte(text))
	}
	binary.BigEndian.PutUint64(number[:], uint64(maxTokens))
	h.Write(number[:])
	binary.BigEndian.PutUint64(number[:], math.Float64bits(temperature))
	h.Write(number[:])
	return hex.EncodeToString(h.Sum(nil))
}

// Verdict returns how a request with a fingerprint may run.
func (t *Table) Verdict(fingerprint string) Verdict {
	r := t.rows.Get(fingerprint)
	switch {
	case r == nil || r.Cleared || r.Crashes == 0:
		return Run
	case r.Crashes >= t.config.CrashesToRefuse || r.IsolatedCrashes >= t.config.IsolatedCrashesToRefuse:
		return Refuse
	}
	return RunIsolated
}

// RecordCrash marks a fingerprint that was in flight in a crash. The crash is
// named by the replica and its incarnation, and counts once per fingerprint.
// It reports whether the mark changed.
func (t *Table) RecordCrash(fingerprint, crash string, solo bool, now time.Time) bool {
	r := t.rows.Get(fingerprint)
	if r == nil {
		t.makeRoom()
		r = t.rows.Put(fingerprint, row{Suspicion: Suspicion{Fingerprint: fingerprint}})
	}
	if slices.Contains(r.crashes, crash) {
		return false
	}
	if len(r.crashes) == maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, crash)
	r.Cleared = false
	r.Crashes++
	if solo {
		r.IsolatedCrashes++
	}
	r.changed, r.dirty = now, true
	return true
}

// Withdraw takes back what a crash counted, when the replica turns out not to
// have restarted. Content that was in more than one crash keeps its marks: a
// front that survives its crashing worker restarts nothing either. It returns
// the number of marks that changed.
func (t *Table) Withdraw(crash string, now time.Time) int {
	changed := 0
	t.rows.Each(func(_ string, r *row) bool {
		at := slices.Index(r.crashes, crash)
		if at < 0 || r.Cleared || r.Crashes > 1 {
			return true
		}
		r.crashes = slices.Delete(r.crashes, at, at+1)
		r.Crashes, r.IsolatedCrashes, r.Cleared = 0, 0, true
		r.changed, r.dirty = now, true
		changed++
		return true
	})
	return changed
}

// Clear removes all marks of a fingerprint after a whole answer. It reports
// whether there were any.
func (t *Table) Clear(fingerprint string, now time.Time) bool {
	r := t.rows.Get(fingerprint)
	if r == nil || r.Cleared {
		return false
	}
	r.Crashes, r.IsolatedCrashes, r.Cleared = 0, 0, true
	r.changed, r.dirty = now, true
	return true
}

// Merge takes over what another host reports. Counts merge by maximum, because
// a crash is counted by the one host that owned the replica and then shared.
// PassOn makes a change one of those that Changes returns; it is set for
// reports from other data centres, which only one host here gets. Reports that
// change nothing are not passed on, so that they do not circle.
func (t *Table) Merge(mark Suspicion, passOn bool, now time.Time) {
	r := t.rows.Get(mark.Fingerprint)
	if mark.Cleared {
		if r == nil {
			t.makeRoom()
			r = t.rows.Put(mark.Fingerprint, row{})
		}
		if !r.Cleared {
			r.Suspicion, r.changed, r.dirty = mark, now, r.dirty || passOn
			r.Crashes, r.IsolatedCrashes = 0, 0
		}
		return
	}
	if mark.Crashes <= 0 || mark.Fingerprint == "" {
		return
	}
	if r == nil {
		t.makeRoom()
		r = t.rows.Put(mark.Fingerprint, row{Suspicion: Suspicion{Fingerprint: mark.Fingerprint}})
	}
	if r.Cleared {
		return // a report from before the clearing
	}
	if mark.Crashes > r.Crashes || mark.IsolatedCrashes > r.IsolatedCrashes {
		r.Crashes = max(r.Crashes, mark.Crashes)
		r.IsolatedCrashes = max(r.IsolatedCrashes, mark.IsolatedCrashes)
		r.changed, r.dirty = now, r.dirty || passOn
	}
}

// Changes returns the marks that changed on this host since the last call.
func (t *Table) Changes() []Suspicion {
	var marks []Suspicion
	t.rows.Each(func(_ string, r *row) bool {
		if r.dirty {
			r.dirty = false
			marks = append(marks, r.Suspicion)
		}
		return true
	})
	return marks
}

// All returns every mark, for a host that may have missed changes.
func (t *Table) All() []Suspicion {
	var marks []Suspicion
	t.rows.Each(func(_ string, r *row) bool {
		marks = append(marks, r.Suspicion)
		return true
	})
	return marks
}

// Tick forgets marks whose lifetime is over.
func (t *Table) Tick(now time.Time) {
	t.rows.Each(func(fingerprint string, r *row) bool {
		lifetime := t.config.Lifetime
		if r.Cleared {
			lifetime = t.config.ClearedLifetime
		}
		if now.Sub(r.changed) > lifetime {
			t.rows.Delete(fingerprint)
		}
		return true
	})
}

// makeRoom deletes the mark that changed longest ago when the table is full.
func (t *Table) makeRoom() {
	if t.rows.Len() < t.config.MaxSuspicions {
		return
	}
	oldest, found := "", false
	var changed time.Time
	t.rows.Each(func(fingerprint string, r *row) bool {
		if !found || r.changed.Before(changed) {
			oldest, changed, found = fingerprint, r.changed, true
		}
		return true
	})
	t.rows.Delete(oldest)
}
