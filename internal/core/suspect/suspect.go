// Package suspect tracks the contents of requests that were in flight when an
// engine crashed. A request with suspected content gets an isolated run, that
// is, it runs on a replica without other requests. Content that keeps crashing
// engines is refused; a complete response clears the suspicion.
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
	// CrashesToRefuse is the number of crashes at which content is refused.
	CrashesToRefuse int
	// IsolatedCrashesToRefuse is the number of crashes in isolated runs at
	// which content is refused.
	IsolatedCrashesToRefuse int
	// MaxSuspicions is the maximum number of suspicions. When it is reached,
	// the least recently changed one is evicted.
	MaxSuspicions int
	// Lifetime is how long a suspicion is retained after its last change.
	Lifetime time.Duration
	// ClearedLifetime is how long a cleared suspicion is retained to override
	// reports that other hosts still send about it.
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

// Verdict determines how a request may run.
type Verdict int

// Verdicts.
const (
	Run Verdict = iota
	RunIsolated
	Refuse
)

// Suspicion is the information about one fingerprint that hosts exchange.
type Suspicion struct {
	Fingerprint     string
	Crashes         int
	IsolatedCrashes int
	Cleared         bool
}

type row struct {
	Suspicion
	changedAt time.Time
	dirty     bool     // to be returned by the next call of Changes
	crashIDs  []string // IDs of crashes already counted on this host
}

// maxCrashIDs is the maximum number of crash IDs stored per suspicion. Content
// is refused long before it is involved in more crashes.
const maxCrashIDs = 16

// Table holds the suspicions known to one host.
type Table struct {
	config Config
	rows   *table.Table[string, row]
}

// New returns an empty Table.
func New(config Config) *Table {
	return &Table{config: config, rows: table.New[string, row]()}
}

// Fingerprint returns a hash that identifies the content of a request. The seed
// is excluded: it is the only difference between the samples of one group, and
// between repeated requests of a caller that sets no seed.
func Fingerprint(model, adapter, prompt string, maxTokens int, temperature float64) string {
	h := sha256.New()
	var number [8]byte
	for _, field := range []string{model, adapter, prompt} {
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		h.Write(number[:])
		h.Write([]byte(field))
	}
	binary.BigEndian.PutUint64(number[:], uint64(maxTokens))
	h.Write(number[:])
	binary.BigEndian.PutUint64(number[:], math.Float64bits(temperature))
	h.Write(number[:])
	return hex.EncodeToString(h.Sum(nil))
}

// InWorkspace returns the fingerprint of a request that a workspace sends. The same content
// of two workspaces has two fingerprints, so that none can have another's requests refused.
func InWorkspace(workspace, fingerprint string) string {
	if workspace == "" {
		return fingerprint
	}
	return Fingerprint(workspace, "", fingerprint, 0, 0)
}

// Verdict returns how a request with the given fingerprint may run.
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

// RecordCrash records that a fingerprint was in flight when an engine crashed.
// The crash ID consists of the replica and its incarnation; each crash counts
// once per fingerprint. It reports whether the suspicion changed.
func (t *Table) RecordCrash(fingerprint, crashID string, isolated bool, now time.Time) bool {
	r := t.rows.Get(fingerprint)
	if r == nil {
		t.evictOldest()
		r = t.rows.Put(fingerprint, row{Suspicion: Suspicion{Fingerprint: fingerprint}})
	}
	if slices.Contains(r.crashIDs, crashID) {
		return false
	}
	if len(r.crashIDs) == maxCrashIDs {
		r.crashIDs = slices.Delete(r.crashIDs, 0, 1)
	}
	r.crashIDs = append(r.crashIDs, crashID)
	r.Cleared = false
	r.Crashes++
	if isolated {
		r.IsolatedCrashes++
	}
	r.changedAt, r.dirty = now, true
	return true
}

