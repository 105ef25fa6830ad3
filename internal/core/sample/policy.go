package sample

import "math"

// Policy holds the scheduling parameters that trade trainer idle time against
// staleness.
type Policy struct {
	// Surplus is the number of samples started per group beyond its size.
	Surplus int
	// HedgeAfter is the multiple of the median duration after which a sample
	// counts as a straggler; 0 disables hedging.
	HedgeAfter float64
	// HedgeShare bounds hedges as a share of all started samples.
	HedgeShare float64
	// StepsAhead is the number of steps after the oldest open step that may
	// already run; a negative value sets no limit. Results of later steps wait,
	// and become staler, for that many steps.
	StepsAhead int64
	// FIFO orders groups by submission only.
	FIFO bool
}

const (
	maxHedgeShare   = 0.25 // share of all started samples at idle weight 1
	minHedgeAfter   = 1.5  // multiple of the median duration at idle weight 1
	hedgeAfterRange = 0.25 // added at idle weight 0
	minExtraWork    = 0.75 // fraction of the extra work at idle weight 0
)

// PolicyFor derives the policy from the idle weight w in [0, 1]: 1 minimizes
// the trainer's idle time, 0 minimizes staleness. Surplus samples and hedges
// grow from three quarters of their full extent at w = 0 to all of it at w = 1.
// Results may wait for one step at w = 0 and for up to one step less than the
// staleness bound at w = 1.
//
// In the simulation of BenchmarkStragglerPolicies, running no step ahead left
// the trainer idle for at least a third of the time whatever the extra work.
// One step ahead with surplus and hedges nearly removed idle time, while each
// further step mostly added staleness. Extra work therefore depends little on
// w, and the steps ahead depend on it most.
func PolicyFor(idleWeight float64, surplus int, bound int64) Policy {
	w := min(max(idleWeight, 0), 1)
	extra := minExtraWork + (1-minExtraWork)*w
	return Policy{
		Surplus:    int(math.Ceil(extra * float64(surplus))),
		HedgeAfter: minHedgeAfter + (1-w)*hedgeAfterRange,
		HedgeShare: extra * maxHedgeShare,
		StepsAhead: min(bound, 1+int64(math.Round(w*float64(max(bound-2, 0))))),
	}
}

// BaselinePolicy returns a first-come, first-served policy without surplus
// samples or hedges: each group waits for its slowest sample.
func BaselinePolicy() Policy { return Policy{StepsAhead: -1, FIFO: true} }
