package place_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// disturb applies one random fault to owners or the log.
func (w *world) disturb(t *rapid.T) {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	duration := time.Duration(rapid.IntRange(0, 25000).Draw(t, "ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"pause", "late view", "cut off", "cut off", "log", "dead", "alive", "version"}).Draw(t, "fault") {
	case "pause":
		h.pausedUntil = w.now.Add(duration)
	case "late view":
		h.nextRead = w.now.Add(duration)
	case "cut off": // from the log and, as they see it, from the other hosts
		h.dead = true
		h.nextRead = w.now.Add(duration)
	case "log":
		w.logDown = !w.logDown
	case "dead":
		h.dead = true
	case "alive":
		h.dead = false
	case "version":
		w.newest++
	}
	w.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "run ms")) * time.Millisecond)
}

// Guards against an order of a former holder that takes effect after one of a
// newer holder: on engines that check fencing numbers whenever it arrives, on
// engines that ignore them as long as it arrives before its deadline.
func TestNoOrderOfAFormerHolderAfterANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), 6, 0, checks)
		w.lateOrders = checks
		// New versions all the time, so that every holder always has an order
		// to give.
		w.swapTime = step
		w.check = func() { w.newest += int64(w.random.IntN(2)) }
		w.effects = func(e *simEngine, o engine.Order) {
			must.LessEq(t, o.Fence, e.pending, must.Sprintf("%s takes %+v", e.ID, o))
		}
		w.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.disturb(t)
		}
		w.heal()
		w.check = nil
		w.finish(t)
	})
}

// Guards against engines that stay in a wrong state after orders of former
// holders took effect late, on engines that ignore fencing numbers.
func TestStateConvergesAfterLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), 6, 0.5, false)
		w.lateOrders = true
		w.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.disturb(t)
		}
		w.heal()
		w.run(30 * time.Second) // the last late orders arrive
		w.finish(t)
	})
}
