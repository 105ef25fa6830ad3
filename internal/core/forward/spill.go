package forward

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// Spillover is what the decision needs whether a request leaves its data centre.
type Spillover struct {
	Gate      *spill.Gate
	Service   string
	Key       uint64        // hash of the request's ID
	Objective time.Duration // latency objective of the route; 0 if it has none
	Bytes     int           // expected in both directions
	// ClaimAge is the age of this host's knowledge of claims.
	ClaimAge time.Duration
	// Stream is set for streams. The latency of servers is then the length of streams, which
	// says nothing about the wait for the first event.
	Stream bool
	// choose selects among the included servers that were not tried.
	choose func(included func(*deployment.Server) bool) Selection
}

// Estimates for requests without observations.
const (
	// defaultLatency is the expected latency of a server that has not answered this host.
	defaultLatency = 25 * time.Millisecond
	// defaultObjective replaces the objective of a route without one.
	defaultObjective = 500 * time.Millisecond
	// coldDelay is the delay of a server that is not warm yet.
	coldDelay = 50 * time.Millisecond
	// observationHalfLife is how long after its last response the latency of a server
	// counts for half.
	observationHalfLife = 2 * time.Second
	// refusalMemory is how long a server that refused a request for lack of capacity counts
	// as full and gets none from another data centre.
	refusalMemory = time.Second
)

// SpillChoice is the result of ChooseWithSpillover.
type SpillChoice struct {
	Selection
	// Verdict says why the request leaves or stays.
	Verdict spill.Verdict
	// Claim has to be published so that requests may leave; nil if there is none.
	Claim *spill.Claim
}

// ChooseWithSpillover selects a server as Choose does, but one in another data centre
// only if no local server can take the request or if leaving pays off. If the local
// servers have refused the request because they are full and it may not leave, there is no
// selection.
func (b *Balancer) ChooseWithSpillover(servers []deployment.Server, dataCentre string, exclude map[string]bool, state func(*deployment.Server) ratelimit.State, in Spillover, now time.Time) SpillChoice {
	in.choose = func(included func(*deployment.Server) bool) Selection {
		return b.chooseAmong(servers, dataCentre, func(s *deployment.Server) bool { return !exclude[s.ID] && included(s) }, state, now)
	}
	local := in.choose(within(dataCentre))
	full := local.Server == nil && b.allFull(servers, dataCentre, now)
	if !full && (local.Server == nil || local.LastResort || b.isFailing(local.Server, now)) {
		return in.chooseAnywhere(dataCentre, now)
	}
	pressure := b.localPressure(local, in, now)
	if in.Gate.UpdateShare(in.Service, pressure, now) == 0 && !full {
		return SpillChoice{Selection: local, Verdict: spill.Verdict{Reason: spill.InTime}}
	}
	work := in.work(pressure)
	remote := make(map[string]Selection)
	for _, name := range otherDataCentres(servers, dataCentre) {
		s := in.choose(func(s *deployment.Server) bool { return s.DataCentre == name && b.hasRoom(s, now) })
		if s.Server == nil || s.LastResort {
			continue
		}
		remote[name] = s
		work.Options = append(work.Options, spill.Option{
			DataCentre: name, Pressure: in.pressure(b.expected(s.Server, in.Stream, now)),
			Open: in.Gate.Directions.MayLeave(in.Service, dataCentre, name, in.ClaimAge, now),
		})
	}
	work.Refused = full
	choice := SpillChoice{Selection: local, Verdict: in.Gate.Decide(work, now)}
	choice.Claim = in.Gate.Claim(work, dataCentre, now)
	if choice.Verdict.Leaves() {
		choice.Selection = remote[choice.Verdict.DataCentre]
	}
	return choice
}

// hasRoom reports whether requests may be added to the load of a server in another data
// centre: nothing failed there, and it has not refused a request for a while.
func (b *Balancer) hasRoom(s *deployment.Server, now time.Time) bool {
	stats := b.serverStats(s)
	return !now.Before(stats.blockedUntil) && now.Sub(stats.refusedAt) >= refusalMemory
}

