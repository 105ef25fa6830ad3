package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

const (
	testService  = "llm"
	testSlots    = 8
	testStep     = 250 * time.Millisecond // between two plans
	testPeriod   = 4 * time.Second        // of a trainer
	testDue      = 7500 * time.Millisecond
	testLag      = time.Second // of the registry
	testPerToken = 670 * time.Microsecond
	testTrainers = 4
	// roundRetention is how long rounds that ended can be read.
	roundRetention = 2 * time.Minute
)

var testScale = deployment.Scale{
	Min: 1, Max: 30, StartUp: 4 * time.Second, SpotPrice: 0.22, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
}

// testServer is a server of the platform.
type testServer struct {
	deployment.Server
	servesFrom, goneAt time.Time // zero goneAt: stays
	expired            bool      // its entry in the registry expired
}

// world plays a platform and its trainers. Servers work on open rounds, oldest first, at
// one second of work for each slot and second.
type world struct {
	t        *testing.T
	planner  *Planner
	now      time.Time
	servers  []*testServer
	registry [][]deployment.Server // of the last steps, the oldest is delivered
	ordered  map[Key]int           // number that the platform has for a kind
	rounds   []Round
	tokens   float64 // in a round of one trainer
	// draw returns the tokens of the next round, if they vary.
	draw    func() float64
	started int
	// outcome returns the outcome of an order, and whether it is carried out now.
	outcome func(Order) (Outcome, bool)
	// outage of the store; other load that is not measured
	outage, unmeasured bool
	// unreadSince is the time since which rounds and results are not read, and read are the
	// rounds as of then.
	unreadSince time.Time
	read        []Round
	orders      []Order
	lateness    time.Duration // longest time from the submission of a round to its end
}

// newWorld returns a world with 44 on-demand servers and the given number of items, of 1,000
// tokens, in the rounds of one period.
func newWorld(t *testing.T, items int) *world {
	w := &world{t: t, planner: New(Defaults()), now: time.Unix(1000, 0), ordered: make(map[Key]int), tokens: float64(items) * 1000 / testTrainers}
	w.outcome = accept
	w.add(Key{testService, "a", false}, 15, w.now)
	w.add(Key{testService, "b", false}, 15, w.now)
	w.add(Key{testService, "c", false}, 14, w.now)
	return w
}

func accept(Order) (Outcome, bool) { return Accepted, true }

func (w *world) add(key Key, n int, from time.Time) {
	for range n {
		w.started++
		s := deployment.Server{ID: fmt.Sprintf("s%d", w.started), Service: testService, DataCentre: key.DataCentre, Spot: key.Spot, Slots: testSlots}
		w.servers = append(w.servers, &testServer{Server: s, servesFrom: from})
	}
	w.ordered[key] += n
}

// remove lets servers leave that the filter selects, at most n.
func (w *world) remove(n int, leavesAt time.Time, filter func(*testServer) bool) {
	for _, s := range w.servers {
		if n > 0 && !s.Leaving && filter(s) {
			s.Leaving, s.goneAt, s.LeavesAt = true, leavesAt, leavesAt
			w.ordered[keyOf(&s.Server)]--
			n--
		}
	}
}

// carryOut changes the number of servers to that of an order.
func (w *world) carryOut(o Order) {
	change := o.Count - w.ordered[o.Key]
	if change > 0 {
		w.add(o.Key, change, w.now.Add(testScale.StartUp))
		return
	}
	w.remove(-change, w.now.Add(time.Second), func(s *testServer) bool { return keyOf(&s.Server) == o.Key })
}

// reclaim takes all spot servers of a data centre away in 2 s.
func (w *world) reclaim(dataCentre string) {
	w.remove(len(w.servers), w.now.Add(2*time.Second), func(s *testServer) bool { return s.Spot && s.DataCentre == dataCentre })
}

// play advances by a number of steps.
func (w *world) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testStep) {
		w.submit()
		w.work()
		w.plan()
		w.forget()
	}
}

