package duties

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/duty"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// callKeyPrefix begins the keys of intents. The subject follows.
const callKeyPrefix = KeyPrefix + "call/"

// IsKey reports whether a record of the control partition belongs to a duty.
func IsKey(key string) bool { return strings.HasPrefix(key, KeyPrefix) }

// Records holds the newest records of all duties. Every host follows them, so that it
// can become the holder. It is safe for concurrent use.
type Records struct {
	mu    sync.Mutex
	byKey map[string]storedRecord
	gate  *duty.Gate
}

// storedRecord is a record with the time on the clock of boottime.Now at which this host
// read or appended it.
type storedRecord struct {
	logstore.Record
	readAt time.Time
}

// NewRecords returns an empty table. Calls of two processes for one subject are at least a
// lease apart.
func NewRecords(lease time.Duration) *Records {
	return &Records{byKey: make(map[string]storedRecord), gate: duty.NewGate(lease)}
}

// Apply applies a record that was read, or appended by this host, at a time on the clock of
// boottime.Now.
func (t *Records) Apply(r logstore.Record, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	subject, isCall := strings.CutPrefix(r.Key, callKeyPrefix)
	if r.IsTombstone() {
		delete(t.byKey, r.Key)
		if isCall {
			t.gate.Forget(subject)
		}
		return nil
	}
	if isCall {
		intent, err := duty.DecodeIntent(r.Value)
		if err != nil {
			return err
		}
		t.gate.Observe(subject, intent, now)
		return nil
	}
	stored := storedRecord{Record: r, readAt: now}
	if former, ok := t.byKey[r.Key]; ok && r.Offset > 0 && former.Offset == r.Offset {
		stored.readAt = former.readAt // listed again
	}
	t.byKey[r.Key] = stored
	return nil
}

// RemoveAbsent removes the records that a complete listing does not have. Records without
// an offset were appended by this host and may be newer than the listing.
func (t *Records) RemoveAbsent(listed []logstore.Record) {
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.Key] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byKey, func(key string, r storedRecord) bool { return r.Offset > 0 && !present[key] })
}

// age returns the time since this host read or appended the newest record of a key, and 0 if
// there is none.
func (t *Records) age(key string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.byKey[key]; ok {
		return now.Sub(r.readAt)
	}
	return 0
}

// withPrefix returns the records whose keys begin with prefix, in the order of their keys.
func (t *Records) withPrefix(prefix string) []logstore.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []logstore.Record
	for key, r := range t.byKey {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r.Record)
		}
	}
	slices.SortFunc(found, func(a, b logstore.Record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// earliest returns the time from which a caller may call for a subject, and whether a
// caller with a higher fencing number is known.
func (t *Records) earliest(subject string, c duty.Caller) (at time.Time, superseded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Earliest(subject, c), t.gate.Superseded(subject, c)
}
