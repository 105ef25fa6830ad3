package spill

import (
	"math"
	"time"
)

// share is the share of a service's work that may leave.
type share struct {
	value     float64
	updatedAt time.Time
}

// Share returns the share of a service's work that may leave.
func (g *Gate) Share(service string) float64 {
	if s := g.shares[service]; s != nil {
		return math.Floor(s.value*shareSteps+shareRounding) / shareSteps
	}
	return 0
}

const (
	// shareSteps is the inverse of the least change of a share.
	shareSteps = 10
	// shareRounding keeps a share that is a whole number of steps from being rounded to
	// the one below.
	shareRounding = 1e-9
)

// RetainServices removes the shares of services that are no longer configured.
func (g *Gate) RetainServices(configured func(service string) bool) {
	for service := range g.shares {
		if !configured(service) {
			delete(g.shares, service)
		}
	}
}

// UpdateShare updates the share of a service's work that may leave, and returns it. It grows
// with the pressure at once, and shrinks slowly and only below ReleasePressure, so that it
// does not swing with the work that comes back.
func (g *Gate) UpdateShare(service string, pressure float64, now time.Time) float64 {
	s := g.shares[service]
	if s == nil {
		s = &share{updatedAt: now}
		g.shares[service] = s
	}
	c := g.config
	elapsed := max(now.Sub(s.updatedAt), 0)
	s.updatedAt = now
	target := min((pressure-c.StartPressure)/(c.FullPressure-c.StartPressure), 1) * c.MaxShare
	switch {
	case target > s.value:
		s.value = target
	case pressure < c.ReleasePressure:
		s.value = max(s.value-c.ShrinkPerSecond*elapsed.Seconds(), 0)
	}
	if s.value <= 0 {
		delete(g.shares, service)
	}
	return g.Share(service)
}

// covers reports whether work with a key belongs to the share that may leave.
func covers(share float64, key uint64) bool {
	const steps = 1 << 53 // numbers that a float64 can hold exactly
	return float64(key>>11)/steps < share
}

// link is the state of the path to another data centre.
type link struct {
	failures    int // sends in a row without a response
	closings    int // how often the data centre was closed
	closedUntil time.Time
	// countedUntil is the time until which further failures, of work that was sent before,
	// do not close the data centre for longer.
	countedUntil time.Time
}

// RecordSend records whether a send to another data centre got any response.
func (g *Gate) RecordSend(dataCentre string, responded bool, now time.Time) {
	if responded {
		delete(g.links, dataCentre)
		return
	}
	l := g.links[dataCentre]
	if l == nil {
		l = &link{}
		g.links[dataCentre] = l
	}
	l.failures++
	if l.failures >= g.config.FailuresToClose && !now.Before(l.countedUntil) {
		closed := min(g.config.CloseTime<<min(l.closings, maxCloseDoublings), g.config.MaxCloseTime)
		l.closings++
		l.countedUntil = now.Add(closed)
		l.closedUntil = later(l.closedUntil, l.countedUntil)
	}
}

// maxCloseDoublings bounds the shift of CloseTime.
const maxCloseDoublings = 8

// RecordStart records that work is sent to another data centre. If that was closed, more
// is sent only after a response, or after CloseTime.
func (g *Gate) RecordStart(dataCentre string, now time.Time) {
	if g.Doubtful(dataCentre) {
		l := g.links[dataCentre]
		l.closedUntil = later(l.closedUntil, now.Add(g.config.CloseTime))
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Doubtful reports whether nothing is known of a data centre since it was closed.
func (g *Gate) Doubtful(dataCentre string) bool {
	l := g.links[dataCentre]
	return l != nil && l.failures >= g.config.FailuresToClose
}

// Reachable reports whether work may be sent to another data centre. Once the time of a
// closed one has passed, work that is sent there shows whether it can be reached.
func (g *Gate) Reachable(dataCentre string, now time.Time) bool {
	l := g.links[dataCentre]
	return l == nil || !now.Before(l.closedUntil)
}
