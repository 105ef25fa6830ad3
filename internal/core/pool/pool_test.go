package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Guards against a decrease, and against further on-demand servers, before a usual day was
// observed.
func TestUsualDayBeginsWithTheServersThatAreThere(t *testing.T) {
	w := newWorld(t, 680)
	w.play(Defaults().MinObservation)
	must.EqOp(t, 44, w.count(false))
	must.LessEq(t, testDue, w.lateness)
}

// Guards against servers that stay idle on a quiet day, against a decrease below what rounds
// need, and against a number that changes while the demand does not.
func TestQuietDayReleasesServersAndThenRests(t *testing.T) {
	w := newWorld(t, 340)
	w.play(2 * time.Minute)
	must.Less(t, 30, w.count(false)+w.count(true))
	must.LessEq(t, testDue, w.lateness)
	w.orders = nil
	w.play(5 * time.Minute)
	must.SliceEmpty(t, w.orders)
	must.LessEq(t, testDue, w.lateness)
}

// Guards against a number of servers that follows the random sizes of rounds while their mean
// stays the same.
func TestRoundsOfVaryingSizeChangeLittle(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(t, 680)
		w.draw = func() float64 {
			tokens := 0.0
			for range 100 + random.IntN(71) {
				tokens += 1000 * (0.3 + 0.7*random.ExpFloat64())
			}
			return tokens
		}
		w.settle()
		w.play(20 * time.Minute)
		must.LessEq(t, 5, len(w.orders), must.Sprintf("seed %d", seed))
		must.LessEq(t, testDue, w.lateness, must.Sprintf("seed %d", seed))
	}
}

// Guards against a service without jobs that keeps its servers, and against one that falls
// below the minimum.
func TestIdleServiceKeepsTheMinimum(t *testing.T) {
	w := newWorld(t, 0)
	w.play(Defaults().IdleObservation)
	must.SliceEmpty(t, w.orders)
	w.play(4 * time.Minute)
	must.EqOp(t, 3, w.count(false)+w.count(true))
}

// Guards against rounds that are late because of servers when the demand doubles.
func TestDoubledDemandIsServedInTime(t *testing.T) {
	for name, w := range map[string]*world{"usual": newWorld(t, 680), "quiet": newWorld(t, 340)} {
		w.settle()
		before := w.count(false)
		w.tokens *= 2
		w.play(40 * time.Second)
		must.LessEq(t, testDue, w.lateness, must.Sprint(name))
		must.Greater(t, before, w.count(false), must.Sprint(name))
	}
}

// Guards against rounds that are late after a reclaim in their middle, and against a reserve
// that is not replaced at once or is ordered where there is none. In the second case, no
// data centre has servers for 10 s.
func TestReclaimInTheMiddleOfARound(t *testing.T) {
	for _, dry := range []bool{false, true} {
		w := newWorld(t, 680)
		w.settle()
		least := w.wanted()
		const reclaimed = "b" // the cheapest one has half of the reserve
		w.play(testPeriod / 2)
		at := w.now
		w.outcome = func(o Order) (Outcome, bool) {
			if w.now.Sub(at) < 10*time.Second && (dry || o.DataCentre == reclaimed) {
				return NoCapacity, false
			}
			return Accepted, true
		}
		w.reclaim(reclaimed)
		w.play(10 * time.Second)
		must.LessEq(t, testDue, w.lateness)
		if !dry {
			must.GreaterEq(t, least, w.count(false)+w.count(true))
			must.False(t, slices.ContainsFunc(w.orders, func(o Order) bool { return o.DataCentre == reclaimed }))
		}
		must.Less(t, 30, len(w.orders), must.Sprint("orders were repeated without a backoff"))
		w.play(10 * time.Second)
		must.GreaterEq(t, least, w.count(false)+w.count(true))
		must.LessEq(t, testDue, w.lateness)
	}
}

