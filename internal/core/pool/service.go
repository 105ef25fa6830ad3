package pool

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// service is the state of one service.
type service struct {
	config Config
	scale  deployment.Scale
	fleets map[Key]*fleet
	need   need
	// needs holds the greatest need of each second of the observation.
	needs      []needSample
	unmeasured bool
	// steadySince is the time since which the observation was not disturbed.
	steadySince  time.Time
	lastDecrease time.Time
}

type needSample struct {
	at      time.Time
	servers int
}

// targets is the number of servers of each kind that a need requires.
type targets struct{ onDemand, reserve int }

func (t targets) total() int { return t.onDemand + t.reserve }

// targetsFor returns the targets for a number of needed servers. On-demand servers cover the
// need, so that a reclaim never makes a round late.
func (s *service) targetsFor(servers int) targets {
	t := targets{onDemand: servers}
	if s.scale.SpotPrice > 0 {
		t.reserve = int(math.Ceil(s.config.ReserveShare * float64(servers)))
	}
	return t
}

// fleet returns the state of the servers of one kind in a data centre, creating it with the
// other kind, so that both can be ordered where the service runs.
func (s *service) fleet(key Key) *fleet {
	if s.fleets[key] == nil {
		for _, spot := range []bool{false, true} {
			each := Key{Service: key.Service, DataCentre: key.DataCentre, Spot: spot}
			s.fleets[each] = &fleet{
				key: each, config: &s.config, startUp: s.scale.StartUp,
				serving: make(map[string]bool), leaving: make(map[string]bool), missing: make(map[string]time.Time),
			}
		}
	}
	return s.fleets[key]
}

// observe updates the state to the registered servers.
func (s *service) observe(current *Service, now time.Time) {
	s.scale, s.unmeasured = current.Scale, current.Demand.Unmeasured
	byKey := make(map[Key][]*deployment.Server)
	for i := range current.Servers {
		key := keyOf(&current.Servers[i])
		s.fleet(key)
		byKey[key] = append(byKey[key], &current.Servers[i])
	}
	if len(s.fleets) == 0 { // no server is known, so the prices have to say where it runs
		for dataCentre := range s.scale.Prices {
			s.fleet(Key{Service: current.Name, DataCentre: dataCentre})
		}
	}
	for key, f := range s.fleets {
		f.startUp = s.scale.StartUp
		f.setUnregistered(len(byKey[key])+len(byKey[key.otherKind()]) == 0, now)
		if f.observe(byKey[key], now) {
			s.steadySince = now
		}
	}
}

// updateNeed updates the need and its history. complete is set if the demand is up to date.
func (s *service) updateNeed(current *Service, complete bool, now time.Time) {
	s.need = s.config.needOf(current, complete, now)
	if n := len(s.needs); n > 0 && now.Sub(s.needs[n-1].at) < time.Second {
		s.needs[n-1].servers = max(s.needs[n-1].servers, s.need.servers)
	} else {
		s.needs = append(s.needs, needSample{at: now, servers: s.need.servers})
	}
	s.needs = slices.DeleteFunc(s.needs, func(n needSample) bool { return now.Sub(n.at) > max(s.observation(), s.config.SmallObservation) })
}

// observation returns how long an observation must last before a decrease.
func (s *service) observation() time.Duration {
	if s.need.period == 0 {
		return s.config.IdleObservation
	}
	return max(time.Duration(s.config.ObservedPeriods)*s.need.period, s.config.MinObservation)
}

// count returns the number of servers of one kind that serve or come.
func (s *service) count(spot bool) int {
	n := 0
	for key, f := range s.fleets {
		if key.Spot == spot {
			n += f.expected() - f.releasing
		}
	}
	return n
}

// increase returns the orders for servers that the need lacks now.
func (s *service) increase(now time.Time) []Order {
	want := s.targetsFor(s.need.servers)
	onDemand, spot := s.count(false), s.count(true)
	reason := fmt.Sprintf("%d servers are needed for %d trainers with rounds every %s and %s a token, with a reserve of %d, %d on-demand and %d spot servers serve or come",
		want.onDemand, s.need.trainers, s.need.period, s.need.perToken, want.reserve, onDemand, spot)
	orders := s.fillMinimum(now)
	orders = append(orders, s.place(false, want.onDemand-s.count(false), want.onDemand, reason, now)...)
	return append(orders, s.place(true, want.total()-max(s.count(false), want.onDemand)-spot, want.reserve, reason, now)...)
}

// decrease returns an order for fewer servers, if a long and steady observation shows that
// more are there than any second of it needed, or one that replaces on-demand servers by a
// reserve of spot servers. A small surplus takes a longer observation than a large one.
func (s *service) decrease(now time.Time) []Order {
	if s.unmeasured || now.Sub(s.lastDecrease) < s.need.period || !s.settled() {
		return nil
	}
	orders := s.decreaseAfter(max(s.observation(), s.config.SmallObservation), 1, now)
	if len(orders) == 0 {
		orders = s.decreaseAfter(s.observation(), 2, now)
	}
	return orders
}

// decreaseAfter is decrease after an observation, for a surplus of factor times the least one.
func (s *service) decreaseAfter(observation time.Duration, factor int, now time.Time) []Order {
	if now.Sub(s.steadySince) < observation {
		return nil
	}
	needed := s.greatestNeed(observation, now)
	want, least := s.targetsFor(needed), factor*s.minSurplus(needed)
	onDemand, spot := s.count(false), s.count(true)
	reason := fmt.Sprintf("at most %d servers were needed for %s with a reserve of %d, %d on-demand and %d spot servers serve", want.onDemand, observation, want.reserve, onDemand, spot)
	surplus := onDemand + spot - want.total()
	switch {
	case surplus >= least && onDemand-want.onDemand >= least:
		return s.remove(false, min(surplus, onDemand-want.onDemand), want.onDemand, reason, now)
	case surplus >= least && spot > 0:
		return s.remove(true, min(surplus, spot), want.reserve, reason, now)
	case onDemand-want.onDemand >= least && spot < want.reserve:
		return s.place(true, min(onDemand-want.onDemand, want.reserve-spot), want.reserve, reason, now)
	}
	return nil
}

// greatestNeed returns the greatest need of an observation.
func (s *service) greatestNeed(observation time.Duration, now time.Time) int {
	greatest := 0
	for _, n := range s.needs {
		if now.Sub(n.at) <= observation {
			greatest = max(greatest, n.servers)
		}
	}
	return greatest
}

// minSurplus returns the least surplus that a decrease removes.
func (s *service) minSurplus(needed int) int {
	return max(s.config.MinSurplus, int(math.Ceil(s.config.MinSurplusShare*float64(needed))))
}

// settled reports whether the registry shows the result of all orders.
func (s *service) settled() bool {
	for _, f := range s.fleets {
		if f.inFlight || f.coming > 0 || f.releasing > 0 || len(f.leaving) > 0 || len(f.missing) > 0 {
			return false
		}
	}
	return true
}
