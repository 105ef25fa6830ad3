package spill

import "time"

// Claim states that one data centre may send the requests of a service to another one,
// and not the reverse. All hosts apply claims in the order of the log.
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
	readAt    time.Time // when the newest claim that took effect was read
	changedAt time.Time // when the direction changed
	askedAt   time.Time // when this host last asked for a claim
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
// direction of its pair. Only the highest number counts and, of claims with the same
// number, the first. The newest claims of both directions therefore give the same result
// as all claims.
func (d *Directions) Apply(c Claim, now time.Time) bool {
	p := d.pair(c.Service, c.From, c.To)
	if c.Number <= p.number {
		return false
	}
	changed := p.from != c.From
	if changed {
		p.changedAt = now
	}
	p.from, p.number, p.readAt = c.From, c.Number, now
	return changed
}

// MayLeave reports whether the direction is open. age is the age of this host's
// knowledge of claims.
func (d *Directions) MayLeave(service, from, to string, age time.Duration, now time.Time) bool {
	p := d.pairs[pairOf(service, from, to)]
	return p != nil && p.from == from && age <= d.config.MaxAge && now.Sub(p.changedAt) >= d.config.SettleTime
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
	if p.from != "" && now.Sub(p.readAt) < wait || now.Sub(p.askedAt) < claimRetry {
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
		p = &direction{}
		d.pairs[key] = p
	}
	return p
}
