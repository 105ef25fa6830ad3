package intent

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the ledger's settings.
type Config struct {
	Self Originator
	// StartTime is when this life of the host began.
	StartTime time.Time
	// Retention is how long the log keeps intents.
	Retention time.Duration
	// MaxClockSkew is the largest allowed difference of two clocks.
	MaxClockSkew time.Duration
	// GrantTimeout is the longest wait for an own intent to come into force.
	GrantTimeout time.Duration
	// ResendInterval is the time after which a record whose append was not answered is
	// appended again.
	ResendInterval time.Duration
	// MaxReadAge is the age of the last read at which the log counts as out.
	MaxReadAge time.Duration
	// MaxOpenAttempts bounds the attempts that wait for the log.
	MaxOpenAttempts int
	// MaxResultBytes bounds the stored answers; the oldest are dropped first.
	MaxResultBytes int
}

// margin is taken off the retention: a key older than the rest may already
// have lost records. The design asks for at least twice the skew. Four times
// also covers a caller, an author, a reader and the log that each differ by one
// skew in the worst direction.
func (c Config) margin() time.Duration { return max(c.Retention/10, 4*c.MaxClockSkew) }

// Result is a backend server's answer to a call.
type Result struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Stage is how far an attempt of this host has come.
type Stage int

// Stages of an attempt. All from StageDone on are final.
const (
	StageWaiting   Stage = iota // its intent is not yet known to be in force
	StageGranted                // its intent is in force and it was not sent
	StageSent                   // it was given to a backend server
	StageDone                   // the answer is stored
	StageUnknown                // it was sent and its answer was lost
	StageAbandoned              // it was not sent and never will be
	StageConflict               // another host's intent is in force
)

// Final says that the stage never changes.
func (s Stage) Final() bool { return s >= StageDone }

// View is what a caller or another host may know about an attempt.
type View struct {
	ID     int64
	Stage  Stage
	Result Result
	// WasActive says that the log has shown this host's intent in force, so that no
	// other host had run the call. Otherwise StageAbandoned speaks for its author
	// alone: another host's later intent may be unread.
	WasActive bool
	// Refusal is set for StageUnknown and StageAbandoned.
	Refusal *cluster.Refusal
	// Originator and Nonce name the intent in force for StageLost.
	Originator Originator
	Nonce      Nonce
}

// attempt is one try of this host to run a call.
type attempt struct {
	id       int64
	key      Key
	nonce    Nonce
	deadline time.Time // of the caller
	patience time.Time // to come into force
	stage    Stage
	inForce  bool
	entry    *entry // record of the intent, until it is settled
	result   Result
	refusal  *cluster.Refusal
	winner   keyRow // the intent in force when the attempt lost
}

// Ledger holds what a host knows of all intents, and its own attempts. It is
// not safe for concurrent use.
type Ledger struct {
	config Config
	rows   *rows
	mine   map[Key]int64 // newest attempt of this host by key

	next     int64     // offset to read next
	caughtUp bool      // the stream was read up to its end once
	lastRead time.Time // of the newest successful read
	failures int       // reads that failed since then
	skipped  int64     // undecodable records
	floor    time.Time // the log's records before this time may be unread

	open     *table.Table[int64, *attempt] // attempts that are not final
	closed   map[int64]*attempt            // final attempts, for repeated calls
	byNonce  map[Nonce]*attempt
	lastID   int64
	closing  []agingAttempt // closed attempts in order, for expiry
	results  []int64        // attempts with stored answers, oldest first
	resBytes int

	queue  *table.Table[int64, *entry] // records that must get into the log
	queued map[Record]int64            // keys of queue
	order  int64                       // last used key of queue
}

type agingAttempt struct {
	id   int64
	time time.Time
}

// NewLedger returns a ledger that has read nothing.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config:  config,
		rows:    newRows(config.Retention),
		mine:    make(map[Key]int64),
		open:    table.New[int64, *attempt](),
		closed:  make(map[int64]*attempt),
		byNonce: make(map[Nonce]*attempt),
		queue:   table.New[int64, *entry](),
		queued:  make(map[Record]int64),
	}
}

// CaughtUp says that the stream was read up to its end at least once.
func (l *Ledger) CaughtUp() bool { return l.caughtUp }

// NextOffset returns the offset to read next.
func (l *Ledger) NextOffset() int64 { return l.next }

