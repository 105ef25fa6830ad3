package flight

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// CoordinatorConfig holds the parameters of a Home.
type CoordinatorConfig struct {
	// Retention is the time for which a record is kept after its last change.
	Retention time.Duration
	// MaxRecords and MaxBytes bound the table. The oldest records go first.
	MaxRecords int
	MaxBytes   int
}

// CoordinatorDefaults returns the default parameters of a Home.
func CoordinatorDefaults() CoordinatorConfig {
	return CoordinatorConfig{Retention: 120 * time.Second, MaxRecords: 16384, MaxBytes: 16 << 20}
}

// Grant is the answer to a claim.
type Grant struct {
	// Attempt numbers the attempt; numbers rise with every claim of a home.
	Attempt int64
	// Replay holds the recorded answer of an earlier attempt, when Replayed.
	Replayed bool
	Replay   []byte
	// EarlierReached says that an earlier attempt under this request ID
	// reached a backend server, or may have.
	EarlierReached bool
	// Superseded is the attempt that this one replaces; 0 when there is none.
	Superseded int64
	// Conflict says that the request ID was used for other content.
	Conflict bool
}

// record is the newest attempt of one request ID.
type record struct {
	fingerprint string
	attempt     int64
	running     bool
	reached     bool // an attempt before the newest reached a backend server, or may have
	answered    bool
	answer      []byte
	changed     time.Time
}

// Coordinator is the table of the attempts of the requests that a host is home to.
type Coordinator struct {
	config  CoordinatorConfig
	records *table.Table[string, record]
	order   []change // oldest change first; stale entries are skipped
	bytes   int
	last    int64
	// forgotten is when a record was last missing: dropped before its retention
	// ended, or gone when its attempt ended. Until a retention after it, an
	// unknown request ID may be one of those.
	forgotten time.Time
}

type change struct {
	id string
	at time.Time
}

// NewCoordinator returns an empty table.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, records: table.New[string, record]()}
}

// Claim registers an attempt. Unsure says that this host may not have been
// home to the request ID for the whole retention, so that it cannot rule out
// earlier attempts.
func (h *Coordinator) Claim(id, fingerprint string, unsure bool, now time.Time) Grant {
	h.Tick(now)
	r := h.records.Get(id)
	if r == nil {
		forgot := !h.forgotten.IsZero() && now.Sub(h.forgotten) < h.config.Retention
		r = h.records.Put(id, record{fingerprint: fingerprint, reached: unsure || forgot})
	} else if r.fingerprint != fingerprint {
		return Grant{Conflict: true}
	}
	if r.answered {
		return Grant{Attempt: r.attempt, Replayed: true, Replay: r.answer}
	}
	h.last++
	grant := Grant{Attempt: h.last}
	if r.running {
		grant.Superseded = r.attempt
		r.reached = true // the superseded attempt may be at a backend server
	}
	grant.EarlierReached = r.reached
	r.attempt, r.running = h.last, true
	h.touch(id, r, now)
	h.bound(now)
	return grant
}

// Complete records the whole answer of an attempt. It reports false when the
// attempt was superseded; its answer must not be delivered. An unknown request
// ID is accepted without a record: the home changed meanwhile, and withholding
// the only answer would be worse than a second copy of it.
func (h *Coordinator) Complete(id string, attempt int64, answer []byte, now time.Time) bool {
	r := h.records.Get(id)
	if r == nil {
		h.forgotten = now
		return true
	}
	if r.attempt != attempt || !r.running {
		return false
	}
	r.running, r.answered, r.answer, r.reached = false, true, answer, true
	h.bytes += len(answer)
	h.touch(id, r, now)
	h.bound(now)
	return true
}

// Release ends an attempt without an answer. Reached says that it reached a
// backend server, or may have.
func (h *Coordinator) Release(id string, attempt int64, reached bool, now time.Time) {
	r := h.records.Get(id)
	if r == nil && reached {
		h.forgotten = now
	}
	if r == nil || r.attempt != attempt || !r.running {
		return
	}
	r.running = false
	r.reached = r.reached || reached
	h.touch(id, r, now)
}

// Reached reports whether an attempt under the request ID reached a backend
// server, or still may. Unsure is as for Claim.
func (h *Coordinator) Reached(id string, unsure bool, now time.Time) bool {
	h.Tick(now)
	if r := h.records.Get(id); r != nil {
		return r.running || r.reached
	}
	return unsure || !h.forgotten.IsZero() && now.Sub(h.forgotten) < h.config.Retention
}

// Tick forgets records whose retention is over. Running attempts stay.
func (h *Coordinator) Tick(now time.Time) {
	for len(h.order) > 0 && now.Sub(h.order[0].at) >= h.config.Retention {
		oldest := h.order[0]
		h.order = h.order[1:]
		r := h.records.Get(oldest.id)
		switch {
		case r == nil || !r.changed.Equal(oldest.at):
		case r.running:
			h.touch(oldest.id, r, now)
		default:
			h.drop(oldest.id, r)
		}
	}
}

// Len returns the number of records, and Bytes the size of the kept answers.
func (h *Coordinator) Len() int { return h.records.Len() }

// Bytes returns the size of the kept answers.
func (h *Coordinator) Bytes() int { return h.bytes }

func (h *Coordinator) touch(id string, r *record, now time.Time) {
	r.changed = now
	h.order = append(h.order, change{id: id, at: now})
}

func (h *Coordinator) drop(id string, r *record) {
	h.bytes -= len(r.answer)
	h.records.Delete(id)
}

// bound drops the oldest records while the table is over its bounds.
func (h *Coordinator) bound(now time.Time) {
	for len(h.order) > 1 && (h.records.Len() > h.config.MaxRecords || h.bytes > h.config.MaxBytes) {
		oldest := h.order[0]
		h.order = h.order[1:]
		r := h.records.Get(oldest.id)
		if r == nil || !r.changed.Equal(oldest.at) {
			continue
		}
		if r.running && h.records.Len() <= h.config.MaxRecords {
			h.touch(oldest.id, r, now) // has no answer that takes memory
		} else {
			h.drop(oldest.id, r)
			h.forgotten = now
		}
	}
}
