package workspace

import (
	"maps"
	"math"
	"time"
)

const (
	// turnMemory is the time over which what a workspace asked for and got is averaged: some
	// requests of each of 75 workspaces at a server that accepts 20 a second.
	turnMemory = 20 * time.Second
	// behindShare is the part of the share of requests that are served for all workspaces
	// together below which a workspace is behind. None may get less than a quarter; twice
	// that leaves time to recover.
	behindShare = 0.5
	// minAsked is the number of requests within turnMemory from which a workspace can be
	// behind.
	minAsked = 3
)

// Turns makes workspaces take turns where requests wait: a workspace yields while another
// one is behind and is served less than half as often. Requests of one workspace may
// otherwise reserve all that a server accepts because they can wait for longer.
//
// Load: an update for each request, and a look at each workspace (75) for each request that
// needs a grant. Rows exist for workspaces of the configuration only. A Turns is not safe
// for concurrent use.
type Turns struct {
	rows map[string]*turn
	all  turn
}

// turn holds exponentially decayed numbers of requests.
type turn struct {
	asked, served float64
	at            time.Time
}

// NewTurns returns Turns without requests.
func NewTurns() *Turns { return &Turns{rows: make(map[string]*turn)} }

func (t *turn) decay(now time.Time) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / turnMemory.Seconds())
		t.asked, t.served, t.at = t.asked*factor, t.served*factor, now
	}
}

func (t *turn) record(served bool, now time.Time) {
	t.decay(now)
	t.asked++
	if served {
		t.served++
	}
}

func (t *turn) share() float64 { return t.served / max(t.asked, 1) }

// Record records a request of a workspace and whether it was served.
func (t *Turns) Record(name string, served bool, now time.Time) {
	row := t.rows[name]
	if row == nil {
		row = &turn{}
		t.rows[name] = row
	}
	row.record(served, now)
	t.all.record(served, now)
}

// Yields reports whether a workspace should leave its turn to another one.
func (t *Turns) Yields(name string, now time.Time) bool {
	own := t.rows[name]
	if own == nil {
		return false
	}
	t.all.decay(now)
	own.decay(now)
	behind := behindShare * min(own.share(), t.all.share())
	for _, row := range t.rows {
		row.decay(now)
		if row.asked >= minAsked && row.share() < behind {
			return true
		}
	}
	return false
}

// Retain removes the rows of workspaces that a directory does not have.
func (t *Turns) Retain(d *Directory) {
	maps.DeleteFunc(t.rows, func(name string, _ *turn) bool { return d.Named(name) == nil })
}
