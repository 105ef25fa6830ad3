package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

const (
	simObjective = 150 * time.Millisecond
	simService   = 25 * time.Millisecond // a server with 6 slots answers 240 requests a second
	simQueue     = 12                    // a server refuses requests beyond this number of waiting ones
	simClaimWay  = 20 * time.Millisecond // until hosts have read a claim
)

// simServer has the times at which its slots are free.
type simServer struct {
	deployment.Server
	free   []time.Duration
	factor float64 // of simService
	cut    bool    // unreachable from other data centres
}

// take returns how long a request takes that is sent at a time, and false if the server
// is full.
func (s *simServer) take(at time.Duration) (time.Duration, bool) {
	first, waiting := 0, 0
	for i, f := range s.free {
		if f < s.free[first] {
			first = i
		}
		waiting += int(max(f-at, 0) / simService)
	}
	if waiting >= simQueue+len(s.free) {
		return 0, false
	}
	s.free[first] = max(s.free[first], at) + time.Duration(s.factor*float64(simService))
	return s.free[first] - at, true
}

// simZone is a data centre with one host.
type simZone struct {
	name     string
	balancer *Balancer
	gate     *spill.Gate
	rate     func(at time.Duration) float64 // requests per second
	asked    int
	inTime   int
	rises    int // changes of the share from 0
}

// simWorld plays requests in steps of a millisecond.
type simWorld struct {
	random  *rand.Rand
	servers []simServer
	zones   []*simZone
	events  map[time.Duration][]func(now time.Time)
	left    map[[2]string]map[int]int // requests by from, to and second
}

// newSimWorld returns a world with one server in each zone.
func newSimWorld(rates ...func(time.Duration) float64) *simWorld { return newSimWorldOf(1, rates...) }

// newSimWorldOf returns a world in which each zone has a number of servers with 6 slots in
// total.
func newSimWorldOf(perZone int, rates ...func(time.Duration) float64) *simWorld {
	w := &simWorld{random: rand.New(rand.NewPCG(1, 2)), events: make(map[time.Duration][]func(time.Time)), left: make(map[[2]string]map[int]int)}
	for i, rate := range rates {
		name := string(rune('a' + i))
		slots := 6 / perZone
		for k := range perZone {
			w.servers = append(w.servers, simServer{Server: deployment.Server{ID: fmt.Sprint("s", name, k), DataCentre: name, Slots: slots}, free: make([]time.Duration, slots), factor: 1})
		}
		w.zones = append(w.zones, &simZone{name: name, balancer: New(Defaults()), gate: spill.NewGate(spill.Defaults()), rate: rate})
	}
	return w
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (w *simWorld) run(duration time.Duration) {
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		now := testTime.Add(at)
		for _, event := range w.events[at] {
			event(now)
		}
		delete(w.events, at)
		for _, z := range w.zones {
			if w.random.Float64() < z.rate(at)/1000 {
				z.asked++
				w.send(z, at, at, make(map[string]bool))
			}
		}
	}
}

func (w *simWorld) after(at, delay time.Duration, event func(now time.Time)) {
	due := (at + max(delay, time.Millisecond)).Truncate(time.Millisecond)
	w.events[due] = append(w.events[due], event)
}

// send sends a request that began at a time, and again after a refusal or a failure.
func (w *simWorld) send(z *simZone, began, at time.Duration, tried map[string]bool) {
	list := make([]deployment.Server, len(w.servers))
	for i := range w.servers {
		list[i] = w.servers[i].Server
	}
	now, before := testTime.Add(at), z.gate.Share("app")
	choice := z.balancer.ChooseWithSpillover(list, z.name, tried, nil, Spillover{Gate: z.gate, Service: "app", Key: w.random.Uint64(), Objective: simObjective, Bytes: 2500}, now)
	if before == 0 && z.gate.Share("app") > 0 {
		z.rises++
	}
	if c := choice.Claim; c != nil {
		w.after(at, simClaimWay, func(now time.Time) {
			for _, reader := range w.zones {
				reader.gate.Directions.Apply(*c, now)
			}
		})
	}
	if choice.Server == nil {
		return
	}
	server := &w.servers[slices.IndexFunc(w.servers, func(s simServer) bool { return s.ID == choice.Server.ID })]
	tried[server.ID] = true
	remote := server.DataCentre != z.name
	if remote {
		z.gate.RecordStart(server.DataCentre, now)
		key := [2]string{z.name, server.DataCentre}
		if w.left[key] == nil {
			w.left[key] = make(map[int]int)
		}
		w.left[key][int(at/time.Second)]++
	}
	z.balancer.RecordSent(&server.Server, false)
	took, ok := time.Duration(0), false
	result := Failure
	if !remote || !server.cut {
		result = Full
		if took, ok = server.take(at); ok {
			result = Answered
		}
	} else {
		took = 300 * time.Millisecond
	}
	w.after(at, took, func(now time.Time) {
		z.balancer.RecordResult(&server.Server, result, took, now)
		if remote {
			z.gate.RecordSend(server.DataCentre, result != Failure, now)
		}
		if result != Answered {
			w.send(z, began, at+max(took, time.Millisecond), tried)
		} else if at+took-began <= simObjective {
			z.inTime++
		}
	})
}

