package place_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// injectFault applies one random fault to the owners, the log or the target
// version.
func (c *testCluster) injectFault(t *rapid.T) {
	h := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
	duration := time.Duration(rapid.IntRange(0, 25000).Draw(t, "ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"pause", "late view", "cut off", "cut off", "log", "dead", "alive", "version"}).Draw(t, "fault") {
	case "pause":
		h.pausedUntil = c.now.Add(duration)
	case "late view":
		h.nextLogRead = c.now.Add(duration)
	case "cut off": // isolated from the log and reported dead by the other hosts
		h.reportedDead = true
		h.nextLogRead = c.now.Add(duration)
	case "log":
		c.logUnavailable = !c.logUnavailable
	case "dead":
		h.reportedDead = true
	case "alive":
		h.reportedDead = false
	case "version":
		c.newest++
	}
	c.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "run ms")) * time.Millisecond)
}

// Guards against an order of a replica's former owner that takes effect after
// an order of its new owner. For engines that check fencing numbers this must
// hold whenever an order arrives, for engines that ignore them as long as it
// arrives before its deadline.
func TestNoOrderOfFormerOwnerAfterNewOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fencingChecked := rapid.Bool().Draw(t, "checks")
		c := newTestCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), 6, 0, fencingChecked)
		c.delayOrders = fencingChecked
		// New versions appear continuously, so that every owner always has an
		// order to send.
		c.loadTime = step
		c.afterStep = func() { c.newest += int64(c.random.IntN(2)) }
		c.onOrderApplied = func(e *simEngine, o engine.Order) {
			must.LessEq(t, o.Fence, e.highestFence, must.Sprintf("%s applied %+v", e.ID, o))
		}
		c.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			c.injectFault(t)
		}
		c.clearFaults()
		c.afterStep = nil
		c.runUntilCurrent(t)
	})
}

// Guards against engines that ignore fencing numbers and remain in a wrong
// state after delayed orders of former owners took effect.
func TestStateConvergesAfterDelayedOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), 6, 0.5, false)
		c.delayOrders = true
		c.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			c.injectFault(t)
		}
		c.clearFaults()
		c.run(30 * time.Second) // the last delayed orders arrive
		c.runUntilCurrent(t)
	})
}