// Withdraw clears the suspicions raised by a crash when the replica turns out
// not to have restarted. Content involved in more than one crash remains
// suspected, because a server whose front end survives the crash of its worker
// does not restart either. It returns the number of suspicions that changed.
func (t *Table) Withdraw(crashID string, now time.Time) int {
	changed := 0
	t.rows.Each(func(_ string, r *row) bool {
		at := slices.Index(r.crashIDs, crashID)
		if at < 0 || r.Cleared || r.Crashes > 1 {
			return true
		}
		r.crashIDs = slices.Delete(r.crashIDs, at, at+1)
		r.Crashes, r.IsolatedCrashes, r.Cleared = 0, 0, true
		r.changedAt, r.dirty = now, true
		changed++
		return true
	})
	return changed
}

// Clear clears the suspicion of a fingerprint after a complete response. It
// reports whether there was one.
func (t *Table) Clear(fingerprint string, now time.Time) bool {
	r := t.rows.Get(fingerprint)
	if r == nil || r.Cleared {
		return false
	}
	r.Crashes, r.IsolatedCrashes, r.Cleared = 0, 0, true
	r.changedAt, r.dirty = now, true
	return true
}

// Merge applies a suspicion reported by another host. Counts are merged by
// maximum, because each crash is counted only by the host that owned the
// replica, and then shared. If relay is set, Changes returns a resulting change
// as well; it is set for reports from other data centres, which only one host
// of this data centre receives. Reports that change nothing are not relayed, so
// that they cannot circulate.
func (t *Table) Merge(suspicion Suspicion, relay bool, now time.Time) {
	r := t.rows.Get(suspicion.Fingerprint)
	if suspicion.Cleared {
		if r == nil {
			t.evictOldest()
			r = t.rows.Put(suspicion.Fingerprint, row{})
		}
		if !r.Cleared {
			r.Suspicion, r.changedAt, r.dirty = suspicion, now, r.dirty || relay
			r.Crashes, r.IsolatedCrashes = 0, 0
		}
		return
	}
	if suspicion.Crashes <= 0 || suspicion.Fingerprint == "" {
		return
	}
	if r == nil {
		t.evictOldest()
		r = t.rows.Put(suspicion.Fingerprint, row{Suspicion: Suspicion{Fingerprint: suspicion.Fingerprint}})
	}
	if r.Cleared {
		return // the report predates the clearing
	}
	if suspicion.Crashes > r.Crashes || suspicion.IsolatedCrashes > r.IsolatedCrashes {
		r.Crashes = max(r.Crashes, suspicion.Crashes)
		r.IsolatedCrashes = max(r.IsolatedCrashes, suspicion.IsolatedCrashes)
		r.changedAt, r.dirty = now, r.dirty || relay
	}
}

// Changes returns the suspicions to be reported to other hosts: those that
// changed since the last call.
func (t *Table) Changes() []Suspicion {
	var suspicions []Suspicion
	t.rows.Each(func(_ string, r *row) bool {
		if r.dirty {
			r.dirty = false
			suspicions = append(suspicions, r.Suspicion)
		}
		return true
	})
	return suspicions
}

// All returns every suspicion, for a host that may have missed changes.
func (t *Table) All() []Suspicion {
	var suspicions []Suspicion
	t.rows.Each(func(_ string, r *row) bool {
		suspicions = append(suspicions, r.Suspicion)
		return true
	})
	return suspicions
}

// Tick removes suspicions whose lifetime has ended.
func (t *Table) Tick(now time.Time) {
	t.rows.Each(func(fingerprint string, r *row) bool {
		lifetime := t.config.Lifetime
		if r.Cleared {
			lifetime = t.config.ClearedLifetime
		}
		if now.Sub(r.changedAt) > lifetime {
			t.rows.Delete(fingerprint)
		}
		return true
	})
}

// evictOldest removes the least recently changed suspicion if the table is
// full.
func (t *Table) evictOldest() {
	if t.rows.Len() < t.config.MaxSuspicions {
		return
	}
	oldest, found := "", false
	var changed time.Time
	t.rows.Each(func(fingerprint string, r *row) bool {
		if !found || r.changedAt.Before(changed) {
			oldest, changed, found = fingerprint, r.changedAt, true
		}
		return true
	})
	t.rows.Delete(oldest)
}
