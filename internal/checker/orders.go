package checker

import "github.com/sesamestand/sesamestand/internal/engine"

// checkRollback checks rule O1 of section 4.4 of the design document: no accepted
// order loads an older version than the engine ran. Orders for pinned models are
// exempt, because a configuration may pin an older version.
func (c *check) checkRollback() Verdict {
	v := Verdict{ID: "O1", Text: "no order loads an older version of weights than the engine runs"}
	for _, journal := range c.Engines {
		for _, entry := range journal.Orders {
			if entry.Accepted && entry.Order.Kind == engine.OrderLoadVersion && !c.pinned(entry.Order.Model) {
				v.record(entry.Order.Version >= entry.VersionBefore, "engine %s ran version %d and accepted an order of %s to load version %d",
					entry.Engine, entry.VersionBefore, entry.Order.OrderOwner, entry.Order.Version)
			}
		}
	}
	return v
}

// pinned reports whether orders for the model are exempt from O1. An order that
// names no model is exempt if any model is pinned.
func (c *check) pinned(model string) bool {
	for _, name := range c.PinnedModels {
		if name == model || model == "" {
			return true
		}
	}
	return false
}

// checkFencing checks rule O2 of section 4.4 of the design document: no engine
// executes an order of an earlier order owner after one of a later owner, whether
// or not the engine checks fencing numbers.
func (c *check) checkFencing() Verdict {
	v := Verdict{ID: "O2", Text: "no engine carries out an order with an older fencing number than before"}
	for _, journal := range c.Engines {
		var highest int64
		for _, entry := range journal.Orders {
			if !entry.Accepted {
				continue
			}
			v.record(entry.Order.Fence >= highest, "engine %s executed an order of %s with fence %d after fence %d",
				entry.Engine, entry.Order.OrderOwner, entry.Order.Fence, highest)
			highest = max(highest, entry.Order.Fence)
		}
	}
	return v
}
