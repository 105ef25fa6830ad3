// Package account counts the memory that clients make a process hold, and decides who may
// hold more of it. It handles clients outside the operators' control whose requests are
// each of legal size: what they make a process hold lies in many places, and limits of the
// single places add up to more than the process has.
//
// The package has no I/O and no clock. An Account is safe for concurrent use.
package account

import (
	"math"
	"sync"
)

// Holder is a part of the process that holds memory for clients.
type Holder int

// Holders.
const (
	Connections Holder = iota // heads and bodies of requests, and responses until they were sent
	Responses                 // responses of backend servers to requests of the process itself
	Jobs                      // accepted jobs
	Blobs                     // outputs and payloads of jobs that are cached or arrive in parts
	Decisions                 // recent decisions
	holders
)

var holderNames = [holders]string{"connections", "responses", "jobs", "blobs", "decisions"}

// String returns the name of the holder in logs and metrics.
func (h Holder) String() string { return holderNames[h] }

// Holders returns all holders.
func Holders() []Holder { return []Holder{Connections, Responses, Jobs, Blobs, Decisions} }

// Shares of the memory of all holders.
const (
	// largeShare is the share for all but the first bytes of a connection. The rest is
	// left to small requests.
	largeShare = 0.78
	// maxJobShare is the largest share of accepted jobs, so that their callers can still
	// read them.
	maxJobShare   = 0.67
	decisionShare = 0.11
	// unlimitedBytes is the memory of all holders in a process without a memory limit.
	unlimitedBytes = 512 << 20
)

// Limits bound what the holders may hold, in bytes.
type Limits struct {
	Total     int64 // of all holders
	Large     int64 // of all holders, for what large requests hold
	Jobs      int64
	Decisions int64
}

// NewLimits returns the limits of a process. memoryMB is its memory limit, clientShare the
// share of it for all holders, and jobMB the memory for accepted jobs. Each may be 0 for no
// limit of its own.
func NewLimits(memoryMB, clientShare, jobMB float64) Limits {
	total := float64(unlimitedBytes)
	if memoryMB > 0 && clientShare > 0 {
		total = memoryMB * clientShare * (1 << 20)
	}
	jobs := total * maxJobShare
	if jobMB > 0 {
		jobs = min(jobs, jobMB*(1<<20))
	}
	return Limits{Total: int64(total), Large: int64(total * largeShare), Jobs: int64(jobs), Decisions: int64(total * decisionShare)}
}

// Account counts what the holders of a process hold.
type Account struct {
	limits Limits

	mu    sync.Mutex
	held  [holders]int64
	total int64 // of all holders, each up to its limit
}

// New returns an account on which nothing is held.
func New(limits Limits) *Account { return &Account{limits: limits} }

// Unlimited returns the account of a process without limits of its own.
func Unlimited() *Account { return New(NewLimits(0, 0, 0)) }

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Take counts bytes that a holder is about to hold, and reports whether there is room for
// them. Without room nothing is counted. A holder beyond its own limit takes nothing from
// the others: jobs that other hosts accepted must not keep requests from being answered.
func (a *Account) Take(h Holder, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total+bytes > a.limits.Total || a.held[h]+bytes > a.limits.of(h) {
		return false
	}
	a.add(h, bytes)
	return true
}

// Add counts bytes that a holder holds, or returns them if they are negative, whether there
// is room or not.
func (a *Account) Add(h Holder, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, bytes)
}

func (a *Account) add(h Holder, bytes int64) {
	before := min(a.held[h], a.limits.of(h))
	a.held[h] += bytes
	a.total += min(a.held[h], a.limits.of(h)) - before
}

// Held returns what a holder holds.
func (a *Account) Held(h Holder) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[h]
}

// Others returns what all holders but one hold, each up to its limit.
func (a *Account) Others(h Holder) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total - min(a.held[h], a.limits.of(h))
}

// Missing returns how many bytes must be returned before more fit, or 0.
func (a *Account) Missing(more int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.total+more-a.limits.Total, 0)
}

// of returns the limit of a holder beside that of all.
func (l *Limits) of(h Holder) int64 {
	switch h {
	case Jobs:
		return l.Jobs
	case Decisions:
		return l.Decisions
	}
	return math.MaxInt64
}
