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

// Consumer is a part of the process that holds memory for clients.
type Consumer int

// Consumers.
const (
	Connections Consumer = iota // heads and bodies of requests, and responses until they were sent
	Responses                   // responses of backend servers to requests of the process itself
	Jobs                        // accepted jobs
	Blobs                       // outputs and payloads of jobs that are cached or arrive in parts
	Decisions                   // recent decisions
	consumers
)

var consumerNames = [consumers]string{"connections", "responses", "jobs", "blobs", "decisions"}

// String returns the name of the consumer in logs and metrics.
func (c Consumer) String() string { return consumerNames[c] }

// Consumers returns all consumers.
func Consumers() []Consumer { return []Consumer{Connections, Responses, Jobs, Blobs, Decisions} }

// Shares of the memory of all consumers.
const (
	// largeShare is the share for all but the first bytes of a connection. The rest is
	// left to small requests.
	largeShare = 0.78
	// maxJobShare is the largest share of accepted jobs, so that their callers can still
	// read them.
	maxJobShare   = 0.67
	decisionShare = 0.11
	// unlimitedBytes is the memory of all consumers in a process without a memory limit.
	unlimitedBytes = 512 << 20
)

// Limits bound what the consumers may hold, in bytes.
type Limits struct {
	Total     int64 // of all consumers
	Large     int64 // of all consumers, for what large requests hold
	Jobs      int64
	Decisions int64
}

// NewLimits returns the limits of a process. memoryMB is its memory limit, clientShare the
// share of it for all consumers, and jobMB the memory for accepted jobs. Each may be 0 for no
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

// Account counts what the consumers of a process hold.
type Account struct {
	limits Limits

	mu    sync.Mutex
	held  [consumers]int64
	total int64 // of all consumers, each up to its limit
}

// New returns an account on which nothing is held.
func New(limits Limits) *Account { return &Account{limits: limits} }

// Unlimited returns the account of a process without limits of its own.
func Unlimited() *Account { return New(NewLimits(0, 0, 0)) }

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Take counts bytes that a consumer is about to hold, and reports whether there is room for
// them. Without room nothing is counted. A consumer beyond its own limit takes nothing from
// the others: jobs that other hosts accepted must not keep requests from being answered.
func (a *Account) Take(c Consumer, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total+bytes > a.limits.Total || a.held[c]+bytes > a.limits.of(c) {
		return false
	}
	a.add(c, bytes)
	return true
}

// Add counts bytes that a consumer holds, or returns them if they are negative, whether there
// is room or not.
func (a *Account) Add(c Consumer, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(c, bytes)
}

func (a *Account) add(c Consumer, bytes int64) {
	before := min(a.held[c], a.limits.of(c))
	a.held[c] += bytes
	a.total += min(a.held[c], a.limits.of(c)) - before
}

// Held returns what a consumer holds.
func (a *Account) Held(c Consumer) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[c]
}

// Others returns what all consumers but one hold, each up to its limit.
func (a *Account) Others(c Consumer) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total - min(a.held[c], a.limits.of(c))
}

// Missing returns how many bytes must be returned before more fit, or 0.
func (a *Account) Missing(more int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.total+more-a.limits.Total, 0)
}

// of returns the limit of a consumer beside that of all.
func (l *Limits) of(c Consumer) int64 {
	switch c {
	case Jobs:
		return l.Jobs
	case Decisions:
		return l.Decisions
	}
	return math.MaxInt64
}
