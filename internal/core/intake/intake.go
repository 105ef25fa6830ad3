// Package intake decides how much memory the connections of clients may hold, which of
// them is closed when memory or connections run out, and which makes no progress. It
// handles clients outside the operators' control that send many heads, heads without end
// or many bodies at once, and leave their connections open.
package intake

import (
	"cmp"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/account"
)

// Address is a kind of address of a host, with connections of its own.
type Address int

// Kinds of addresses.
const (
	Callers   Address = iota
	Operators         // readiness and metrics
	Peers             // other entry hosts
	addresses
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	Idle    Phase = iota // between two requests, or a peer that is known
	Head                 // its head is arriving, or a peer that is not known yet
	Body                 // its body is arriving
	Running              // its request was read to its end and may have been passed on
)

// Reason says why a connection is closed or refused.
type Reason string

// Reasons.
const (
	NoConnection    Reason = "connections"
	NoMemory        Reason = "memory"
	LongHead        Reason = "long-head"
	HeadTimeout     Reason = "head-timeout"
	BodyTimeout     Reason = "body-timeout"
	ResponseTimeout Reason = "response-timeout"
)

const (
	// SmallBytes is what a connection may hold of the memory that is reserved for small
	// requests.
	SmallBytes = 64 << 10
	// lineBytes is the memory of a header line beside its text: an entry of a map, a slice
	// and two strings, in the request and in the copies that are forwarded.
	lineBytes = 512
	// headCopies is the number of copies of the text of a head.
	headCopies = 3
	// stepBytes is the progress after which a connection no longer counts as slow. Single
	// bytes must not keep a connection from being closed.
	stepBytes = 16 << 10
	// idleStall is the time without progress after which an incomplete request is closed
	// before an idle connection that a client keeps.
	idleStall = time.Second
	// minStall is the shortest time without progress after which a connection is closed for
	// the sake of another one.
	minStall = 250 * time.Millisecond
	// unreadStall is the time without a byte taken after which a response that a client
	// does not read is given up for the sake of another connection.
	unreadStall = time.Second
)

// HeadBytes returns the memory of a head.
func HeadBytes(bytes, lines int) int64 { return int64(bytes*headCopies + lines*lineBytes) }

// Limits bound what all connections together may take. They may change at any time.
type Limits struct {
	Connections [addresses]int
	// Times without progress after which a connection is closed.
	HeadTimeout, BodyTimeout, ResponseTimeout time.Duration
}

// ID identifies a connection.
type ID int64

// Closing is a connection that must be closed.
type Closing struct {
	ID     ID
	Reason Reason
}

// Verdict is the answer to a connection that needs memory.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota
	Wait            // ask again when a connection has returned memory
	Refuse          // the connection must return what it holds for the response
)

type connection struct {
	address  Address
	phase    Phase
	since    time.Time // of the phase
	lastByte time.Time // that was received, or that the client took of a response
	stepAt   time.Time // when the last stepBytes had arrived
	step     int       // bytes since then
	writing  bool
	waiting  bool // for memory, so that its client can't make progress
	held     int64
	closing  bool
}

func (c *connection) large() int64 { return max(c.held-SmallBytes, 0) }

// Table holds the connections of a process. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  map[ID]*connection
	nextID ID
	open   [addresses]int
	large  int64 // held beyond SmallBytes
	// account counts what the connections hold, beside other consumers.
	account *account.Account
}

// NewTable returns an empty table whose connections draw on an account.
func NewTable(limits Limits, a *account.Account) *Table {
	return &Table{limits: limits, conns: make(map[ID]*connection), account: a}
}

// SetLimits replaces the limits.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Held returns the memory that all connections hold, and their number.
func (t *Table) Held() (bytes int64, connections int) {
	return t.account.Held(account.Connections), len(t.conns)
}

// HeldBy returns the memory that a connection holds.
func (t *Table) HeldBy(id ID) int64 {
	if c := t.conns[id]; c != nil {
		return c.held
	}
	return 0
}

