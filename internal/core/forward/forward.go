// Package forward decides which backend server gets a plain request, and when
// another one is tried.
//
// It answers the load of short requests with an objective of some times their
// work: queues must stay short, a slow server must be left within a fraction of
// the objective, and a second try must not double the load.
//
// The package has no I/O and no clock.
package forward

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Config holds the parameters of a Table.
type Config struct {
	// HedgeShare is the share of the objective after which an idempotent
	// request without an answer is also sent to another server.
	HedgeShare float64
	// HedgeBudget is the largest share of requests that are sent twice that way.
	HedgeBudget float64
	// CrossDataCentreCost is the cost of a server in another data centre, in queued
	// requests.
	CrossDataCentreCost float64
	// FailureBackoff keeps requests away from a server after a failure; it
	// doubles with each further one up to MaxPause.
	FailureBackoff time.Duration
	MaxBackoff     time.Duration
	// FullBackoff keeps requests away from a server that refused as full.
	FullBackoff time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		HedgeShare: 0.5, HedgeBudget: 0.15, CrossDataCentreCost: 0.5,
		FailureBackoff: 250 * time.Millisecond, MaxBackoff: 4 * time.Second, FullBackoff: 40 * time.Millisecond,
	}
}

// latencyWeight is the weight of one answer in a server's moving average.
const latencyWeight = 0.2

// row is what this host has seen of one server.
type row struct {
	started  int64
	inFlight int
	latency  time.Duration // moving average of answers
	failures int
	blocked  time.Time
}

// Balancer holds what this host has seen of the backend servers. It is not safe
// for concurrent use.
type Balancer struct {
	config Config
	rows   map[string]*row
	sent   float64 // decayed number of requests
	hedged float64 // decayed number of second tries
}

// New returns an empty table.
func New(config Config) *Balancer { return &Balancer{config: config, rows: make(map[string]*row)} }

func (t *Balancer) row(s *deployment.Server) *row {
	r := t.rows[s.ID]
	if r == nil || r.started != s.Incarnation {
		r = &row{started: s.Incarnation}
		t.rows[s.ID] = r
	}
	return r
}

// Choose filters, scores and picks a server of a service. It returns nil if
// there is none; leaving and excluded servers are left out, blocked ones are
// used only when there is no other.
func (t *Balancer) Choose(servers []deployment.Server, dataCentre string, exclude map[string]bool, now time.Time) *deployment.Server {
	var best *deployment.Server
	bestScore := 0.0
	for i := range servers {
		s := &servers[i]
		if s.Leaving || exclude[s.ID] {
			continue
		}
		score := t.score(s, dataCentre, now)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// blockedCost puts blocked servers behind all others.
const blockedCost = 1e6

func (t *Balancer) score(s *deployment.Server, dataCentre string, now time.Time) float64 {
	r := t.row(s)
	score := float64(r.inFlight) / float64(max(s.Slots, 1)) * 4
	if s.DataCentre != dataCentre {
		score += t.config.CrossDataCentreCost
	}
	score += r.latency.Seconds() * latencyCost
	if now.Before(r.blocked) {
		score += blockedCost + r.blocked.Sub(now).Seconds()
	}
	if now.Before(s.ColdUntil) {
		score += 1
	}
	return score
}

// latencyCost is the cost of a second of latency, in queued requests: 25 ms
// more count like a server in another data centre.
const latencyCost = 20

// RecordSent notes that a request was sent to a server.
func (t *Balancer) RecordSent(s *deployment.Server, hedge bool) {
	t.row(s).inFlight++
	t.sent = t.sent*budgetDecay + 1
	t.hedged *= budgetDecay
	if hedge {
		t.hedged++
	}
}

// budgetDecay makes the hedge budget look back over some 100 requests.
const budgetDecay = 0.99

// MayHedge says whether the budget allows a second try.
func (t *Balancer) MayHedge() bool { return t.hedged < 2+t.sent*t.config.HedgeBudget }

// Result says how a try at a server ended.
type Result int

// Results of tries.
const (
	Answered Result = iota
	Full            // refused, not run
	Misdirected
	Failure   // no proper answer
	Abandoned // given up by this host before an answer
)

func (r Result) String() string {
	return [...]string{"answered", "full", "misdirected", "failure", "abandoned"}[r]
}

// RecordResult notes the end of a try.
func (t *Balancer) RecordResult(s *deployment.Server, result Result, took time.Duration, now time.Time) {
	r := t.row(s)
	r.inFlight = max(r.inFlight-1, 0)
	switch result {
	case Answered:
		r.failures = 0
		r.blocked = time.Time{}
		if r.latency == 0 {
			r.latency = took
		}
		r.latency += time.Duration(latencyWeight * float64(took-r.latency))
	case Abandoned:
		// The server may be slow: what is known is that it took longer.
		if took > r.latency {
			r.latency += time.Duration(latencyWeight * float64(took-r.latency))
		}
	case Full:
		r.blocked = now.Add(t.config.FullBackoff)
	case Misdirected, Failure:
		pause := min(t.config.FailureBackoff<<min(r.failures, 8), t.config.MaxBackoff)
		r.failures++
		r.blocked = now.Add(pause)
	}
}

// HedgeDelay returns how long to wait for an answer before a second try.
func (t *Balancer) HedgeDelay(route *deployment.Route) time.Duration {
	return time.Duration(t.config.HedgeShare * float64(route.Objective))
}

// RetainServers forgets servers that are not registered any more.
func (t *Balancer) RetainServers(registered func(id string) bool) {
	for id, r := range t.rows {
		if r.inFlight == 0 && !registered(id) {
			delete(t.rows, id)
		}
	}
}
