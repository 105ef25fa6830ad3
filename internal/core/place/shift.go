package place

import (
	"maps"
	"slices"
	"time"
)

const (
	// shiftHold is how long demand must ask for another mix before a replica
	// is moved, and the least time between two moves. A move costs a model
	// load, so short peaks must not cause one.
	shiftHold = time.Minute
	// busyShare and idleShare are loads per replica, in parts of what a
	// replica can do, above and below which a model gains or loses a replica.
	busyShare = 0.9
	idleShare = 0.4
	// returnShare is the load per remaining replica below which a model gives
	// back a replica. It lies between the two, so that the move is not undone.
	returnShare = 0.6
)

// shifts moves replicas between models by demand.
type shifts struct {
	extra   map[string]int // replicas above or below the declared number
	since   time.Time      // since when the same move is asked for
	from    string
	to      string
	movedAt time.Time
}

func newShifts() shifts { return shifts{extra: make(map[string]int)} }

// apply returns the wanted numbers with the moves in force. Demand is the load
// of a model in replicas, for example 3.5 when it could fill three and a half.
func (s *shifts) apply(now time.Time, wanted, least map[string]int, demand map[string]float64) map[string]int {
	current := make(map[string]int, len(wanted))
	for model, n := range wanted {
		current[model] = max(0, n+s.extra[model])
	}
	for model := range s.extra { // a changed declaration ends old moves
		if _, declared := wanted[model]; !declared || wanted[model]+s.extra[model] < 0 {
			s.extra = make(map[string]int)
			return wanted
		}
	}
	from, to := choose(current, least, demand)
	if from == "" || to == "" {
		from, to = s.giveBack(current, demand)
	}
	if from == "" || to == "" {
		s.since = time.Time{}
		return current
	}
	if s.since.IsZero() || from != s.from || to != s.to {
		s.since, s.from, s.to = now, from, to
	}
	if now.Sub(s.since) < shiftHold || now.Sub(s.movedAt) < shiftHold {
		return current
	}
	s.extra[from]--
	s.extra[to]++
	s.movedAt, s.since = now, time.Time{}
	current[from]--
	current[to]++
	return current
}

// giveBack returns a model that has more than the declared number and can do
// without, and one that has fewer.
func (s *shifts) giveBack(current map[string]int, demand map[string]float64) (from, to string) {
	for _, model := range slices.Sorted(maps.Keys(s.extra)) {
		load, known := demand[model]
		switch {
		case s.extra[model] > 0 && known && load/float64(max(current[model]-1, 1)) < returnShare:
			from = model
		case s.extra[model] < 0:
			to = model
		}
	}
	return from, to
}

// choose returns the least loaded model that can spare a replica and the most
// loaded one that needs one.
func choose(current, least map[string]int, demand map[string]float64) (from, to string) {
	lowest, highest := idleShare, busyShare
	for _, model := range slices.Sorted(maps.Keys(current)) {
		load, known := demand[model]
		n := current[model]
		if !known {
			continue
		}
		share := load / float64(max(n, 1))
		if n > max(1, least[model]) && share < lowest && load/float64(n-1) < busyShare {
			from, lowest = model, share
		}
		if share > highest {
			to, highest = model, share
		}
	}
	return from, to
}