// Open adds a connection, which is expected to send a head. If the limit of its address is
// reached, another one must be closed first; without one that may be closed, the new one
// is refused.
func (t *Table) Open(address Address, now time.Time) (id ID, closing []Closing, ok bool) {
	if t.open[address] >= t.limits.Connections[address] {
		victim, found := t.leastUseful(address, now)
		if !found {
			return 0, nil, false
		}
		closing = append(closing, t.close(victim, NoConnection))
	}
	t.nextID++
	t.conns[t.nextID] = &connection{address: address, phase: Head, since: now, lastByte: now, stepAt: now}
	t.open[address]++
	return t.nextID, closing, true
}

// close marks a connection that must be closed. It no longer counts as open, and what it
// holds counts until it is removed.
func (t *Table) close(id ID, reason Reason) Closing {
	c := t.conns[id]
	c.closing = true
	t.open[c.address]--
	return Closing{id, reason}
}

// Remove removes a connection that is closed and whose request has ended.
func (t *Table) Remove(id ID) {
	c := t.conns[id]
	if c == nil {
		return
	}
	t.setHeld(c, 0)
	if !c.closing {
		t.open[c.address]--
	}
	delete(t.conns, id)
}

// Enter notes that a connection begins a phase.
func (t *Table) Enter(id ID, phase Phase, now time.Time) {
	c := t.conns[id]
	if c == nil || c.phase == phase {
		return
	}
	c.phase, c.since, c.lastByte, c.stepAt, c.step = phase, now, now, now, 0
}

// Progress notes that bytes of a head or body have arrived.
func (t *Table) Progress(id ID, bytes int, now time.Time) {
	c := t.conns[id]
	if c == nil {
		return
	}
	c.lastByte = now
	if c.step += bytes; c.step >= stepBytes {
		c.step, c.stepAt = 0, now
	}
}

// Writing notes that a connection begins to write a response or that the client took some
// of it, or that nothing is written any more.
func (t *Table) Writing(id ID, writing bool, now time.Time) {
	if c := t.conns[id]; c != nil {
		c.writing, c.lastByte = writing, now
	}
}

// Add adds to what a connection holds without a limit: a response exists already.
func (t *Table) Add(id ID, bytes int64) {
	if c := t.conns[id]; c != nil {
		t.setHeld(c, c.held+bytes)
	}
}

// Hold sets what a connection holds, if there is room. Otherwise it names connections that
// must be closed, and the caller has to wait.
func (t *Table) Hold(id ID, bytes int64, now time.Time) (Verdict, []Closing) {
	c := t.conns[id]
	if c == nil {
		return Wait, nil
	}
	if c.waiting {
		c.waiting, c.stepAt, c.lastByte = false, now, now
	}
	largeBefore := c.large()
	more, large := bytes-c.held, max(bytes-SmallBytes, 0)-largeBefore
	othersLarge := t.large - largeBefore
	if more <= 0 || othersLarge == 0 && large > 0 {
		t.setHeld(c, bytes)
		return Granted, nil
	}
	missing := int64(0)
	if large > 0 {
		missing = max(t.large+large+t.account.Others(account.Connections)-t.account.Limits().Large, 0)
	}
	needsLarge := missing > 0
	if !needsLarge && t.account.Take(account.Connections, more) {
		t.record(c, bytes)
		return Granted, nil
	}
	if t.mustYield(c) {
		return Refuse, nil
	}
	c.waiting = true
	return Wait, t.makeRoom(id, max(missing, t.account.Missing(more)), needsLarge, now)
}

// mustYield reports whether a connection that holds a part of a large response must give it
// up, because one whose request began earlier waits with a part of its own. Responses that
// each keep a part would all wait for the rest in vain.
func (t *Table) mustYield(c *connection) bool {
	if c.phase != Running || c.large() == 0 {
		return false
	}
	for _, other := range t.conns {
		if other != c && other.waiting && other.phase == Running && other.large() > 0 && other.since.Before(c.since) {
			return true
		}
	}
	return false
}

