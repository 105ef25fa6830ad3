// Package leaving records which backend servers have said in their own responses that
// they are leaving, and how long they may still be used if no other server can take a
// request. It has no I/O and no clock.
package leaving

import (
	"maps"
	"time"
)

// LastResortPeriod is how long after its first notice a server may still be used. A
// server that is leaving goes on serving for longer than that.
const LastResortPeriod = time.Second

// maxUnlisted bounds the notices of instances that are not listed. An instance may be
// listed again after an outage of the list, so its notice outlasts its entry.
const maxUnlisted = 1024

// Instance is one process of a backend server.
type Instance struct {
	ID          string
	Incarnation int64
}

// Notices holds when this host first learned from an instance that it is leaving. An
// instance does not withdraw its notice. Notices is not safe for concurrent use.
type Notices struct{ first map[Instance]time.Time }

// NewNotices returns Notices without any.
func NewNotices() *Notices { return &Notices{first: make(map[Instance]time.Time)} }

// Add records a notice and reports whether it is the first of the instance. It removes
// the oldest notices of instances that are not listed, beyond maxUnlisted.
func (n *Notices) Add(i Instance, now time.Time, listed func(Instance) bool) bool {
	if _, known := n.first[i]; known {
		return false
	}
	n.first[i] = now
	unlisted := 0
	oldest := i
	for known, at := range n.first {
		if listed(known) {
			continue
		}
		unlisted++
		if at.Before(n.first[oldest]) || listed(oldest) {
			oldest = known
		}
	}
	if unlisted > maxUnlisted {
		delete(n.first, oldest)
	}
	return true
}

// Retain removes the notices of instances that are not listed.
func (n *Notices) Retain(listed func(Instance) bool) {
	maps.DeleteFunc(n.first, func(i Instance, _ time.Time) bool { return !listed(i) })
}

// LastResortUntil returns until when an instance that has given notice may be used if no
// other server can take a request, and whether it has given notice.
func (n *Notices) LastResortUntil(i Instance) (time.Time, bool) {
	at, known := n.first[i]
	return at.Add(LastResortPeriod), known
}
