package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// place returns orders for n more servers of one kind, of which total are wanted: in the
// data centres that are not avoided, where no more than half of the total is, at the
// lowest price.
func (s *service) place(spot bool, n, total int, reason string, now time.Time) []Order {
	added := make(map[*fleet]int)
	for range max(n, 0) {
		f := s.bestFor(spot, added, (total+1)/2, now)
		if f == nil {
			break
		}
		added[f]++
	}
	var orders []Order
	for f, change := range added {
		orders = append(orders, f.order(change, reason, now))
	}
	slices.SortFunc(orders, func(x, y Order) int { return x.compare(y.Key) })
	return orders
}

// fillMinimum returns orders for the data centres that have fewer servers than Min.
func (s *service) fillMinimum(now time.Time) []Order {
	var orders []Order
	for key, f := range s.fleets {
		if key.Spot || !f.canOrder(now) {
			continue
		}
		key.Spot = true
		if n := s.scale.Min - f.recent(now) - s.fleets[key].recent(now); n > 0 {
			orders = append(orders, f.order(n, fmt.Sprintf("the minimum is %d servers", s.scale.Min), now))
		}
	}
	slices.SortFunc(orders, func(x, y Order) int { return x.compare(y.Key) })
	return orders
}

// bestFor returns the servers to which one more is added, or nil if none can be.
func (s *service) bestFor(spot bool, added map[*fleet]int, share int, now time.Time) *fleet {
	var best *fleet
	compare := func(x, y *fleet) int {
		return cmp.Or(
			compareBool(now.Before(x.avoidUntil), now.Before(y.avoidUntil)),
			compareBool(x.expected()+added[x] >= share, y.expected()+added[y] >= share),
			cmp.Compare(s.price(x.key), s.price(y.key)),
			x.key.compare(y.key),
		)
	}
	for key, f := range s.fleets {
		if key.Spot != spot || !f.canOrder(now) || !s.hasRoom(f, added[f], now) {
			continue
		}
		if best == nil || compare(f, best) < 0 {
			best = f
		}
	}
	return best
}

// hasRoom reports whether one more server may be ordered. Max bounds both kinds together,
// including servers that are leaving, by the numbers that the orders have.
func (s *service) hasRoom(f *fleet, added int, now time.Time) bool {
	o := s.fleets[f.key.otherKind()]
	count := max(f.possible()+added+1, f.floor(now))
	return count+o.floor(now)+len(f.leaving)+len(o.leaving) <= s.scale.Max
}

// price returns the price of a server, relative to others of its kind.
func (s *service) price(key Key) float64 {
	if price, ok := s.scale.Prices[key.DataCentre]; ok {
		return price
	}
	return 1
}

// remove returns an order for fewer servers of one kind, of which total remain wanted, in
// the most expensive data centre that keeps half of an even share of them and Min servers.
func (s *service) remove(spot bool, surplus, total int, reason string, now time.Time) []Order {
	var best *fleet
	removable := 0
	for key, f := range s.fleets {
		if key.Spot != spot || !f.canOrder(now) {
			continue
		}
		n := s.removable(f, surplus, total)
		if n > 0 && (best == nil || cmp.Or(cmp.Compare(s.price(best.key), s.price(key)), key.compare(best.key)) < 0) {
			best, removable = f, n
		}
	}
	if best == nil {
		return nil
	}
	s.lastDecrease = now
	return []Order{best.order(-removable, reason, now)}
}

// removable returns how many of the surplus servers may be removed by one order.
func (s *service) removable(f *fleet, surplus, total int) int {
	evenShare := float64(total) / float64(len(s.fleets)/2)
	keep := max(int(math.Ceil(evenShare/2)), s.scale.Min) // a reclaim leaves Min servers
	if f.key.Spot {
		keep = s.scale.Min - len(s.fleets[f.key.otherKind()].serving) // a reserve may be in one data centre
	}
	step := max(int(s.config.MaxDecrease*float64(s.count(false)+s.count(true))), 1)
	return min(surplus, step, len(f.serving)-max(keep, 0))
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