// Guards against an order that is lost, with or without a response, and is never repeated,
// and against one that is repeated in the same data centre while others have room.
func TestLostOrderIsRepeatedElsewhere(t *testing.T) {
	for _, response := range []Outcome{Accepted, Unknown} {
		w := newWorld(t, 680)
		w.settle()
		first := ""
		w.outcome = func(o Order) (Outcome, bool) {
			if first == "" {
				first = o.DataCentre
			}
			if o.DataCentre == first {
				return response, false
			}
			return Accepted, true
		}
		w.tokens *= 1.5
		w.play(30 * time.Second)
		must.LessEq(t, testDue, w.lateness)
		must.Greater(t, 50, w.count(false))
	}
}

// Guards against an order that is carried out after newer ones with a higher number, and
// drains servers that rounds need.
func TestOrderCarriedOutLateDoesNoHarm(t *testing.T) {
	w := newWorld(t, 680)
	w.settle()
	var late []Order
	w.outcome = func(o Order) (Outcome, bool) {
		if len(late) < 2 {
			late = append(late, o)
			return Unknown, false
		}
		return Accepted, true
	}
	w.tokens *= 1.4
	w.play(5 * time.Second)
	w.tokens *= 1.3
	w.play(4 * time.Second)
	must.SliceLen(t, 2, late)
	before := w.count(false)
	for _, o := range late {
		w.carryOut(o)
	}
	must.GreaterEq(t, before, w.count(false), must.Sprint("a late order drained servers"))
	w.play(30 * time.Second)
	must.LessEq(t, testDue, w.lateness)
}

// Guards against orders by a registry that is outdated or has lost the entries of servers
// that are alive: no order may be lower than what is there, and nothing is ordered while
// the registry is not read.
func TestOutdatedRegistryDrainsNothing(t *testing.T) {
	w := newWorld(t, 680)
	w.settle()
	w.servers = slices.DeleteFunc(w.servers, func(s *testServer) bool { return s.Leaving })
	alive := slices.Clone(w.servers)
	expire := func(expired bool) {
		for i := 0; i < len(alive); i += 4 { // some in each data centre
			alive[i].expired = expired
		}
	}
	w.outage = true
	expire(true)
	w.play(20 * time.Second)
	must.SliceEmpty(t, w.orders)
	w.outage = false
	w.play(6 * time.Second)
	must.Positive(t, len(w.orders))
	must.False(t, slices.ContainsFunc(w.orders, func(o Order) bool { return o.Change <= 0 }))
	expire(false)
	w.play(15 * time.Second)
	for _, s := range alive {
		must.False(t, s.Leaving, must.Sprint("servers were drained"))
	}
}

// Guards against a new holder that orders again what its predecessor ordered a moment ago,
// and against one that never repeats an order that was stored but not sent.
func TestNewHolderContinuesFromStoredOrders(t *testing.T) {
	for _, sent := range []bool{true, false} {
		w := newWorld(t, 680)
		w.settle()
		w.outcome = func(Order) (Outcome, bool) { return Unknown, sent }
		w.tokens *= 1.5
		w.play(testPeriod)
		stored := w.orders
		must.Positive(t, len(stored))
		w.planner, w.orders = New(Defaults()), nil
		w.outcome = accept
		for _, o := range stored {
			w.planner.Restore(o, 0)
		}
		w.play(6 * time.Second)
		must.EqOp(t, 0, len(w.orders), must.Sprintf("sent: %t", sent))
		w.play(20 * time.Second)
		must.EqOp(t, sent, len(w.orders) == 0)
		must.Greater(t, 50, w.count(false))
	}
}

// Guards against a decrease of a service whose other load is not measured.
func TestUnmeasuredServiceKeepsItsServers(t *testing.T) {
	w := newWorld(t, 0)
	w.unmeasured = true
	w.play(2 * Defaults().IdleObservation)
	must.SliceEmpty(t, w.orders)
}

