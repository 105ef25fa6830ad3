package sample

import "math"

// Policy holds what follows from a trainer's weight between idle time and
// staleness.
type Policy struct {
	// Surplus is the number of extra samples per group.
	Surplus int
	// HedgeAfter is the multiple of the median duration after which a sample
	// counts as late; 0 starts no hedges.
	HedgeAfter float64
	// HedgeShare bounds hedges as a share of all samples started.
	HedgeShare float64
	// StepsAhead is how many steps behind the trainer's oldest open step may
	// run ahead; negative sets no limit. Results of later steps wait, and age,
	// for that many steps.
	StepsAhead int64
	// FIFO orders groups by submission only.
	FIFO bool
}

const (
	hedgeShare      = 0.25 // of all samples started, when only idle time counts
	minHedgeAfter   = 1.5  // multiple of the median when only idle time counts
	hedgeAfterRange = 0.25 // added when only staleness counts
	minExtra        = 0.75 // share of the extra work when only staleness counts
)

// PolicyFor derives the policy from the idle weight w in [0, 1]. Extra work
// and the time that results may wait grow with w: surplus and hedges go from
// three quarters of their full extent at w = 0 to all of it at w = 1, and
// results may wait for one step at w = 0 and for all steps that the bound
// leaves room for at w = 1.
//
// In the simulation of BenchmarkStragglerPolicies, working no step ahead left
// the trainer idle for at least a third of the time whatever the extra work,
// and one step ahead with surplus and hedges nearly removed idle time, while
// each further step mostly added staleness. Extra work therefore depends
// little on w, and the steps ahead depend on it most.
func PolicyFor(idleWeight float64, surplus int, bound int64) Policy {
	w := min(max(idleWeight, 0), 1)
	extra := minExtra + (1-minExtra)*w
	return Policy{
		Surplus:    int(math.Ceil(extra * float64(surplus))),
		HedgeAfter: minHedgeAfter + (1-w)*hedgeAfterRange,
		HedgeShare: extra * hedgeShare,
		StepsAhead: min(bound, 1+int64(math.Round(w*float64(max(bound-2, 0))))),
	}
}

// BaselinePolicy is first come first served, without surplus or hedges, waiting for
// the slowest sample.
func BaselinePolicy() Policy { return Policy{StepsAhead: -1, FIFO: true} }