// isFull reports whether a server has refused a request for lack of capacity within
// refusalMemory. The backoff after a refusal is too short for this: a request that several
// servers refuse reaches the last one when that of the first has passed.
func (b *Balancer) isFull(s *deployment.Server, now time.Time) bool {
	stats := b.serverStats(s)
	return stats.failures == 0 && now.Sub(stats.refusedAt) < refusalMemory
}

// isFailing reports whether a server is avoided because requests to it failed.
func (b *Balancer) isFailing(s *deployment.Server, now time.Time) bool {
	stats := b.serverStats(s)
	return stats.failures > 0 && now.Before(stats.blockedUntil)
}

// allFull reports whether a data centre has servers that are not leaving, and all of them
// have refused a request for lack of capacity within refusalMemory.
func (b *Balancer) allFull(servers []deployment.Server, dataCentre string, now time.Time) bool {
	full := false
	for i := range servers {
		if s := &servers[i]; s.DataCentre == dataCentre && !s.Leaving {
			if !b.isFull(s, now) {
				return false
			}
			full = true
		}
	}
	return full
}

// localPressure returns the pressure of the local servers. It is at least the one at which
// MaxShare may leave if they have no free slot for the request.
func (b *Balancer) localPressure(local Selection, in Spillover, now time.Time) float64 {
	full := in.Gate.Config().FullPressure
	if local.Server == nil {
		return full
	}
	pressure := in.pressure(b.expected(local.Server, in.Stream, now))
	if local.Strained {
		pressure = max(pressure, full)
	}
	return pressure
}

// chooseAnywhere selects a server when no local one can take the request without delay.
// Data centres that cannot be reached are used only if there is no other.
func (in *Spillover) chooseAnywhere(dataCentre string, now time.Time) SpillChoice {
	selection := in.choose(func(s *deployment.Server) bool {
		return s.DataCentre == dataCentre || in.Gate.Reachable(s.DataCentre, now)
	})
	if selection.Server == nil && len(selection.NeedGrant) == 0 {
		selection = in.choose(func(*deployment.Server) bool { return true })
	}
	verdict := spill.Verdict{Reason: spill.NoLocalServer}
	if s := selection.Server; s != nil && s.DataCentre != dataCentre {
		verdict.DataCentre = s.DataCentre
	}
	return SpillChoice{Selection: selection, Verdict: verdict}
}

func within(dataCentre string) func(*deployment.Server) bool {
	return func(s *deployment.Server) bool { return s.DataCentre == dataCentre }
}

// otherDataCentres returns the data centres of servers except one, in order.
func otherDataCentres(servers []deployment.Server, dataCentre string) []string {
	var names []string
	for i := range servers {
		if name := servers[i].DataCentre; name != dataCentre && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expected returns the time in which a server is expected to answer another request, or
// to send the first event of another stream: its latency, and a wait if the requests of this host take all of its slots.
func (b *Balancer) expected(s *deployment.Server, stream bool, now time.Time) time.Duration {
	stats := b.serverStats(s)
	latency := defaultLatency
	if stats.latency > 0 && !stream {
		lives := max(now.Sub(stats.answeredAt), 0) / observationHalfLife
		latency = max(stats.latency>>min(lives, maxHalvings), min(stats.latency, defaultLatency))
	}
	slots := max(s.Slots, 1)
	rounds := 1 + float64(max(stats.inFlight+1-slots, 0))/float64(slots)
	expected := time.Duration(rounds * float64(latency))
	if now.Before(s.ColdUntil) {
		expected += coldDelay
	}
	return expected
}

// maxHalvings bounds the shift of a latency that was observed long ago.
const maxHalvings = 16

func (in *Spillover) limit() time.Duration {
	if in.Objective > 0 {
		return in.Objective
	}
	return defaultObjective
}

func (in *Spillover) pressure(d time.Duration) float64 {
	return d.Seconds() / in.limit().Seconds()
}

// work returns the decision's input for a request at the given pressure of the local
// servers.
func (in *Spillover) work(pressure float64) spill.Work {
	config := in.Gate.Config()
	return spill.Work{
		Service: in.Service, Key: in.Key, Pressure: pressure,
		Cost: in.pressure(config.Cost(in.Bytes, pressure < config.FullPressure)),
	}
}
