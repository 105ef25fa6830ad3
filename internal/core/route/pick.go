package route

// pick selects one of the candidates whose score lies within the margin of the
// best, by a seeded hash. The same seed and scores result in the same
// candidate.
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

// RoundRobin selects replicas under the baseline policy: all candidates that
// pass the filters in rotation, regardless of load.
type RoundRobin struct {
	next uint64
}

// Choose returns the next candidate, or nil if none passes the filters.
func (r *RoundRobin) Choose(request Request, candidates []Candidate) *Candidate {
	eligible, _ := filter(request, candidates)
	if len(eligible) == 0 {
		return nil
	}
	r.next++
	return eligible[r.next%uint64(len(eligible))]
}