// makeRoom chooses connections to close until they return the missing bytes.
func (t *Table) makeRoom(asking ID, missing int64, large bool, now time.Time) []Closing {
	value := func(c *connection) int64 {
		if large {
			return c.large()
		}
		return c.held
	}
	for _, c := range t.conns {
		if c.closing {
			missing -= value(c)
		}
	}
	var closing []Closing
	for missing > 0 {
		victim := t.slowest(asking, value, now)
		if victim == 0 {
			return closing
		}
		missing -= value(t.conns[victim])
		closing = append(closing, t.close(victim, NoMemory))
	}
	return closing
}

// slowest returns the connection that holds memory and has made no progress for the longest
// time, or 0. The request of a running one may have been passed on, so it is closed only if
// its client does not read the response, and after the others. One that waits for memory
// gets it or is refused soon.
func (t *Table) slowest(asking ID, value func(*connection) int64, now time.Time) ID {
	var slowest, unread ID
	for id, c := range t.conns {
		if id == asking || c.closing || c.waiting || value(c) == 0 {
			continue
		}
		if c.phase != Running {
			if now.Sub(c.stepAt) >= minStall && (slowest == 0 || before(c.stepAt, t.conns[slowest].stepAt, id, slowest)) {
				slowest = id
			}
		} else if c.writing && now.Sub(c.lastByte) >= unreadStall && (unread == 0 || before(c.lastByte, t.conns[unread].lastByte, id, unread)) {
			unread = id
		}
	}
	return cmp.Or(slowest, unread)
}

// before orders connections by a time, and by their IDs if it is the same.
func before(a, b time.Time, idA, idB ID) bool { return a.Before(b) || a.Equal(b) && idA < idB }

// leastUseful returns the connection of an address that is closed for a new one.
func (t *Table) leastUseful(address Address, now time.Time) (ID, bool) {
	var best ID
	for id, c := range t.conns {
		if c.address != address || c.closing || c.phase == Running {
			continue
		}
		if best == 0 || t.lessUseful(id, best, now) {
			best = id
		}
	}
	return best, best != 0
}

func (t *Table) lessUseful(a, b ID, now time.Time) bool {
	x, y := t.conns[a], t.conns[b]
	switch {
	case x.use(now) != y.use(now):
		return x.use(now) < y.use(now)
	}
	return before(x.stepAt, y.stepAt, a, b)
}

// use orders connections for leastUseful: requests without progress, then idle connections,
// then heads, then bodies.
func (c *connection) use(now time.Time) int {
	if c.phase != Idle && now.Sub(c.stepAt) >= idleStall {
		return -1
	}
	return int(c.phase)
}

// Expired returns the connections without progress for too long.
func (t *Table) Expired(now time.Time) []Closing {
	var closing []Closing
	for id, c := range t.conns {
		if c.closing {
			continue
		}
		switch {
		case c.phase == Head && now.Sub(c.since) > t.limits.HeadTimeout:
			closing = append(closing, t.close(id, HeadTimeout))
		case c.phase == Body && now.Sub(c.lastByte) > t.limits.BodyTimeout:
			closing = append(closing, t.close(id, BodyTimeout))
		case c.phase == Running && c.writing && now.Sub(c.lastByte) > t.limits.ResponseTimeout:
			closing = append(closing, t.close(id, ResponseTimeout))
		}
	}
	return closing
}

// setHeld sets what a connection holds, whether there is room or not.
func (t *Table) setHeld(c *connection, bytes int64) {
	t.account.Add(account.Connections, bytes-c.held)
	t.record(c, bytes)
}

// record records what a connection holds and the account counts already.
func (t *Table) record(c *connection, bytes int64) {
	largeBefore := c.large()
	c.held = bytes
	t.large += c.large() - largeBefore
}
