// Package pool decides how many backend servers of a service each data centre has, and of
// which kind.
//
// It is designed for synchronous trainers on servers that are billed per second. Each of
// some trainers submits a round of items about every 4 s and waits for most of it; a group
// that is late costs its trainer far more than a server costs. Spot servers are cheap, and
// the platform reclaims all of those in a data centre at once with 2 to 3 s of notice, also
// in the middle of a round, and has none there for some 10 s. Demand doubles on some days
// and is low on others.
//
// Orders may be refused, lost or carried out late, and what was ordered cannot be read back.
// The registry shows the result, late, and loses entries while the store is unavailable. An
// order names an absolute number, so a number that is too low drains servers.
//
// The package has no I/O and no clock.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Config holds the parameters of a Planner.
type Config struct {
	// RoundShare is the share of a trainer's period within which the work of its rounds is
	// to end. The rest is left for stragglers and for the training itself.
	RoundShare float64
	// Headroom is the factor for what estimates of work do not cover.
	Headroom float64
	// ReserveShare is the number of spot servers as a share of the servers needed.
	ReserveShare float64
	// ArrivalLag is the time, after the start-up time, until ordered servers are registered
	// and have loaded their weights.
	ArrivalLag time.Duration
	// MaxRegistryAge is the age of the registry from which nothing is ordered, and that of
	// the demand from which nothing is removed or ordered for open work. Settle is
	// how long it must have been read again before something is: entries that expired in an
	// outage are renewed in that time.
	MaxRegistryAge time.Duration
	Settle         time.Duration
	// LateWindow is how long after a call without a response the call may be executed.
	LateWindow time.Duration
	// LossHold is how long a data centre that lost servers, or did not deliver, is avoided.
	LossHold time.Duration
	// MissingRetention is how long servers that are missing without a known cause, and
	// ordered numbers, count as what may be there.
	MissingRetention time.Duration
	// A decrease requires an observation of ObservedPeriods, at least MinObservation, and
	// IdleObservation if there is no round.
	ObservedPeriods int
	MinObservation  time.Duration
	IdleObservation time.Duration
	// MaxDecrease is the largest share of the servers that one decrease removes.
	MaxDecrease float64
	// MinSurplus is the least surplus that a decrease removes, and MinSurplusShare the least
	// one as a share of the servers needed: the need varies with the sizes of rounds. A surplus
	// below twice as many must have been observed for SmallObservation.
	MinSurplus       int
	MinSurplusShare  float64
	SmallObservation time.Duration
	// MinBackoff is the time before a refused order is repeated. It doubles up to
	// MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		RoundShare: 0.5, Headroom: 1.2, ReserveShare: 0.25,
		ArrivalLag: 3 * time.Second, MaxRegistryAge: 2 * time.Second, Settle: 3 * time.Second, // above two heartbeats of a server
		LateWindow: 10 * time.Second, LossHold: 10 * time.Second, MissingRetention: time.Minute,
		ObservedPeriods: 5, MinObservation: 20 * time.Second, IdleObservation: time.Minute,
		MaxDecrease: 0.125, MinSurplus: 2, MinSurplusShare: 0.2, SmallObservation: time.Minute,
		MinBackoff: 500 * time.Millisecond, MaxBackoff: 2 * time.Second, // half of a round
	}
}

// Key identifies the servers of one kind that a service has in a data centre.
type Key struct {
	Service    string
	DataCentre string
	Spot       bool
}

// otherKind returns the key of the other kind in the same data centre.
func (k Key) otherKind() Key {
	k.Spot = !k.Spot
	return k
}

// Kind returns the name of the kind of server.
func (k Key) Kind() string {
	if k.Spot {
		return "spot"
	}
	return "on-demand"
}

// compare orders keys by service, data centre and kind, on-demand servers first.
func (k Key) compare(other Key) int {
	spot := func(k Key) int {
		if k.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.DataCentre, other.DataCentre), cmp.Compare(spot(k), spot(other)))
}

// Order orders a number of servers.
type Order struct {
	Key
	Count int
	// Change is the difference that the order is meant to make.
	Change int
	Reason string
}

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	Unknown    Outcome = iota // there was no response; the order may be carried out late
	Accepted                  // the platform accepted the order
	Refused                   // the order was not sent, or refused
	NoCapacity                // the platform has no such servers there at the moment
)

func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "refused", "no-capacity"}[o]
}

// Input is the state on which a plan depends.
type Input struct {
	Now time.Time
	// RegistryAge is the time since the registry was last read to its end.
	RegistryAge time.Duration
	// DemandAge is the age of the oldest of the partitions with jobs, each as it was last
	// read to its end. Rounds and results that are newer may be missing from the demand.
	DemandAge time.Duration
	Services  []Service
}

