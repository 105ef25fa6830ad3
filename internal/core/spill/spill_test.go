package spill

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

var testTime = time.Unix(1000, 0)

// observer is a host that reads claims with a delay.
type observer struct {
	dataCentre string
	directions *Directions
	read       int // claims read
	readAt     time.Time
}

// Guards against two data centres that send to each other: whatever hosts claim, however
// late they read, and whether they followed the log or list what is left of it.
func TestNeverBothDirections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Claim
		removed := make(map[Claim]bool)
		now := testTime
		hosts := []*observer{}
		for _, d := range []string{"a", "a", "b", "b"} {
			hosts = append(hosts, &observer{dataCentre: d, directions: newDirections(Defaults()), readAt: now})
		}
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			for _, h := range hosts {
				switch rapid.IntRange(0, 39).Draw(t, "event") {
				case 0: // restarts and lists the newest claim of each direction
					h.directions, h.read, h.readAt = newDirections(Defaults()), len(log), now
					for i := range log { // a listing may have any order
						if c := log[len(log)-1-i]; !removed[c] {
							h.directions.Apply(c, now)
						}
					}
				case 1, 2, 3, 4, 5, 6, 7, 8, 9: // reads nothing
				case 10, 11:
					if c, ok := h.directions.Want("s", h.dataCentre, other(h.dataCentre), now); ok {
						log = append(log, c)
						for _, o := range h.directions.Obsolete(c) {
							removed[o] = true
						}
					}
				default:
					for ; h.read < len(log); h.read++ {
						h.directions.Apply(log[h.read], now)
					}
					h.readAt = now
				}
			}
			sends := make(map[string]bool)
			for _, h := range hosts {
				if h.directions.MayLeave("s", h.dataCentre, other(h.dataCentre), now.Sub(h.readAt), now) {
					sends[h.dataCentre] = true
				}
			}
			must.False(t, sends["a"] && sends["b"])
		}
	})
}

func other(dataCentre string) string {
	if dataCentre == "a" {
		return "b"
	}
	return "a"
}

// Guards against a data centre that can never send because the other one claimed once, and
// against one that loses its direction while it repeats its claim.
func TestDirectionChangesOnlyAfterTerm(t *testing.T) {
	d := newDirections(Defaults())
	now := testTime
	must.True(t, d.MayLeave("s", "a", "b", 0, now), must.Sprint("one direction is open without a claim"))
	must.False(t, d.MayLeave("s", "a", "b", 2*time.Second, now))
	for range 5 { // a repeats its claim
		c, ok := d.Want("s", "a", "b", now)
		must.True(t, ok)
		d.Apply(c, now)
		_, ok = d.Want("s", "b", "a", now.Add(time.Second))
		must.False(t, ok)
		now = now.Add(2 * time.Second)
	}
	now = now.Add(4 * time.Second)
	c, ok := d.Want("s", "b", "a", now)
	must.True(t, ok)
	must.True(t, d.Apply(c, now))
	must.False(t, d.MayLeave("s", "a", "b", 0, now))
	must.False(t, d.MayLeave("s", "b", "a", 0, now.Add(700*time.Millisecond)))
	must.True(t, d.MayLeave("s", "b", "a", 0, now.Add(time.Second)))
}

// Guards against work that leaves while it is served in time, against a share that falls
// as soon as the pressure does, and against one that never falls.
func TestShareGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	g := NewGate(Defaults())
	now := testTime
	share := func(pressure float64, after time.Duration) float64 {
		now = now.Add(after)
		g.Decide(Work{Service: "s", Pressure: pressure}, now)
		return g.Share("s")
	}
	must.EqOp(t, 0, share(0.5, 0))
	half := share(0.8, time.Second)
	must.Between(t, 0.3, half, 0.6)
	must.EqOp(t, 0.9, share(1.2, time.Second))
	must.EqOp(t, 0.9, share(0.4, time.Second), must.Sprint("the share holds above the release pressure"))
	must.Greater(t, 0.5, share(0.2, time.Second))
	must.EqOp(t, 0, share(0.2, 4*time.Second))
}

// Guards against work that leaves for a data centre that is not better by the cost, or
// that does not respond, and against one that stays closed.
func TestWorkLeavesOnlyWhereItPaysAndArrives(t *testing.T) {
	g := NewGate(Defaults())
	decide := func(there, cost float64, open bool, now time.Time) Verdict {
		return g.Decide(Work{Service: "s", Pressure: 1, Cost: cost, Options: []Option{{DataCentre: "b", Pressure: there, Open: open}}}, now)
	}
	must.EqOp(t, Verdict{DataCentre: "b", Reason: Late}, decide(0.3, 0.1, true, testTime))
	must.EqOp(t, Verdict{Reason: NoGain}, decide(0.3, 0.7, true, testTime))
	must.EqOp(t, Verdict{Reason: NoGain}, decide(0.95, 0, true, testTime))
	must.EqOp(t, Verdict{Reason: OtherWay}, decide(0.3, 0.1, false, testTime))
	for range 3 {
		g.RecordSend("b", false, testTime)
	}
	must.EqOp(t, Verdict{Reason: Unreachable}, decide(0.3, 0.1, true, testTime))
	later := testTime.Add(time.Second)
	must.EqOp(t, "b", decide(0.3, 0.1, true, later).DataCentre)
	g.RecordSend("b", false, later)
	must.False(t, g.Reachable("b", later.Add(900*time.Millisecond)), must.Sprint("the time doubles"))
	g.RecordSend("b", true, later)
	must.True(t, g.Reachable("b", later))
}

// Guards against bytes that weigh as much as a late step, and against bytes that weigh
// nothing against an idle local slot.
func TestBytesWeighLessWhenLate(t *testing.T) {
	terms := DefaultTerms()
	const short, long = 7_300, 46_400 // bytes of items with 17 and 120 events
	must.Less(t, 10*time.Millisecond, terms.Cost(short, false))
	must.Greater(t, 40*time.Millisecond, terms.Cost(short, true))
	must.Less(t, 50*time.Millisecond, terms.Cost(long, false))
	must.Greater(t, 300*time.Millisecond, terms.Cost(long, true))
}

// Guards against completions that cross in both directions for the same load rows.
func TestLoadsAllowOneDirection(t *testing.T) {
	c := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		x, y := rapid.Float64Range(0, 8).Draw(t, "x"), rapid.Float64Range(0, 8).Draw(t, "y")
		must.False(t, c.LoadAllows(x, y) && c.LoadAllows(y, x))
	})
}

// Guards against memory for each service or model that was ever asked for.
func TestOnlySharesInUseAreKept(t *testing.T) {
	g := NewGate(Defaults())
	for i := range 100 {
		g.UpdateShare(fmt.Sprint(i), 0.4, testTime)
	}
	must.MapEmpty(t, g.shares)
	g.UpdateShare("short", 1, testTime)
	g.UpdateShare("removed", 1, testTime)
	g.RetainServices(func(service string) bool { return service == "short" })
	must.EqOp(t, 0.9, g.Share("short"))
	must.MapLen(t, 1, g.shares)
}