func (w *simWorld) leftFrom(zone string, fromSecond int) int {
	n := 0
	for key, seconds := range w.left {
		for second, count := range seconds {
			if key[0] == zone && second >= fromSecond {
				n += count
			}
		}
	}
	return n
}

func (z *simZone) share() float64 { return float64(z.inTime) / float64(z.asked) }

// Guards against callers who wait or are refused while another data centre has room, for
// each zone that may be short, and against work that leaves while there is no shortage.
func TestShortZoneSendsWhatItCannotServe(t *testing.T) {
	for short := range 3 {
		rates := []func(time.Duration) float64{steady(40), steady(40), steady(40)}
		rates[short] = steady(360)
		w := newSimWorld(rates...)
		w.run(20 * time.Second)
		for i, z := range w.zones {
			must.Greater(t, 0.9, z.share(), must.Sprintf("zone %s while %d is short", z.name, short))
			if i != short {
				must.EqOp(t, 0, w.leftFrom(z.name, 0))
			}
		}
		left := w.leftFrom(w.zones[short].name, 0)
		must.Between(t, 120*20*9/10, left, 20*240, must.Sprint("what a server of 240 a second cannot serve leaves, but no more than that twice"))
	}
}

// Guards against two short data centres that send to each other in place of serving.
func TestShortZonesDoNotExchange(t *testing.T) {
	for _, perZone := range []int{1, 2, 3} {
		for _, rate := range []float64{300, 480} {
			w := newSimWorldOf(perZone, steady(rate), steady(rate))
			w.run(20 * time.Second)
			for second := range 20 {
				ab, ba := w.left[[2]string{"a", "b"}][second], w.left[[2]string{"b", "a"}][second]
				must.True(t, ab == 0 || ba == 0, must.Sprintf("%d servers in each zone, %.0f requests a second: %d and %d in second %d", perZone, rate, ab, ba, second))
			}
		}
	}
}

// Guards against a share that swings while the load swings around the capacity, and
// against one that stays after the load has fallen.
func TestShareDoesNotSwing(t *testing.T) {
	w := newSimWorld(func(at time.Duration) float64 {
		switch {
		case at > 20*time.Second:
			return 40
		case at/time.Second%2 == 0:
			return 220
		}
		return 260
	}, steady(40))
	w.run(30 * time.Second)
	must.LessEq(t, 4, w.zones[0].rises, must.Sprint("at most one rise in 5 s"))
	must.EqOp(t, 0, w.leftFrom("a", 25))
	must.Greater(t, 0.9, w.zones[0].share())
}

// Guards against callers who are kept at a slow local server while another data centre
// answers fast.
func TestSlowLocalServerIsLeft(t *testing.T) {
	for slow := range 2 {
		w := newSimWorld(steady(20), steady(20))
		w.servers[slow].factor = 8 // 200 ms
		w.run(20 * time.Second)
		must.Greater(t, 0.75, w.zones[slow].share())
		must.Greater(t, 0.99, w.zones[1-slow].share())
	}
}

// Guards against requests that are sent again and again to a data centre that is cut off.
func TestUnreachableDataCentreIsAvoided(t *testing.T) {
	w := newSimWorld(steady(300), steady(40))
	w.servers[1].cut = true
	w.run(20 * time.Second)
	must.Less(t, w.zones[0].asked/100, w.leftFrom("a", 0))
	must.Greater(t, 0.99, w.zones[1].share())
}

// Guards against a data centre that gets nothing for a second because its server with the
// best score has refused a request.
func TestOneRefusalDoesNotHideADataCentre(t *testing.T) {
	balancer, gate := New(Defaults()), spill.NewGate(spill.Defaults())
	list := servers("a", "b", "b", "b")
	for i := 2; i < len(list); i++ {
		balancer.RecordSent(&list[i], false)
	}
	for i := range 2 { // the local server, and an idle one elsewhere that was full
		balancer.RecordSent(&list[i], false)
		balancer.RecordResult(&list[i], Full, time.Millisecond, testTime.Add(-200*time.Millisecond))
	}
	in := Spillover{Gate: gate, Service: "app", Objective: simObjective, Bytes: 2500}
	choice := balancer.ChooseWithSpillover(list, "a", map[string]bool{list[0].ID: true}, nil, in, testTime)
	must.EqOp(t, spill.Verdict{DataCentre: "b", Reason: spill.Full}, choice.Verdict)
	must.EqOp(t, list[2].ID, choice.Server.ID)
}