// Service is a service whose number of servers can be changed.
type Service struct {
	Name  string
	Scale deployment.Scale
	// Slots is the declared number of items that a server runs concurrently, which is used
	// while no server is registered.
	Slots   int
	Servers []deployment.Server // registered servers
	Demand  Demand
}

// slots returns the number of items that the servers run concurrently, without those that
// are leaving.
func (s *Service) slots() float64 {
	slots := 0
	for i := range s.Servers {
		if !s.Servers[i].Leaving {
			slots += s.Servers[i].Slots
		}
	}
	return float64(slots)
}

// slotsPerServer returns the mean number of items that a server runs concurrently.
func (s *Service) slotsPerServer() float64 {
	slots := 0
	for i := range s.Servers {
		slots += s.Servers[i].Slots
	}
	if slots == 0 {
		return float64(max(s.Slots, 1))
	}
	return float64(slots) / float64(len(s.Servers))
}

// Planner plans the number of servers during one tenure of the holder. It is not safe for
// concurrent use.
type Planner struct {
	config   Config
	services map[string]*service
	// restored holds the orders of former holders until the first plan for their service.
	restored []restoredOrder
	// freshSince is the time since which the registry was read without a break; zero if it
	// is outdated.
	freshSince time.Time
}

// New returns a Planner that knows of no orders.
func New(config Config) *Planner {
	return &Planner{config: config, services: make(map[string]*service)}
}

// Restore records the newest order of a former holder for some servers, whose outcome is
// Accepted or Unknown and which was stored at least age ago. It precedes the first call of
// Plan.
func (p *Planner) Restore(o Order, age time.Duration) {
	p.restored = append(p.restored, restoredOrder{Order: o, age: age})
}

// restoredOrder is an order of a former holder.
type restoredOrder struct {
	Order
	age time.Duration
}

// Plan returns the orders to send now. The outcome of each must be passed to Record; until
// then, there is no other order for the same servers.
func (p *Planner) Plan(in Input) []Order {
	if in.RegistryAge > p.config.MaxRegistryAge {
		p.freshSince = time.Time{}
		return nil
	}
	if p.freshSince.IsZero() {
		p.freshSince = in.Now
	}
	var orders []Order
	for i := range in.Services {
		current := &in.Services[i]
		s := p.service(current, in.Now)
		complete := in.DemandAge <= p.config.MaxRegistryAge
		s.observe(current, in.Now)
		s.updateNeed(current, complete, in.Now)
		if !complete {
			s.steadySince = in.Now
		}
		if in.Now.Sub(p.freshSince) < p.config.Settle {
			s.steadySince = in.Now
			continue
		}
		more := s.increase(in.Now)
		if len(more) == 0 {
			more = s.decrease(in.Now)
		}
		orders = append(orders, more...)
	}
	return orders
}

// Record records the outcome of an order that Plan returned.
func (p *Planner) Record(o Order, outcome Outcome, now time.Time) {
	s := p.services[o.Service]
	if s == nil {
		return
	}
	s.fleet(o.Key).recordOutcome(o, outcome, now)
	if outcome != Accepted {
		s.steadySince = now
	}
}

// Level has the number of servers of one key.
type Level struct {
	Key
	Wanted, Serving, Coming, Missing int
}

// Levels returns the numbers of servers after the last plan, in the order of their keys.
func (p *Planner) Levels() []Level {
	var levels []Level
	for _, s := range p.services {
		for _, f := range s.fleets {
			levels = append(levels, Level{Key: f.key, Wanted: f.expected() - f.releasing, Serving: len(f.serving), Coming: f.coming, Missing: len(f.missing)})
		}
	}
	slices.SortFunc(levels, func(x, y Level) int { return x.compare(y.Key) })
	return levels
}

// service returns the state of a service, creating it with the orders of former holders.
func (p *Planner) service(current *Service, now time.Time) *service {
	s := p.services[current.Name]
	if s != nil {
		return s
	}
	s = &service{config: p.config, fleets: make(map[Key]*fleet), steadySince: now}
	p.services[current.Name] = s
	s.scale = current.Scale
	for _, server := range current.Servers {
		if f := s.fleet(keyOf(&server)); !server.Leaving {
			f.serving[server.ID] = true
		}
	}
	for _, o := range p.restored {
		if o.Service == current.Name {
			s.fleet(o.Key).restore(o.Order, o.age, now)
		}
	}
	return s
}

func keyOf(s *deployment.Server) Key {
	return Key{Service: s.Service, DataCentre: s.DataCentre, Spot: s.Spot}
}
