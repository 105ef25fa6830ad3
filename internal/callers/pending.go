package callers

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/route"
)

// endedRetention is how long an ended request is retained for the correction of
// load rows. While the load of a replica changes, its row is replaced well
// within this time.
const endedRetention = 3 * time.Second

// sentRequest is one request that this host sent to a replica.
type sentRequest struct {
	started time.Time
	ended   time.Time // zero while the request runs
}

// startsPerSweep is the number of sent requests after which the ended requests
// of all replicas are evicted, including replicas that are no longer candidates.
const startsPerSweep = 256

// pendingRequests holds the requests that this host recently sent to each
// replica. They correct the load rows, which the owners of the replicas send
// periodically and which do not reflect the latest requests yet.
type pendingRequests struct {
	byReplica map[string]map[*sentRequest]struct{}
	starts    int
}

func newPendingRequests() pendingRequests {
	return pendingRequests{byReplica: make(map[string]map[*sentRequest]struct{})}
}

func (p *pendingRequests) recordStart(replica string, now time.Time) *sentRequest {
	if p.starts++; p.starts%startsPerSweep == 0 {
		// Calling correction evicts the ended requests.
		for old := range p.byReplica {
			p.correction(&route.Candidate{Replica: old}, now)
		}
	}
	s := &sentRequest{started: now}
	if p.byReplica[replica] == nil {
		p.byReplica[replica] = make(map[*sentRequest]struct{})
	}
	p.byReplica[replica][s] = struct{}{}
	return s
}

// correction returns the difference between the current number of requests of
// this host at a replica and the number that the load row reflects: requests
// that started after the row was received, minus requests that ended after it.
// It evicts ended requests whose retention is over.
func (p *pendingRequests) correction(c *route.Candidate, now time.Time) int {
	n := 0
	for s := range p.byReplica[c.Replica] {
		if !s.ended.IsZero() && now.Sub(s.ended) > endedRetention {
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

// apply returns a copy of the candidates with the corrections set. The rows of
// replicas that this host owns are current and need no correction.
func (p *pendingRequests) apply(candidates []route.Candidate, self string, now time.Time) []route.Candidate {
	corrected := make([]route.Candidate, len(candidates))
	copy(corrected, candidates)
	for i := range corrected {
		if c := &corrected[i]; c.Owner != self || !c.StateKnown {
			c.Pending = p.correction(c, now)
		}
	}
	return corrected
}
