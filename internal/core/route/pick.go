package route

// pick chooses among the scores within the margin of the best by a seeded
// hash. The same seed and scores give the same choice.
func pick(scores []Score, seed uint64, margin float64) *Candidate {
	best := scores[0].Total
	for _, s := range scores[1:] {
		best = max(best, s.Total)
	}
	var chosen *Candidate
	var highest uint64
	for _, s := range scores {
		if s.Total < best-margin {
			continue
		}
		if h := mix(seed, s.Candidate.Hash); chosen == nil || h > highest {
			chosen, highest = s.Candidate, h
		}
	}
	return chosen
}

// RoundRobin is the choice of the baseline policy: each filtered candidate in
// turn, whatever its load.
type RoundRobin struct {
	turn uint64
}

// Choose returns the next candidate, or nil.
func (r *RoundRobin) Choose(request Request, candidates []Candidate) *Candidate {
	kept, _ := filter(request, candidates)
	if len(kept) == 0 {
		return nil
	}
	r.turn++
	return kept[r.turn%uint64(len(kept))]
}