// SkippedRecords returns the number of records that could not be decoded.
func (l *Ledger) SkippedRecords() int64 { return l.skipped }

// OpenAttempts returns the number of attempts that are not final.
func (l *Ledger) OpenAttempts() int { return l.open.Len() }

// Begin takes a call. Nonce must never have been used before. The returned
// view is final, or names an attempt to wait for, which may be an earlier one
// of the same key.
func (l *Ledger) Begin(key Key, nonce Nonce, deadline, now time.Time) View {
	if a := l.attempt(l.mine[key]); a != nil && a.stage != StageAbandoned && a.stage != StageConflict {
		return a.view()
	}
	if refusal := l.checkAge(key, now); refusal != nil {
		return View{Stage: StageUnknown, Refusal: refusal}
	}
	if row, _, _ := l.rows.get(key); row.author != nil && *row.author != l.config.Self {
		return View{Stage: StageConflict, Originator: *row.author, Nonce: row.nonce}
	}
	if refusal := l.checkLog(now); refusal != nil {
		return View{Stage: StageAbandoned, Refusal: refusal}
	}
	if !now.Before(deadline) {
		return View{Stage: StageAbandoned, Refusal: notRun(cluster.ReasonDeadline, "the deadline has passed")}
	}
	return l.start(key, nonce, deadline, now).view()
}

func (l *Ledger) start(key Key, nonce Nonce, deadline, now time.Time) *attempt {
	l.lastID++
	a := &attempt{id: l.lastID, key: key, nonce: nonce, deadline: deadline, patience: now.Add(l.config.GrantTimeout)}
	a.entry = l.enqueue(KindIntent, key, nonce)
	l.open.Put(a.id, a)
	l.byNonce[nonce] = a
	l.mine[key] = a.id
	return a
}

// checkAge refuses keys whose earlier intents may have expired, and keys from
// the future, which would outlive their intents.
func (l *Ledger) checkAge(key Key, now time.Time) *cluster.Refusal {
	issued := key.Time()
	switch {
	case issued.After(now.Add(l.config.MaxClockSkew)):
		return unknown(cluster.ReasonKeyExpired, "the key's time is "+issued.Sub(now).Round(time.Millisecond).String()+" in the future")
	case issued.Before(now.Add(l.config.margin() - l.config.Retention)):
		return unknown(cluster.ReasonKeyExpired, "the key is older than the intents that are kept")
	case !l.floor.IsZero() && issued.Before(l.floor.Add(2*l.config.MaxClockSkew)):
		return unknown(cluster.ReasonKeyExpired, "intents of the key's time have expired unread")
	}
	return nil
}

func (l *Ledger) checkLog(now time.Time) *cluster.Refusal {
	switch {
	case !l.caughtUp:
		return notRun(cluster.ReasonLogUnavailable, "this host has not read all intents yet")
	case l.logOut(now):
		return notRun(cluster.ReasonLogUnavailable, "the log has not answered since "+now.Sub(l.lastRead).Round(time.Millisecond).String())
	case l.open.Len() >= l.config.MaxOpenAttempts || l.queue.Len() >= 2*l.config.MaxOpenAttempts:
		return notRun(cluster.ReasonOverload, "too many calls wait for the log")
	}
	return nil
}

// Two failed reads in a row and a second without a successful one mean that the
// log is out. A single failure is common, and the next read follows at once.
const (
	outageFailures = 2
	outageAge      = time.Second
)

// logOut says that callers should not wait for the log.
func (l *Ledger) logOut(now time.Time) bool {
	age := now.Sub(l.lastRead)
	return age > l.config.MaxReadAge || l.failures >= outageFailures && age > outageAge
}

// RecordReadFailure notes that the stream could not be read.
func (l *Ledger) RecordReadFailure() { l.failures++ }

func (l *Ledger) attempt(id int64) *attempt {
	if row := l.open.Get(id); row != nil {
		return *row
	}
	return l.closed[id]
}

func (a *attempt) view() View {
	view := View{ID: a.id, Stage: a.stage, Result: a.result, WasActive: a.inForce, Refusal: a.refusal}
	if a.stage == StageConflict {
		view.Originator, view.Nonce = *a.winner.author, a.winner.nonce
	}
	return view
}

func notRun(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
}

func unknown(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: reason, Message: message}
}
