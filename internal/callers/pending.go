package callers

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/route"
)

// endedLifetime is how long an ended request corrects load rows; rows are
// replaced well within it while the load changes.
const endedLifetime = 3 * time.Second

// sent is one request of this host at a replica.
type sent struct {
	started time.Time
	ended   time.Time // zero while it runs
}

// sweepEvery is the number of starts between two removals of ended requests of
// replicas that are no longer candidates.
const sweepEvery = 256

// pending holds what this host sent to each replica lately, to correct load
// rows that are older than it.
type pending struct {
	byReplica map[string]map[*sent]struct{}
	starts    int
}

func newPending() pending {
	return pending{byReplica: make(map[string]map[*sent]struct{})}
}

func (p *pending) start(replica string, now time.Time) *sent {
	if p.starts++; p.starts%sweepEvery == 0 {
		for old := range p.byReplica {
			p.correction(&route.Candidate{Replica: old}, now)
		}
	}
	s := &sent{started: now}
	if p.byReplica[replica] == nil {
		p.byReplica[replica] = make(map[*sent]struct{})
	}
	p.byReplica[replica][s] = struct{}{}
	return s
}

// correction returns the requests started since a row was received, less those
// that the row shows although they ended.
func (p *pending) correction(c *route.Candidate, now time.Time) int {
	n := 0
	for s := range p.byReplica[c.Replica] {
		if !s.ended.IsZero() && now.Sub(s.ended) > endedLifetime {
			delete(p.byReplica[c.Replica], s)
			continue
		}
		switch {
		case s.ended.IsZero() && s.started.After(c.ReceivedAt):
			n++
		case !s.ended.IsZero() && s.ended.After(c.ReceivedAt) && !s.started.After(c.ReceivedAt):
			n--
		}
	}
	if len(p.byReplica[c.Replica]) == 0 {
		delete(p.byReplica, c.Replica)
	}
	return n
}

// apply returns the candidates with their corrections. Rows of replicas that
// this host owns itself are live and need none.
func (p *pending) apply(candidates []route.Candidate, self string, now time.Time) []route.Candidate {
	corrected := make([]route.Candidate, len(candidates))
	copy(corrected, candidates)
	for i := range corrected {
		if c := &corrected[i]; c.Owner != self || !c.StateKnown {
			c.Pending = p.correction(c, now)
		}
	}
	return corrected
}
