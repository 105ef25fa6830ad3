package spill

import (
	"slices"
	"time"
)

// Claim states that one data centre may send the requests of a service to another one,
// and not the reverse.
type Claim struct {
	Service string
	From    string
	To      string
	// Number orders the claims on both directions of a pair.
	Number int64
}

// pair identifies two data centres and a service, whatever the direction.
type pair struct{ service, low, high string }

func pairOf(service, from, to string) pair {
	return pair{service: service, low: min(from, to), high: max(from, to)}
}

// direction is the claim in effect for a pair.
type direction struct {
	from      string
	number    int64
	readAt    time.Time // when the claim in effect was read
	changedAt time.Time // when the direction changed or was first read; zero without a claim
	askedAt   time.Time // when this host last asked for a claim
	obsolete  []Claim   // claims in the log with lower numbers
}

// exceeds reports whether a claim takes effect instead of the one that is in effect. Of
// claims with the same number, the one whose data centre's name comes last does, so that
// the result does not depend on the order in which claims are read.
func (p *direction) exceeds(c Claim) bool {
	return p.number > c.Number || p.number == c.Number && p.from >= c.From
}

// Directions holds the open direction of each pair of data centres. It keeps those of
// former services, because the numbers of their claims remain in the log: some 150 bytes
// for each pair.
type Directions struct {
	config Config
	pairs  map[pair]*direction
}

func newDirections(config Config) *Directions {
	return &Directions{config: config, pairs: make(map[pair]*direction)}
}

// Apply applies a claim that was read from the log, and reports whether it changes the
// direction of its pair. The first claim counts as a change, because a host that has just
// started does not know how long it has been in the log.
func (d *Directions) Apply(c Claim, now time.Time) bool {
	p := d.pair(c.Service, c.From, c.To)
	if p.number > 0 && p.exceeds(c) {
		if p.number > c.Number {
			p.addObsolete(c)
		}
		return false
	}
	changed := p.from != c.From || p.number == 0
	if changed {
		p.changedAt = now
	}
	if p.number > 0 {
		p.addObsolete(Claim{Service: c.Service, From: p.from, To: otherOf(c, p.from), Number: p.number})
	}
	p.from, p.number, p.readAt = c.From, c.Number, now
	return changed
}

// otherOf returns the data centre of a claim that is not the given one.
func otherOf(c Claim, dataCentre string) string {
	if c.From == dataCentre {
		return c.To
	}
	return c.From
}

// maxObsolete bounds the obsolete claims that are remembered for a pair. One more claim
// makes one obsolete, and the host that publishes it has the former ones removed.
const maxObsolete = 32

func (p *direction) addObsolete(c Claim) {
	if len(p.obsolete) < maxObsolete && !slices.Contains(p.obsolete, c) {
		p.obsolete = append(p.obsolete, c)
	}
}

// Removed records that a claim was removed from the log.
func (d *Directions) Removed(c Claim) {
	p := d.pair(c.Service, c.From, c.To)
	p.obsolete = slices.DeleteFunc(p.obsolete, func(o Claim) bool { return o == c })
}

// Obsolete returns the claims of a claim's pair that can be removed from the log: claims
// with higher numbers are in it.
func (d *Directions) Obsolete(c Claim) []Claim {
	p := d.pair(c.Service, c.From, c.To)
	return slices.DeleteFunc(slices.Clone(p.obsolete), func(o Claim) bool { return o.Number >= p.number })
}

// MayLeave reports whether the direction is open. Without a claim it is open from the data
// centre whose name comes first. age is the age of this host's
// knowledge of claims.
func (d *Directions) MayLeave(service, from, to string, age time.Duration, now time.Time) bool {
	p := d.pair(service, from, to)
	return p.from == from && age <= d.config.MaxAge && now.Sub(p.changedAt) >= d.config.SettleTime
}

// Want returns the claim that has to be published so that work may leave, and false if
// none is needed or possible now: the claim in effect is recent, or the other side
// repeated its own within ClaimTerm.
func (d *Directions) Want(service, from, to string, now time.Time) (Claim, bool) {
	p := d.pair(service, from, to)
	wait := d.config.ClaimTerm
	if p.from == from {
		wait /= 2
	}
	if p.number > 0 && now.Sub(p.readAt) < wait || now.Sub(p.askedAt) < claimRetry {
		return Claim{}, false
	}
	p.askedAt = now
	return Claim{Service: service, From: from, To: to, Number: p.number + 1}, true
}

// claimRetry is how long a host waits for a claim that it asked for.
const claimRetry = time.Second

func (d *Directions) pair(service, from, to string) *direction {
	key := pairOf(service, from, to)
	p := d.pairs[key]
	if p == nil {
		p = &direction{from: key.low}
		d.pairs[key] = p
	}
	return p
}
