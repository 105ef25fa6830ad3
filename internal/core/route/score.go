package route

import "time"

const (
	// unknownLimit is assumed for a replica without a load row. It is the
	// limit that an owner starts with.
	unknownLimit = 4
	// maxLoad bounds the load score, so that other scores still order
	// replicas that are all far over their limit.
	maxLoad = 8
	// soloFactor raises the weight of load for a request that must run alone,
	// because its replica first has to drain.
	soloFactor = 4
)

// score rates the candidates.
func score(request Request, kept []*Candidate, prefixes *PrefixIndex, weights Weights, now time.Time) []Score {
	loadWeight := weights.Load
	if request.Isolated {
		loadWeight *= soloFactor
	}
	cached := prefixes.Match(request.Prefix, now)
	first, second := preferred(request, kept)
	scores := make([]Score, len(kept))
	for i, c := range kept {
		s := Score{Candidate: c, Load: -load(c), Version: version(c, request.NewestVersion)}
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

// load is the share of the limit in use, from the lagging row corrected by
// what this host itself has sent since.
func load(c *Candidate) float64 {
	limit, used := unknownLimit, c.Pending
	if c.StateKnown {
		limit, used = max(1, c.Limit), c.Running+c.Queued+c.Pending
	}
	return min(maxLoad, float64(max(0, used))/float64(limit))
}

// version is 0 for a replica with the newest weights and falls towards -1 with
// each version that it is behind.
func version(c *Candidate, newest int64) float64 {
	if !c.StateKnown || newest <= 0 || c.Version >= newest {
		return 0
	}
	behind := float64(newest - c.Version)
	return -behind / (behind + 1)
}

// preferred returns the two replicas of the own data centre with the highest
// rendezvous hash for the first prefix block. Two, because a prefix that is in
// great demand needs more than one replica.
func preferred(request Request, kept []*Candidate) (first, second *Candidate) {
	if len(request.Prefix) == 0 {
		return nil, nil
	}
	var highest, next uint64
	for _, c := range kept {
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
