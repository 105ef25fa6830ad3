package intent

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config configures a Ledger.
type Config struct {
	Self Originator
	// StartTime is when this incarnation of the host started.
	StartTime time.Time
	// Retention is how long the log retains intents.
	Retention time.Duration
	// MaxClockSkew is the maximum difference between two clocks.
	MaxClockSkew time.Duration
	// GrantTimeout bounds the wait for an intent of this host to become active.
	GrantTimeout time.Duration
	// ResendInterval is the time after which a record whose append was not
	// answered is appended again.
	ResendInterval time.Duration
	// MaxReadAge is the age of the last successful read beyond which the log
	// counts as unavailable.
	MaxReadAge time.Duration
	// MaxOpenAttempts bounds the attempts that are not final. New attempts are
	// also refused while twice as many records wait to be stored in the log.
	MaxOpenAttempts int
	// MaxResultBytes bounds the stored responses; the oldest are evicted first.
	MaxResultBytes int
}

// ageMargin is subtracted from the retention: a key older than the remainder
// may already have lost records. The design requires at least twice the clock
// skew. Four times also covers a caller, an originator, a reader and the log
// that each deviate by one skew in the worst direction.
func (c Config) ageMargin() time.Duration { return max(c.Retention/10, 4*c.MaxClockSkew) }

// Result is a backend server's response to a call.
type Result struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Stage is the progress of an attempt of this host.
type Stage int

// Stages of an attempt. All stages from StageDone on are final.
const (
	StageWaiting   Stage = iota // the intent is not yet known to be active
	StageGranted                // the intent is active, and the call was not sent
	StageSent                   // the call was sent to a backend server
	StageDone                   // the response is stored
	StageUnknown                // the call was sent, and its response was lost
	StageAbandoned              // the call was not sent and never will be
	StageConflict               // another host's intent is active
)

// Final reports whether the stage is final.
func (s Stage) Final() bool { return s >= StageDone }

// AttemptView is the state of an attempt as reported to callers and other hosts.
type AttemptView struct {
	ID     int64
	Stage  Stage
	Result Result
	// WasActive reports whether the log showed this host's intent as active, so
	// that no other host had run the call. Otherwise StageAbandoned applies to
	// this host only: a later intent of another host may not have been read.
	WasActive bool
	// Refusal is set for StageUnknown and StageAbandoned.
	Refusal *cluster.Refusal
	// Originator and Nonce identify the active intent for StageConflict.
	Originator Originator
	Nonce      Nonce
}

// attempt is one attempt of this host to run a call.
type attempt struct {
	id            int64
	key           Key
	nonce         Nonce
	deadline      time.Time // of the caller
	grantDeadline time.Time // for the intent to become active
	stage         Stage
	wasActive     bool   // the log showed the intent as active
	entry         *entry // queued record of the intent, until it is read back or the attempt is abandoned
	result        Result
	refusal       *cluster.Refusal
	active        keyState // the active intent that the attempt conflicts with
}

// Ledger holds the state of all intents as read from the log, and the attempts
// of this host. It is not safe for concurrent use.
type Ledger struct {
	config Config
	keys   *keyTable
	byKey  map[Key]int64 // newest attempt of this host by key

	nextOffset   int64     // offset to read next
	caughtUp     bool      // the stream was read to its end at least once
	lastRead     time.Time // time of the last successful read
	failures     int       // failed reads since lastRead
	skipped      int64     // undecodable records
	unreadBefore time.Time // records with an earlier log time may be unread

	open        *table.Table[int64, *attempt] // attempts that are not final
	closed      map[int64]*attempt            // final attempts, for repeated calls
	byNonce     map[Nonce]*attempt
	lastID      int64
	expiryQueue []closedAttempt // closed attempts, oldest first
	resultOrder []int64         // attempts with stored responses, oldest first
	resultBytes int

	queue       *table.Table[int64, *entry] // records to be stored in the log
	entryIDs    map[Record]int64            // keys of queue by record
	lastEntryID int64                       // last used key of queue
}

type closedAttempt struct {
	id   int64
	time time.Time
}

// NewLedger returns a ledger that has read no records.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config:   config,
		keys:     newKeyTable(config.Retention),
		byKey:    make(map[Key]int64),
		open:     table.New[int64, *attempt](),
		closed:   make(map[int64]*attempt),
		byNonce:  make(map[Nonce]*attempt),
		queue:    table.New[int64, *entry](),
		entryIDs: make(map[Record]int64),
	}
}

// CaughtUp reports whether the stream was read to its end at least once.
func (l *Ledger) CaughtUp() bool { return l.caughtUp }