// Guards against a service that lost all servers and is not started again by a new holder.
func TestLostServiceIsStartedAgain(t *testing.T) {
	w := newWorld(t, 680)
	clear(w.ordered)
	w.servers = nil
	w.play(10 * time.Second)
	must.Greater(t, 30, w.count(false))
}

// Guards against work that is late, e.g. after an outage of the store, and counts only once
// although several rounds of a trainer are open.
func TestOpenRoundsAreNeeded(t *testing.T) {
	now := time.Unix(1000, 0)
	needed := func(open float64) int {
		s := &Service{Scale: testScale, Slots: testSlots}
		for i := range 5 {
			submitted := now.Add(time.Duration(i-5) * testPeriod)
			s.Demand.Rounds = append(s.Demand.Rounds, Round{Trainer: "t", Submitted: submitted, Due: testDue, Tokens: 1e5, Open: open})
		}
		return Defaults().needOf(s, true, now).servers
	}
	must.Greater(t, needed(0), needed(1e5))
}

// Guards against servers that are ordered for the work that is open after an outage of the
// store, although the present ones end it before new ones serve. Each further server delays
// the load of the next weight version on the others.
func TestBacklogThatEndsBeforeNewServersServeNeedsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Service{Scale: testScale, Slots: testSlots}
	for range 44 {
		s.Servers = append(s.Servers, deployment.Server{Slots: testSlots})
	}
	perTrainer := 680 / 4 * 14 * 69.0
	for i := range 4 * 3 {
		submitted := now.Add(time.Duration(i/4-3) * testPeriod)
		s.Demand.Rounds = append(s.Demand.Rounds, Round{Trainer: fmt.Sprint(i % 4), Submitted: submitted, Due: testDue, Tokens: perTrainer})
	}
	usual := Defaults().needOf(s, true, now).servers
	for i := range s.Demand.Rounds {
		s.Demand.Rounds[i].Open = s.Demand.Rounds[i].Tokens
	}
	must.EqOp(t, usual, Defaults().needOf(s, true, now).servers)
}

// Guards against servers that are ordered because a host that was cut off read several rounds
// of a trainer within a second, as if it submitted four times as often.
func TestRoundsThatWereReadLateAreNotMoreWork(t *testing.T) {
	now := time.Unix(1000, 0)
	needed := func(readAt ...time.Duration) int {
		s := &Service{Scale: testScale, Slots: testSlots}
		for _, at := range readAt {
			s.Demand.Rounds = append(s.Demand.Rounds, Round{Trainer: "t", Submitted: now.Add(at), Due: testDue, Tokens: 1e5})
		}
		return Defaults().needOf(s, true, now).servers
	}
	usual := needed(-8*time.Second, -4*time.Second, 0)
	must.LessEq(t, usual+1, needed(-1700*time.Millisecond, -900*time.Millisecond, 0))
	afterCut := []time.Duration{-2400 * time.Millisecond, -1600 * time.Millisecond, -800 * time.Millisecond, 0}
	before := []time.Duration{-40 * time.Second, -36 * time.Second, -32 * time.Second, -28 * time.Second, -24 * time.Second, -20 * time.Second}
	must.LessEq(t, usual+1, needed(append(before, afterCut...)...), must.Sprint("rounds before a cut of 16 s are known"))
}

// Guards against servers that are drained, and against ones that are ordered for work that
// has ended, while the partitions with jobs cannot be read but the registry can.
func TestUnreadJobsChangeNothing(t *testing.T) {
	w := newWorld(t, 680)
	w.settle()
	w.play(testStep)
	w.unreadSince, w.read = w.now, slices.Clone(w.rounds)
	must.True(t, slices.ContainsFunc(w.read, func(r Round) bool { return r.Open > 0 }))
	w.play(2 * Defaults().IdleObservation)
	must.SliceEmpty(t, w.orders)
	w.unreadSince = time.Time{}
	w.play(testPeriod)
	must.LessEq(t, testDue, w.lateness)
}