// submit submits a round of each trainer, one second apart.
func (w *world) submit() {
	for i := range testTrainers {
		if w.now.Sub(time.Unix(1000, 0))%testPeriod == time.Duration(i)*time.Second && w.tokens > 0 {
			if w.draw != nil {
				w.tokens = w.draw()
			}
			w.rounds = append(w.rounds, Round{Trainer: fmt.Sprint(i), Submitted: w.now, Due: testDue, Tokens: w.tokens, Open: w.tokens})
		}
	}
}

// forget removes the rounds that ended long ago.
func (w *world) forget() {
	w.rounds = slices.DeleteFunc(w.rounds, func(r Round) bool { return r.Open == 0 && w.now.Sub(r.Submitted) > roundRetention })
}

// work works on the open rounds and records when they end.
func (w *world) work() {
	capacity := 0.0
	for _, s := range w.servers {
		if w.now.Before(s.servesFrom) || !s.goneAt.IsZero() && !w.now.Before(s.goneAt) {
			continue
		}
		capacity += testSlots * testStep.Seconds() / testPerToken.Seconds()
	}
	for i := range w.rounds {
		r := &w.rounds[i]
		done := min(r.Open, capacity)
		capacity -= done
		if r.Open > 0 {
			w.lateness = max(w.lateness, w.now.Add(testStep).Sub(r.Submitted))
		}
		r.Open -= done
	}
}

// plan registers the servers, plans, and carries out the orders.
func (w *world) plan() {
	var list []deployment.Server
	for _, s := range w.servers {
		if !s.expired && !w.now.Before(s.servesFrom) && (s.goneAt.IsZero() || w.now.Before(s.goneAt)) {
			list = append(list, s.Server)
		}
	}
	w.registry = append(w.registry, list)
	if len(w.registry) > int(testLag/testStep) {
		w.registry = w.registry[1:]
	}
	rounds := w.rounds
	if !w.unreadSince.IsZero() {
		rounds = w.read
	}
	in := Input{Now: w.now, Services: []Service{{
		Name: testService, Scale: testScale, Slots: testSlots, Servers: w.registry[0],
		Demand: Demand{Rounds: rounds, EndedTokens: 1e6, EndedTime: 1e6 * testPerToken, Unmeasured: w.unmeasured},
	}}}
	if !w.unreadSince.IsZero() {
		in.DemandAge = w.now.Sub(w.unreadSince)
	}
	if w.outage {
		in.RegistryAge = time.Minute
	}
	for _, o := range w.planner.Plan(in) {
		w.t.Logf("%s %+v", w.now.Sub(time.Unix(1000, 0)), o)
		w.orders = append(w.orders, o)
		outcome, carriedOut := w.outcome(o)
		if carriedOut {
			w.carryOut(o)
		}
		w.planner.Record(o, outcome, w.now)
	}
	if len(w.orders) > 0 {
		w.checkBounds()
	}
}

func (w *world) checkBounds() {
	for dataCentre := range testScale.Prices {
		n := w.countIf(func(s *testServer) bool { return s.DataCentre == dataCentre })
		must.Between(w.t, testScale.Min, n, testScale.Max, must.Sprint(dataCentre))
	}
}

// count returns the number of servers of one kind that are not leaving.
func (w *world) count(spot bool) int {
	return w.countIf(func(s *testServer) bool { return s.Spot == spot })
}

func (w *world) countIf(filter func(*testServer) bool) int {
	n := 0
	for _, s := range w.servers {
		if !s.Leaving && filter(s) {
			n++
		}
	}
	return n
}

// wanted returns the number of servers that the need and its reserve require.
func (w *world) wanted() int {
	s := w.planner.services[testService]
	return s.targetsFor(s.need.servers).total()
}

// settle plays a usual day until the pool has its reserve of spot servers.
func (w *world) settle() {
	w.play(2 * time.Minute)
	must.Positive(w.t, w.count(true))
	w.orders, w.lateness = nil, 0
}
