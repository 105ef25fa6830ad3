// Package spill decides when work leaves its data centre for another one, and how
// much of it may leave.
//
// It is designed for data centres about a millisecond apart whose servers are at
// times too few for the local load: trainers submit some 600 items every 4 s, and
// callers and reward calls arrive in bursts. Bytes between data centres are charged,
// so work stays local while callers are served in time. The share that leaves must
// not swing, and two data centres must not send to each other at the same time.
//
// The package has no I/O and no clock.
package spill

import "time"

// Config holds the parameters of the decisions.
type Config struct {
	Terms
	// StartPressure is the pressure from which work may leave, and FullPressure the one
	// at which MaxShare may. A pressure of 1 means that the limit of the callers is
	// reached.
	StartPressure float64
	FullPressure  float64
	// ReleasePressure is the pressure below which the share shrinks.
	ReleasePressure float64
	// MaxShare keeps some work local, so that the state of the local servers is known.
	MaxShare float64
	// ShrinkPerSecond is by how much the share shrinks in a second.
	ShrinkPerSecond float64
	// Margin is the least difference of pressures at which leaving pays off. It covers
	// errors of the estimates.
	Margin float64
	// LoadMargin is the least difference of the mean loads of two data centres at which
	// completions leave. It covers load rows that are half a second old.
	LoadMargin float64
	// FailuresToClose is the number of sends in a row without a response after which a
	// data centre is avoided, for CloseTime at first and at most MaxCloseTime.
	FailuresToClose int
	CloseTime       time.Duration
	MaxCloseTime    time.Duration
	// ClaimTerm is how long a claim holds without being repeated.
	ClaimTerm time.Duration
	// SettleTime is how long a new direction is known before anything is sent in it. It
	// is longer than MaxAge, so that hosts of the other side have read the claim or send
	// nothing.
	SettleTime time.Duration
	// MaxAge is the age of the knowledge of claims up to which anything is sent.
	MaxAge time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		Terms:         DefaultTerms(),
		StartPressure: 0.5, FullPressure: 1, ReleasePressure: 0.35, MaxShare: 0.9, ShrinkPerSecond: 0.25,
		Margin: 0.1, LoadMargin: 0.25,
		FailuresToClose: 3, CloseTime: 500 * time.Millisecond, MaxCloseTime: 4 * time.Second,
		ClaimTerm: 4 * time.Second, SettleTime: time.Second, MaxAge: 700 * time.Millisecond, // a follower's reads of an idle partition last 500 ms
	}
}

// Reason says why work left or stayed.
type Reason string

// Reasons. Work leaves for NoLocalServer, Late, Full and Faster.
const (
	InTime        Reason = "in-time"         // a local server is expected to end it in time
	NoGain        Reason = "no-gain"         // leaving would not save enough
	WithinShare   Reason = "within-share"    // it belongs to the share that stays
	OtherWay      Reason = "other-direction" // the direction is not open
	Unreachable   Reason = "unreachable"     // sends to the other data centres fail
	NoLocalServer Reason = "no-local-server" // no local server can take it now
	Late          Reason = "late"            // it would be late here
	Full          Reason = "full"            // the local servers have no room for it
	Faster        Reason = "faster"          // another data centre saves more than the bytes cost
)

// Verdict is the decision on one piece of work.
type Verdict struct {
	// DataCentre is where the work goes; empty if it stays.
	DataCentre string
	Reason     Reason
}

// Leaves reports whether the work leaves.
func (v Verdict) Leaves() bool { return v.DataCentre != "" }

// Terms is what leaving costs.
type Terms struct {
	RoundTrip time.Duration // between two data centres, at most
	// BytesPerSecond is the number of bytes between data centres that cost as much as a
	// second of delay of work that would be late.
	BytesPerSecond float64
	// InTimeWorth is the worth of a second of work that ends in time anyway, as a share
	// of one that would be late.
	InTimeWorth float64
}

const (
	pricePerByte = 49e-9 // between data centres
	// worthPerSecond is the worth of a second of one item: a group of some 8 items that
	// arrives within 7.5 s earns about 4.
	worthPerSecond = 4.0 / 8 / 7.5
)

// DefaultTerms returns the default costs.
func DefaultTerms() Terms {
	return Terms{RoundTrip: 2 * time.Millisecond, BytesPerSecond: worthPerSecond / pricePerByte, InTimeWorth: 0.1}
}

