// Package forward selects the backend server for a plain request and decides when
// to hedge it, that is, to send it to a second server.
//
// It is designed for short requests with a latency objective of a few times their
// service time: queues must stay short, requests must avoid a slow server within
// a fraction of the objective, and hedging must not double the load.
//
// The package has no I/O and no clock.
package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
)

// Config holds the parameters of a Balancer.
type Config struct {
	// HedgeShare is the share of the objective after which an idempotent request
	// without a response is also sent to another server.
	HedgeShare float64
	// HedgeBudget is the maximum share of attempts that are hedges.
	HedgeBudget float64
	// CrossDataCentreCost is the score added for a server in another data centre. A
	// server with all slots taken has a score of 4.
	CrossDataCentreCost float64
	// FailureBackoff is how long a server is avoided after a failure. It doubles
	// with each further failure up to MaxBackoff.
	FailureBackoff time.Duration
	MaxBackoff     time.Duration
	// FullBackoff is how long a server is avoided after it refused a request for
	// lack of capacity.
	FullBackoff time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		HedgeShare: 0.5, HedgeBudget: 0.15, CrossDataCentreCost: 0.5,
		FailureBackoff: 250 * time.Millisecond, MaxBackoff: 4 * time.Second, FullBackoff: 40 * time.Millisecond,
	}
}

// latencyWeight is the weight of one response in a server's moving average.
const latencyWeight = 0.2

// serverStats holds the observations of this host on one server.
type serverStats struct {
	incarnation  int64
	inFlight     int
	latency      time.Duration // exponential moving average of responses
	answeredAt   time.Time     // last change of latency
	refusedAt    time.Time     // last refusal for lack of capacity
	failures     int
	blockedUntil time.Time
}

// Balancer selects backend servers from the observations of this host. It is not
// safe for concurrent use.
type Balancer struct {
	config         Config
	stats          map[string]*serverStats
	recentAttempts float64 // exponentially decayed number of attempts, with hedges
	recentHedges   float64 // exponentially decayed number of hedges
}

// New returns a Balancer without observations.
func New(config Config) *Balancer {
	return &Balancer{config: config, stats: make(map[string]*serverStats)}
}

// serverStats returns the observations on a server. They are discarded when the
// server has a new incarnation.
func (b *Balancer) serverStats(s *deployment.Server) *serverStats {
	entry := b.stats[s.ID]
	if entry == nil || entry.incarnation != s.Incarnation {
		entry = &serverStats{incarnation: s.Incarnation}
		b.stats[s.ID] = entry
	}
	return entry
}

// Selection is the result of Choose.
type Selection struct {
	// Server is the best server that a request may be sent to now, or nil.
	Server *deployment.Server
	// Strained is set if Server recently failed or refused requests, or has as many
	// requests of this host as slots.
	Strained bool
	// Failing is set if Server failed repeatedly and is not due to be tried again.
	Failing bool
	// Slower is set if Server is loaded so much that the first of NeedGrant would be
	// better if a request to it were granted at once.
	Slower bool
	// LastResort is set if only servers that are leaving can take the request.
	LastResort bool
	// Leaving is set if the servers that were not tried yet are all leaving and must not
	// get the request.
	Leaving bool
	// NeedGrant are the servers with a rate limit that a request may be sent to only
	// after it was granted, the best first.
	NeedGrant []*deployment.Server
}

// Choose selects the server with the lowest score. It never selects an excluded server,
// one with a rate limit only if a request to it is granted, and a blocked one only if
// there is no other. A server that is leaving is selected only if no other can take the
// request and the server is a last resort. A nil state means that no server has a limit.
func (b *Balancer) Choose(servers []deployment.Server, dataCentre string, exclude map[string]bool, state func(*deployment.Server) ratelimit.State, now time.Time) Selection {
	return b.chooseAmong(servers, dataCentre, func(s *deployment.Server) bool { return !exclude[s.ID] }, state, now)
}

// chooseAmong is Choose for the servers that are included.
func (b *Balancer) chooseAmong(servers []deployment.Server, dataCentre string, included func(*deployment.Server) bool, state func(*deployment.Server) ratelimit.State, now time.Time) Selection {
	staying := func(s *deployment.Server) bool { return !s.Leaving && included(s) }
	selection := b.choose(servers, dataCentre, staying, state, now)
	if selection.Server != nil || len(selection.NeedGrant) > 0 {
		return selection
	}
	lastResort := func(s *deployment.Server) bool { return s.IsLastResort(now) && included(s) }
	selection = b.choose(servers, dataCentre, lastResort, state, now)
	selection.LastResort = selection.Server != nil || len(selection.NeedGrant) > 0
	selection.Leaving = !selection.LastResort && slices.ContainsFunc(servers, func(s deployment.Server) bool { return s.Leaving && included(&s) })
	return selection
}

