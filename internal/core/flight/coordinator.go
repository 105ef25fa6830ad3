package flight

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// CoordinatorConfig holds the parameters of a Coordinator.
type CoordinatorConfig struct {
	// Retention is how long a record is retained after its last change.
	Retention time.Duration
	// MaxRecords and MaxBytes limit the number of records and the size of their
	// responses. The least recently changed records are evicted first.
	MaxRecords int
	MaxBytes   int
}

// CoordinatorDefaults returns the default parameters of a Coordinator.
func CoordinatorDefaults() CoordinatorConfig {
	return CoordinatorConfig{Retention: 120 * time.Second, MaxRecords: 16384, MaxBytes: 16 << 20}
}

// Grant is the reply to a claim.
type Grant struct {
	// Attempt is the number of the attempt; numbers increase with every claim
	// at a coordinator.
	Attempt int64
	// Replay holds the recorded response of an earlier attempt if Replayed is
	// set.
	Replayed bool
	Replay   []byte
	// EarlierReached reports that an earlier attempt under this request ID
	// reached, or may have reached, a backend server.
	EarlierReached bool
	// Superseded is the number of the attempt that this one replaces, or 0 if
	// there is none.
	Superseded int64
	// Conflict reports that the request ID was already used with different
	// content.
	Conflict bool
}

// record describes the newest attempt of one request ID.
type record struct {
	fingerprint string
	attempt     int64
	running     bool
	reached     bool // an earlier attempt, or the newest one once ended, reached or may have reached a backend server
	responded   bool
	response    []byte
	changedAt   time.Time
}

// Coordinator records the attempts of the request IDs that a host coordinates.
type Coordinator struct {
	config      CoordinatorConfig
	records     *table.Table[string, record]
	changes     []change // oldest change first; entries older than the record's last change are skipped
	bytes       int
	lastAttempt int64
	// lastMissing is when a record was last found missing: evicted before its
	// retention ended, or absent when its attempt ended. For one retention
	// period after it, an unknown request ID may belong to such a record.
	lastMissing time.Time
}

type change struct {
	id string
	at time.Time
}

// NewCoordinator returns a Coordinator without records.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, records: table.New[string, record]()}
}

// Claim registers an attempt. Set historyIncomplete if this host may not have
// coordinated the request ID for the whole retention period and therefore
// cannot rule out earlier attempts.
func (c *Coordinator) Claim(id, fingerprint string, historyIncomplete bool, now time.Time) Grant {
	c.Tick(now)
	r := c.records.Get(id)
	if r == nil {
		recentlyMissing := !c.lastMissing.IsZero() && now.Sub(c.lastMissing) < c.config.Retention
		r = c.records.Put(id, record{fingerprint: fingerprint, reached: historyIncomplete || recentlyMissing})
	} else if r.fingerprint != fingerprint {
		return Grant{Conflict: true}
	}
	if r.responded {
		return Grant{Attempt: r.attempt, Replayed: true, Replay: r.response}
	}
	c.lastAttempt++
	grant := Grant{Attempt: c.lastAttempt}
	if r.running {
		grant.Superseded = r.attempt
		r.reached = true // the superseded attempt may have reached a backend server
	}
	grant.EarlierReached = r.reached
	r.attempt, r.running = c.lastAttempt, true
	c.touch(id, r, now)
	c.enforceLimits(now)
	return grant
}

// Complete records the complete response of an attempt. It returns false if the
// attempt was superseded, in which case its response must not be delivered. For
// an unknown request ID it returns true without storing a record: the
// coordinator of the request changed meanwhile, and withholding the only
// response would be worse than delivering a duplicate of it.
func (c *Coordinator) Complete(id string, attempt int64, response []byte, now time.Time) bool {
	r := c.records.Get(id)
	if r == nil {
		c.lastMissing = now
		return true
	}
	if r.attempt != attempt || !r.running {
		return false
	}
	r.running, r.responded, r.response, r.reached = false, true, response, true
	c.bytes += len(response)
	c.touch(id, r, now)
	c.enforceLimits(now)
	return true
}

// Release ends an attempt without a response. Set reached if it reached, or may
// have reached, a backend server.
func (c *Coordinator) Release(id string, attempt int64, reached bool, now time.Time) {
	r := c.records.Get(id)
	if r == nil && reached {
		c.lastMissing = now
	}
	if r == nil || r.attempt != attempt || !r.running {
		return
	}
	r.running = false
	r.reached = r.reached || reached
	c.touch(id, r, now)
}

// Reached reports whether an attempt under the request ID reached, or may still
// reach, a backend server. The argument historyIncomplete is as for Claim.
func (c *Coordinator) Reached(id string, historyIncomplete bool, now time.Time) bool {
	c.Tick(now)
	if r := c.records.Get(id); r != nil {
		return r.running || r.reached
	}
	return historyIncomplete || !c.lastMissing.IsZero() && now.Sub(c.lastMissing) < c.config.Retention
}

// Tick removes records whose retention has ended. Records of running attempts
// are retained.
func (c *Coordinator) Tick(now time.Time) {
	for len(c.changes) > 0 && now.Sub(c.changes[0].at) >= c.config.Retention {
		oldest := c.changes[0]
		c.changes = c.changes[1:]
		r := c.records.Get(oldest.id)
		switch {
		case r == nil || !r.changedAt.Equal(oldest.at):
		case r.running:
			c.touch(oldest.id, r, now)
		default:
			c.remove(oldest.id, r)
		}
	}
}

// Len returns the number of records.
func (c *Coordinator) Len() int { return c.records.Len() }

// Bytes returns the total size of the stored responses.
func (c *Coordinator) Bytes() int { return c.bytes }

func (c *Coordinator) touch(id string, r *record, now time.Time) {
	r.changedAt = now
	c.changes = append(c.changes, change{id: id, at: now})
}

func (c *Coordinator) remove(id string, r *record) {
	c.bytes -= len(r.response)
	c.records.Delete(id)
}

// enforceLimits evicts the least recently changed records while the number of
// records or bytes exceeds its limit.
func (c *Coordinator) enforceLimits(now time.Time) {
	for len(c.changes) > 1 && (c.records.Len() > c.config.MaxRecords || c.bytes > c.config.MaxBytes) {
		oldest := c.changes[0]
		c.changes = c.changes[1:]
		r := c.records.Get(oldest.id)
		if r == nil || !r.changedAt.Equal(oldest.at) {
			continue
		}
		if r.running && c.records.Len() <= c.config.MaxRecords {
			c.touch(oldest.id, r, now) // has no response to free
		} else {
			c.remove(oldest.id, r)
			c.lastMissing = now
		}
	}
}