// Cost returns the time that work must save so that leaving pays off. inTime is set if
// the work would end in time without leaving.
func (t Terms) Cost(bytes int, inTime bool) time.Duration {
	seconds := float64(bytes) / t.BytesPerSecond
	if inTime {
		seconds /= t.InTimeWorth
	}
	return t.RoundTrip + time.Duration(seconds*float64(time.Second))
}

// Option is another data centre that could take the work.
type Option struct {
	DataCentre string
	Pressure   float64 // as Work.Pressure, there
	// Open is set if this data centre may send there now.
	Open bool
}

// Work is one piece of work to be decided on.
type Work struct {
	Service string
	Key     uint64 // hash of its ID
	// Pressure is the expected time to its end here, as a multiple of the callers' limit.
	Pressure float64
	// Cost is the cost of leaving, in the same unit.
	Cost    float64
	Options []Option
	// Refused is set if all local servers have refused the work because they are full. It
	// leaves whatever the share and the cost, but stays, without a server, if no direction is
	// open: the other data centres may be full as well and send here.
	Refused bool
}

// Gate decides which work leaves one data centre. It is not safe for concurrent use.
type Gate struct {
	config     Config
	shares     map[string]*share // by service
	links      map[string]*link  // by data centre
	Directions *Directions
}

// NewGate returns a Gate without observations.
func NewGate(config Config) *Gate {
	return &Gate{config: config, shares: make(map[string]*share), links: make(map[string]*link), Directions: newDirections(config)}
}

// Clone returns a copy, with which decisions can be tried.
func (g *Gate) Clone() *Gate {
	c := &Gate{config: g.config, shares: clone(g.shares), links: clone(g.links)}
	c.Directions = &Directions{config: g.config, pairs: clone(g.Directions.pairs)}
	return c
}

// clone returns a copy of a map and of the values that it refers to.
func clone[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		value := *v
		c[k] = &value
	}
	return c
}

// Config returns the parameters.
func (g *Gate) Config() Config { return g.config }

// Decide decides on a piece of work, and updates the share of its service.
func (g *Gate) Decide(w Work, now time.Time) Verdict {
	share := g.UpdateShare(w.Service, w.Pressure, now)
	if share == 0 && !w.Refused {
		return Verdict{Reason: InTime}
	}
	best, reason := g.best(w, now)
	switch {
	case best == nil:
		return Verdict{Reason: reason}
	case w.Refused:
		return Verdict{DataCentre: best.DataCentre, Reason: Full}
	case !covers(share, w.Key):
		return Verdict{Reason: WithinShare}
	}
	return Verdict{DataCentre: best.DataCentre, Reason: Late}
}

// Claim returns the claim that has to be published so that the work of a service may leave,
// as long as its share is above 0: for the best data centre that is open, so that it
// remains so, or else for the best one. It returns nil if none is needed.
func (g *Gate) Claim(w Work, from string, now time.Time) *Claim {
	if g.Share(w.Service) == 0 {
		return nil
	}
	best, _ := g.best(w, now)
	for i := range w.Options {
		o := &w.Options[i]
		if !o.Open && g.pays(w, *o) && g.Reachable(o.DataCentre, now) && (best == nil || !best.Open && o.Pressure < best.Pressure) {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	if c, ok := g.Directions.Want(w.Service, from, best.DataCentre, now); ok {
		return &c
	}
	return nil
}

// best returns the open option with the lowest pressure, or why there is none.
func (g *Gate) best(w Work, now time.Time) (*Option, Reason) {
	var best *Option
	reason := NoGain
	for i := range w.Options {
		o := &w.Options[i]
		switch {
		case !g.pays(w, *o):
		case !g.Reachable(o.DataCentre, now):
			reason = Unreachable
		case !o.Open:
			reason = OtherWay
		case best == nil || o.Pressure < best.Pressure:
			best = o
		}
	}
	return best, reason
}

func (g *Gate) pays(w Work, o Option) bool {
	return w.Refused || o.Pressure+w.Cost+g.config.Margin <= w.Pressure
}

// LoadAllows reports whether completions may leave a data centre with one mean load for
// one with another. It never allows both directions.
func (c Config) LoadAllows(here, there float64) bool { return here-there >= c.LoadMargin }