// NextOffset returns the offset to read next.
func (l *Ledger) NextOffset() int64 { return l.nextOffset }

// SkippedRecords returns the number of records that could not be decoded.
func (l *Ledger) SkippedRecords() int64 { return l.skipped }

// OpenAttempts returns the number of attempts that are not final.
func (l *Ledger) OpenAttempts() int { return l.open.Len() }

// Begin starts an attempt to run a call. The nonce must never have been used
// before. The returned view is final, or identifies an attempt to wait for,
// which may be an earlier one of the same key.
func (l *Ledger) Begin(key Key, nonce Nonce, deadline, now time.Time) AttemptView {
	if a := l.attempt(l.byKey[key]); a != nil && a.stage != StageAbandoned && a.stage != StageConflict {
		return a.view()
	}
	if refusal := l.checkAge(key, now); refusal != nil {
		return AttemptView{Stage: StageUnknown, Refusal: refusal}
	}
	if state, _, _ := l.keys.get(key); state.originator != nil && *state.originator != l.config.Self {
		return AttemptView{Stage: StageConflict, Originator: *state.originator, Nonce: state.nonce}
	}
	if refusal := l.checkLog(now); refusal != nil {
		return AttemptView{Stage: StageAbandoned, Refusal: refusal}
	}
	if !now.Before(deadline) {
		return AttemptView{Stage: StageAbandoned, Refusal: notRun(cluster.ReasonDeadline, "the deadline has passed")}
	}
	return l.openAttempt(key, nonce, deadline, now).view()
}

func (l *Ledger) openAttempt(key Key, nonce Nonce, deadline, now time.Time) *attempt {
	l.lastID++
	a := &attempt{id: l.lastID, key: key, nonce: nonce, deadline: deadline, grantDeadline: now.Add(l.config.GrantTimeout)}
	a.entry = l.enqueue(KindIntent, key, nonce)
	l.open.Put(a.id, a)
	l.byNonce[nonce] = a
	l.byKey[key] = a.id
	return a
}

// checkAge refuses keys whose earlier intents may have expired, and keys with a
// time in the future, which would still be accepted after their intents expired.
func (l *Ledger) checkAge(key Key, now time.Time) *cluster.Refusal {
	issued := key.Time()
	switch {
	case issued.After(now.Add(l.config.MaxClockSkew)):
		return unknown(cluster.ReasonKeyExpired, "the key's time is "+issued.Sub(now).Round(time.Millisecond).String()+" in the future")
	case issued.Before(now.Add(l.config.ageMargin() - l.config.Retention)):
		return unknown(cluster.ReasonKeyExpired, "the key is older than the intents that are kept")
	case !l.unreadBefore.IsZero() && issued.Before(l.unreadBefore.Add(2*l.config.MaxClockSkew)):
		return unknown(cluster.ReasonKeyExpired, "intents of the key's time have expired unread")
	}
	return nil
}

func (l *Ledger) checkLog(now time.Time) *cluster.Refusal {
	switch {
	case !l.caughtUp:
		return notRun(cluster.ReasonLogUnavailable, "this host has not read all intents yet")
	case l.logUnavailable(now):
		return notRun(cluster.ReasonLogUnavailable, "the log has not answered since "+now.Sub(l.lastRead).Round(time.Millisecond).String())
	case l.open.Len() >= l.config.MaxOpenAttempts || l.queue.Len() >= 2*l.config.MaxOpenAttempts:
		return notRun(cluster.ReasonOverload, "too many calls wait for the log")
	}
	return nil
}

// The log counts as unavailable after two failed reads in a row and a second
// without a successful one. A single failure is common, and the next read
// follows at once.
const (
	outageFailures = 2
	outageAge      = time.Second
)

// logUnavailable reports whether callers should not wait for the log.
func (l *Ledger) logUnavailable(now time.Time) bool {
	age := now.Sub(l.lastRead)
	return age > l.config.MaxReadAge || l.failures >= outageFailures && age > outageAge
}

// RecordReadFailure records a failed read of the stream.
func (l *Ledger) RecordReadFailure() { l.failures++ }

func (l *Ledger) attempt(id int64) *attempt {
	if row := l.open.Get(id); row != nil {
		return *row
	}
	return l.closed[id]
}

func (a *attempt) view() AttemptView {
	view := AttemptView{ID: a.id, Stage: a.stage, Result: a.result, WasActive: a.wasActive, Refusal: a.refusal}
	if a.stage == StageConflict {
		view.Originator, view.Nonce = *a.active.originator, a.active.nonce
	}
	return view
}

func notRun(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
}

func unknown(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: reason, Message: message}
}
