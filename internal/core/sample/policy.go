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
	// FirstCome orders groups by submission only.
	FirstCome bool
}

const (
	maxHedgeShare   = 0.25 // of all samples started
	minHedgeAfter   = 1.5  // multiple of the median when only idle time counts
	hedgeAfterRange = 2.5  // added when only staleness counts
)

// PolicyFor derives the policy from the idle weight w in [0, 1]. Extra work
// and the time that results may wait grow with w: surplus and hedges grow in
// proportion to it, the wait before a hedge shrinks, and results may wait for
// the share w of the staleness bound.
func PolicyFor(idleWeight float64, surplus int, bound int64) Policy {
	w := min(max(idleWeight, 0), 1)
	return Policy{
		Surplus:    int(math.Round(w * float64(surplus))),
		HedgeAfter: minHedgeAfter + (1-w)*hedgeAfterRange,
		HedgeShare: w * maxHedgeShare,
		StepsAhead: int64(math.Round(w * float64(bound))),
	}
}

// Baseline is first come first served, without surplus or hedges, waiting for
// the slowest sample.
func Baseline() Policy { return Policy{StepsAhead: -1, FirstCome: true} }