// choose selects a server from those that are eligible.
func (b *Balancer) choose(servers []deployment.Server, dataCentre string, eligible func(*deployment.Server) bool, state func(*deployment.Server) ratelimit.State, now time.Time) Selection {
	var selection Selection
	bestScore := 0.0
	for i := range servers {
		s := &servers[i]
		switch {
		case !eligible(s):
			continue
		case state != nil && state(s) == ratelimit.Limited:
			selection.NeedGrant = append(selection.NeedGrant, s)
			continue
		}
		score := b.score(s, dataCentre, now)
		if selection.Server == nil || score < bestScore {
			selection.Server, bestScore = s, score
		}
	}
	if s := selection.Server; s != nil {
		stats := b.serverStats(s)
		selection.Failing = now.Before(stats.blockedUntil) && stats.failures > 1
		selection.Strained = now.Before(stats.blockedUntil) || (s.Slots > 0 && stats.inFlight >= s.Slots)
	}
	slices.SortStableFunc(selection.NeedGrant, func(x, y *deployment.Server) int {
		return cmp.Compare(b.score(x, dataCentre, now), b.score(y, dataCentre, now))
	})
	if selection.Server != nil && len(selection.NeedGrant) > 0 {
		selection.Slower = b.score(selection.NeedGrant[0], dataCentre, now)+limitedCost < bestScore
	}
	return selection
}

// limitedCost is the score added for a server with a rate limit, because it is
// overloaded: it gets requests only once the others take 50 ms longer or have a quarter
// more of their slots taken.
const limitedCost = 1

// blockedPenalty ranks blocked servers behind all others.
const blockedPenalty = 1e6

// score rates a server for a request from a data centre; lower is better.
func (b *Balancer) score(s *deployment.Server, dataCentre string, now time.Time) float64 {
	stats := b.serverStats(s)
	score := float64(stats.inFlight) / float64(max(s.Slots, 1)) * 4
	if s.DataCentre != dataCentre {
		score += b.config.CrossDataCentreCost
	}
	score += stats.latency.Seconds() * latencyCostPerSecond
	if now.Before(stats.blockedUntil) {
		score += blockedPenalty + stats.blockedUntil.Sub(now).Seconds()
	}
	if now.Before(s.ColdUntil) {
		score += 1
	}
	return score
}

// latencyCostPerSecond is the score added per second of latency: 25 ms weigh as
// much as a server in another data centre.
const latencyCostPerSecond = 20

// RecordSent records that a request was sent to a server; hedge is set if it was
// a hedge.
func (b *Balancer) RecordSent(s *deployment.Server, hedge bool) {
	b.serverStats(s).inFlight++
	b.recentAttempts = b.recentAttempts*hedgeBudgetDecay + 1
	b.recentHedges *= hedgeBudgetDecay
	if hedge {
		b.recentHedges++
	}
}

// hedgeBudgetDecay makes the hedge budget cover about the last 100 requests.
const hedgeBudgetDecay = 0.99

// MayHedge reports whether the budget allows another hedge. Two hedges are allowed
// in addition to the share; a host with few requests can therefore hedge as well.
func (b *Balancer) MayHedge() bool { return b.recentHedges < 2+b.recentAttempts*b.config.HedgeBudget }

// Result is the way in which an attempt at a server ended.
type Result int

// Results of attempts.
const (
	Answered Result = iota
	Full            // refused for lack of capacity, not run
	Misdirected
	Failure   // no response or a malformed one
	Abandoned // cancelled by this host before a response
)

func (r Result) String() string {
	return [...]string{"answered", "full", "misdirected", "failure", "abandoned"}[r]
}

// RecordResult records the end of an attempt.
func (b *Balancer) RecordResult(s *deployment.Server, result Result, took time.Duration, now time.Time) {
	stats := b.serverStats(s)
	stats.inFlight = max(stats.inFlight-1, 0)
	switch result {
	case Answered:
		stats.failures = 0
		stats.blockedUntil = time.Time{}
		if stats.latency == 0 {
			stats.latency = took
		}
		stats.latency += time.Duration(latencyWeight * float64(took-stats.latency))
		stats.answeredAt = now
	case Abandoned:
		// The latency of the response is unknown, but at least took.
		if took > stats.latency {
			stats.latency += time.Duration(latencyWeight * float64(took-stats.latency))
			stats.answeredAt = now
		}
	case Full:
		stats.blockedUntil = now.Add(b.config.FullBackoff)
		stats.refusedAt = now
	case Misdirected, Failure:
		backoff := min(b.config.FailureBackoff<<min(stats.failures, 8), b.config.MaxBackoff)
		stats.failures++
		stats.blockedUntil = now.Add(backoff)
	}
}

// HedgeDelay returns how long to wait for a response before a request is hedged.
func (b *Balancer) HedgeDelay(route *deployment.Route) time.Duration {
	return time.Duration(b.config.HedgeShare * float64(route.Objective))
}

// RetainServers removes the observations on servers that are no longer registered
// and have no requests in flight.
func (b *Balancer) RetainServers(registered func(id string) bool) {
	for id, entry := range b.stats {
		if entry.inFlight == 0 && !registered(id) {
			delete(b.stats, id)
		}
	}
}
