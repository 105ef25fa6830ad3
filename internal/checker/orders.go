package checker

import "github.com/sesamestand/sesamestand/internal/engine"

// rollback checks rule O1 of section 4.4: no accepted order loads an older
// version than the engine ran. Orders of a pinned model are left out, because
// a configuration may pin an older version.
func (c *check) rollback() Verdict {
	p := Verdict{ID: "O1", Text: "no order loads an older version of weights than the engine runs"}
	for _, journal := range c.Engines {
		for _, entry := range journal.Orders {
			if entry.Accepted && entry.Order.Kind == engine.OrderLoadVersion && !c.pinned(entry.Order.Model) {
				p.fact(entry.Order.Version >= entry.VersionBefore, "engine %s ran version %d and got an order of %s for version %d",
					entry.Engine, entry.VersionBefore, entry.Order.OrderOwner, entry.Order.Version)
			}
		}
	}
	return p
}

func (c *check) pinned(model string) bool {
	for _, name := range c.PinnedModels {
		if name == model || model == "" {
			return true
		}
	}
	return false
}

// oneHolder checks rule O2 of section 4.4: no engine carries out an order of
// an earlier holder after one of a later holder, whether or not it checks
// fencing numbers.
func (c *check) oneHolder() Verdict {
	p := Verdict{ID: "O2", Text: "no engine carries out an order with an older fencing number than before"}
	for _, journal := range c.Engines {
		var highest int64
		for _, entry := range journal.Orders {
			if !entry.Accepted {
				continue
			}
			p.fact(entry.Order.Fence >= highest, "engine %s carried out an order of %s with fence %d after fence %d",
				entry.Engine, entry.Order.OrderOwner, entry.Order.Fence, highest)
			highest = max(highest, entry.Order.Fence)
		}
	}
	return p
}