// Guards against the work of evaluating other data centres while nothing may leave.
func TestOtherDataCentresAreEvaluatedOnlyUnderPressure(t *testing.T) {
	balancer, gate := New(Defaults()), spill.NewGate(spill.Defaults())
	list, evaluated := servers("a", "b", "c"), 0
	state := func(s *deployment.Server) ratelimit.State {
		if s.DataCentre != "a" {
			evaluated++
		}
		return ratelimit.Unlimited
	}
	in := Spillover{Gate: gate, Service: "app", Objective: simObjective}
	choice := balancer.ChooseWithSpillover(list, "a", nil, state, in, testTime)
	must.EqOp(t, spill.Verdict{Reason: spill.InTime}, choice.Verdict)
	must.EqOp(t, "a", choice.Server.DataCentre)
	must.EqOp(t, 0, evaluated)
	balancer.RecordSent(&list[0], false)
	balancer.RecordResult(&list[0], Answered, 3*simObjective, testTime)
	balancer.ChooseWithSpillover(list, "a", nil, state, in, testTime)
	must.EqOp(t, 2, evaluated)
}

// Guards against requests that are refused although another data centre has room, because
// the cost and the margin exceed what a tight objective leaves, and against none that asks
// for the direction.
func TestRefusedRequestLeavesWhateverItsObjective(t *testing.T) {
	for _, objective := range []time.Duration{25, 40, 110, 150} {
		balancer := New(Defaults())
		list := servers("a", "b")
		balancer.RecordSent(&list[1], false)
		balancer.RecordResult(&list[1], Answered, 100*time.Millisecond, testTime)
		balancer.RecordSent(&list[0], false)
		balancer.RecordResult(&list[0], Full, time.Millisecond, testTime)
		tried := map[string]bool{list[0].ID: true}
		for _, open := range []bool{true, false} {
			in := Spillover{Gate: spill.NewGate(spill.Defaults()), Service: "app", Objective: objective * time.Millisecond, Bytes: 2500}
			if !open {
				in.Gate.Directions.Apply(spill.Claim{Service: "app", From: "b", To: "a", Number: 1}, testTime.Add(-time.Minute))
			}
			choice := balancer.ChooseWithSpillover(list, "a", tried, nil, in, testTime)
			must.EqOp(t, open, choice.Server != nil, must.Sprintf("objective %d ms", objective))
			must.EqOp(t, open, choice.Verdict.Reason == spill.Full, must.Sprintf("objective %d ms", objective))
			must.NotNil(t, choice.Claim)
		}
	}
}

// Guards against streams that leave because they are long.
func TestLongStreamsStay(t *testing.T) {
	balancer, gate := New(Defaults()), spill.NewGate(spill.Defaults())
	list := servers("a", "b")
	for range 5 {
		balancer.RecordSent(&list[0], false)
		balancer.RecordResult(&list[0], Answered, 3*time.Second, testTime)
	}
	in := Spillover{Gate: gate, Service: "app", Objective: simObjective, Stream: true}
	must.EqOp(t, "a", balancer.ChooseWithSpillover(list, "a", nil, nil, in, testTime).Server.ID)
	in.Stream = false
	must.EqOp(t, "b", balancer.ChooseWithSpillover(list, "a", nil, nil, in, testTime).Server.ID)
}

// Guards against other choices than those without spillover where all servers are local.
func TestSpilloverChangesNothingWithinDataCentre(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	balancer, gate := New(Defaults()), spill.NewGate(spill.Defaults())
	list := servers("near", "near", "near")
	for i := range 2000 {
		now := testTime.Add(time.Duration(i) * 7 * time.Millisecond)
		s := &list[random.IntN(len(list))]
		balancer.RecordSent(s, false)
		if random.IntN(4) > 0 {
			balancer.RecordResult(s, Result(random.IntN(5)), time.Duration(random.IntN(300))*time.Millisecond, now)
		}
		tried := map[string]bool{list[random.IntN(len(list))].ID: random.IntN(2) == 0}
		with := balancer.ChooseWithSpillover(list, "near", tried, nil, Spillover{Gate: gate, Service: "app"}, now)
		must.Eq(t, balancer.Choose(list, "near", tried, nil, now), with.Selection)
	}
}

// BenchmarkSpillover measures one decision among the servers of a service in 16 data
// centres.
func BenchmarkSpillover(b *testing.B) {
	list := make([]deployment.Server, 320)
	for i := range list {
		list[i] = deployment.Server{ID: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 16), Slots: 6}
	}
	balancer := New(Defaults())
	b.Run("off", func(b *testing.B) {
		for b.Loop() {
			balancer.Choose(list, "0", nil, nil, testTime)
		}
	})
	in := Spillover{Gate: spill.NewGate(spill.Defaults()), Service: "app", Objective: simObjective}
	b.Run("on", func(b *testing.B) {
		for b.Loop() {
			balancer.ChooseWithSpillover(list, "0", nil, nil, in, testTime)
		}
	})
}