// planOne plans for a service in data centre "a" alone, with a number of on-demand servers
// and a need of 16.
func planOne(p *Planner, scale deployment.Scale, servers int, now time.Time) []Order {
	scale.Prices = map[string]float64{"a": 1}
	current := Service{Name: testService, Scale: scale, Slots: testSlots}
	for i := range servers {
		current.Servers = append(current.Servers, deployment.Server{ID: fmt.Sprint(i), Service: testService, DataCentre: "a", Slots: testSlots})
	}
	current.Demand.Rounds = []Round{{Trainer: "t", Submitted: now, Due: testDue, Tokens: 3e5}}
	return p.Plan(Input{Now: now, Services: []Service{current}})
}

// Guards against orders that exceed the maximum because they repeat the number of an earlier
// order, e.g. one of a former holder that had no effect.
func TestOrdersStayBelowTheMaximum(t *testing.T) {
	now, scale := time.Unix(1000, 0), testScale
	scale.Max = 12
	p := New(Defaults())
	p.Restore(Order{Key: Key{testService, "a", true}, Count: 9, Change: 9}, 0)
	ordered := map[bool]int{false: 10}
	for range 60 * 4 * 3 {
		for _, o := range planOne(p, scale, 10, now) {
			ordered[o.Spot] = o.Count
			must.LessEq(t, scale.Max, ordered[false]+ordered[true], must.Sprintf("%+v", o))
			p.Record(o, Accepted, now)
		}
		now = now.Add(testStep)
	}
}

// Guards against an ordered number that counts again after its time has passed, because a
// later order had no response.
func TestOrderedNumberEndsWithItsTime(t *testing.T) {
	c, now := Defaults(), time.Unix(1000, 0)
	f := &fleet{config: &c, serving: make(map[string]bool)}
	f.recordOutcome(Order{Count: 20}, Accepted, now)
	f.recordOutcome(Order{Count: 5}, Unknown, now.Add(c.MissingRetention/2))
	must.EqOp(t, 20, f.floor(now.Add(c.MissingRetention)))
	f.recordOutcome(Order{Count: 6}, Unknown, now.Add(3*c.MissingRetention))
	must.EqOp(t, 6, f.floor(now.Add(3*c.MissingRetention)))
}

// Guards against a new holder that orders nothing for a minute, because an order of long ago
// counts as what may still be there.
func TestOldOrderOfAFormerHolderBoundsNothing(t *testing.T) {
	now, scale := time.Unix(1000, 0), testScale
	scale.Max = 20
	p := New(Defaults())
	p.Restore(Order{Key: Key{testService, "a", true}, Count: 9, Change: 9}, time.Hour)
	more := 0
	for range int(15 * time.Second / testStep) {
		for _, o := range planOne(p, scale, 10, now) {
			more = max(more, o.Count)
			p.Record(o, Accepted, now)
		}
		now = now.Add(testStep)
	}
	must.Greater(t, 11, more)
}

// Guards against an order of the minimum that drains the servers of a data centre whose
// entries in the registry are gone for longer than missing servers count.
func TestUnregisteredDataCentreKeepsItsServers(t *testing.T) {
	w := newWorld(t, 680)
	w.settle()
	const cut = "c"
	before := w.countIf(func(s *testServer) bool { return s.DataCentre == cut })
	for _, s := range w.servers {
		s.expired = s.DataCentre == cut
	}
	w.play(2 * Defaults().MissingRetention)
	must.GreaterEq(t, before, w.countIf(func(s *testServer) bool { return s.DataCentre == cut }), must.Sprint("servers were drained"))
	must.True(t, slices.ContainsFunc(w.orders, func(o Order) bool { return o.DataCentre != cut && o.Change > 0 }), must.Sprint("not replaced elsewhere"))
}
