package route

import "time"

const (
	// unknownLimit is the limit assumed for a replica whose state is unknown.
	// It equals the initial limit of an owner.
	unknownLimit = 4
	// maxLoad caps the load score, so that the other scores still order
	// replicas that are all far above their limit.
	maxLoad = 8
	// isolatedLoadFactor increases the weight of load for an isolated run,
	// because the replica must first drain.
	isolatedLoadFactor = 4
)

// score computes the scores of the candidates.
func score(request Request, eligible []*Candidate, prefixes *PrefixIndex, weights Weights, now time.Time) []Score {
	loadWeight := weights.Load
	if request.Isolated {
		loadWeight *= isolatedLoadFactor
	}
	cached := prefixes.Match(request.Prefix, now)
	first, second := preferred(request, eligible)
	scores := make([]Score, len(eligible))
	for i, c := range eligible {
		s := Score{Candidate: c, Load: -loadRatio(c), Version: versionScore(c, request.NewestVersion)}
		if len(cached) > 0 {
			s.Prefix = cached[c.Replica] / float64(len(request.Prefix))
		}
		switch c {
		case first:
			s.Affinity = 1
		case second:
			s.Affinity = 0.5
		}
		if c.DataCentre != request.DataCentre {
			s.Distance = -1
		}
		s.Total = loadWeight*s.Load + weights.Prefix*s.Prefix + weights.Affinity*s.Affinity +
			weights.Version*s.Version + weights.Distance*s.Distance
		scores[i] = s
	}
	return scores
}

// loadRatio is the share of the limit in use, computed from the delayed load row
// and the requests of this host that the row does not reflect.
func loadRatio(c *Candidate) float64 {
	limit, used := unknownLimit, c.Pending
	if c.StateKnown {
		limit, used = max(1, c.Limit), c.Running+c.Queued+c.Pending
	}
	return min(maxLoad, float64(max(0, used))/float64(limit))
}

// versionScore is 0 for a replica with the newest weights and approaches -1 with
// each version that it lags behind.
func versionScore(c *Candidate, newest int64) float64 {
	if !c.StateKnown || newest <= 0 || c.Version >= newest {
		return 0
	}
	behind := float64(newest - c.Version)
	return -behind / (behind + 1)
}

// preferred returns the two local replicas with the highest rendezvous hashes
// for the first prefix block. There are two because a popular prefix needs more
// than one replica.
func preferred(request Request, eligible []*Candidate) (first, second *Candidate) {
	if len(request.Prefix) == 0 {
		return nil, nil
	}
	var highest, next uint64
	for _, c := range eligible {
		if c.DataCentre != request.DataCentre {
			continue
		}
		switch h := mix(request.Prefix[0], c.Hash); {
		case first == nil || h > highest:
			second, next = first, highest
			first, highest = c, h
		case second == nil || h > next:
			second, next = c, h
		}
	}
	return first, second
}
