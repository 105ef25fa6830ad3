package place

import (
	"maps"
	"slices"
	"time"
)

const (
	// rebalanceDelay is how long the demand must require the same move before a
	// replica is moved, and the minimum time between two moves. A move costs a
	// model load, so short peaks must not cause one.
	rebalanceDelay = time.Minute
	// overloadedShare and underloadedShare are the loads per replica, as a
	// share of its capacity, above and below which a model gains or loses a
	// replica.
	overloadedShare  = 0.9
	underloadedShare = 0.4
	// returnableShare is the load per remaining replica below which a model
	// returns a replica that it gained. It lies between the other two, so that
	// the return is not reversed at once.
	returnableShare = 0.6
)

// rebalancer moves replicas between models according to demand.
type rebalancer struct {
	adjustments    map[string]int // difference from the declared number of replicas
	requestedSince time.Time      // since when the demand requires the move below
	from           string         // model that loses a replica
	to             string         // model that gains a replica
	movedAt        time.Time
}

func newRebalancer() rebalancer { return rebalancer{adjustments: make(map[string]int)} }

// apply returns the wanted replica numbers including all moves made so far.
// Demand is the load of each model in replicas: 3.5 means that it could occupy
// three and a half replicas.
func (r *rebalancer) apply(now time.Time, wanted, minimum map[string]int, demand map[string]float64) map[string]int {
	current := make(map[string]int, len(wanted))
	for model, n := range wanted {
		current[model] = max(0, n+r.adjustments[model])
	}
	for model := range r.adjustments { // discard all moves if the new declarations rule one out
		if _, declared := wanted[model]; !declared || wanted[model]+r.adjustments[model] < 0 {
			r.adjustments = make(map[string]int)
			return wanted
		}
	}
	from, to := chooseMove(current, minimum, demand)
	if from == "" || to == "" {
		from, to = r.chooseReturn(current, demand)
	}
	if from == "" || to == "" {
		r.requestedSince = time.Time{}
		return current
	}
	if r.requestedSince.IsZero() || from != r.from || to != r.to {
		r.requestedSince, r.from, r.to = now, from, to
	}
	if now.Sub(r.requestedSince) < rebalanceDelay || now.Sub(r.movedAt) < rebalanceDelay {
		return current
	}
	r.adjustments[from]--
	r.adjustments[to]++
	r.movedAt, r.requestedSince = now, time.Time{}
	current[from]--
	current[to]++
	return current
}

// chooseReturn returns a model that has more than the declared number of
// replicas and can do without one, and a model that has fewer.
func (r *rebalancer) chooseReturn(current map[string]int, demand map[string]float64) (from, to string) {
	for _, model := range slices.Sorted(maps.Keys(r.adjustments)) {
		load, known := demand[model]
		switch {
		case r.adjustments[model] > 0 && known && load/float64(max(current[model]-1, 1)) < returnableShare:
			from = model
		case r.adjustments[model] < 0:
			to = model
		}
	}
	return from, to
}

// chooseMove returns the least loaded model that can spare a replica and the
// most loaded model that needs one.
func chooseMove(current, minimum map[string]int, demand map[string]float64) (from, to string) {
	lowest, highest := underloadedShare, overloadedShare
	for _, model := range slices.Sorted(maps.Keys(current)) {
		load, known := demand[model]
		n := current[model]
		if !known {
			continue
		}
		share := load / float64(max(n, 1))
		if n > max(1, minimum[model]) && share < lowest && load/float64(n-1) < overloadedShare {
			from, lowest = model, share
		}
		if share > highest {
			to, highest = model, share
		}
	}
	return from, to
}
