// Package ratelimit keeps the rate limits that backend servers name. A limit is the
// number of requests per second that a server accepts from all hosts together, for as
// long as its answers name it.
//
// It is designed for overloaded servers whose limit may be far below the number of hosts.
// One host, the allocator of a service, grants requests one by one, or in small numbers
// where the limit is high, to the hosts that have requests to send. So the limit is not
// exceeded by hosts that do not know of each other, and not left unused by a share of
// a host without callers.
//
// The package has no I/O and no clock. Its types are not safe for concurrent use.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRate parses the value by which a server names its limit: a decimal number of
// requests per second.
func ParseRate(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0) && !math.IsNaN(perSecond)
}

// Observation is what one answer of a server, or another host, says about the
// server's limit.
type Observation struct {
	Server      string
	Incarnation int64
	// Named is set if there is a limit.
	Named     bool
	PerSecond float64
	// Sent is when the request was sent, and At when its answer arrived.
	Sent time.Time
	At   time.Time
}

// Limit is the limit that a server named last.
type Limit struct {
	Observation
	// Changed is when the limit changed last.
	Changed time.Time
}

// Limits holds what one host knows of the limits, by server. It also holds that a
// server no longer names one, so that an older observation does not bring it back.
type Limits struct{ rows map[string]*Limit }

// NewLimits returns an empty table.
func NewLimits() *Limits { return &Limits{rows: make(map[string]*Limit)} }

// Observe applies an observation and reports whether the limit changed. Observations
// may arrive out of order. The absence of a limit in an answer counts only if its
// request was sent after the limit was last named.
func (l *Limits) Observe(o Observation) bool {
	row := l.rows[o.Server]
	if row == nil || o.Incarnation > row.Incarnation {
		if row == nil && !o.Named {
			return false
		}
		wasNamed := row != nil && row.Named
		l.rows[o.Server] = &Limit{Observation: o, Changed: o.At}
		return o.Named || wasNamed
	}
	if o.Incarnation < row.Incarnation || o.At.Before(row.At) || (!o.Named && row.Named && o.Sent.Before(row.At)) {
		return false
	}
	changed := o.Named != row.Named || (o.Named && o.PerSecond != row.PerSecond)
	row.Observation = o
	if changed {
		row.Changed = o.At
	}
	return changed
}

// Get returns the limit of an incarnation of a server, and false if it has none.
func (l *Limits) Get(server string, incarnation int64) (Limit, bool) {
	row := l.rows[server]
	if row == nil || !row.Named || row.Incarnation != incarnation {
		return Limit{}, false
	}
	return *row, true
}

// Last returns the last observation of a server, which may be that it names no limit.
func (l *Limits) Last(server string) (Observation, bool) {
	row := l.rows[server]
	if row == nil {
		return Observation{}, false
	}
	return row.Observation, true
}

// Retain removes the limits of servers that are no longer registered, and returns
// their IDs.
func (l *Limits) Retain(registered func(server string) bool) []string {
	var removed []string
	for server := range l.rows {
		if !registered(server) {
			removed = append(removed, server)
			delete(l.rows, server)
		}
	}
	return removed
}
