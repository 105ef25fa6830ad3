// Package route selects a replica for a request in three steps: filters remove
// replicas that cannot take it, scorers rate the others, and a seeded selection
// among the best keeps the routers from all choosing the same replica.
//
// Prefix cache locality requires no messages between hosts. All routers agree
// on two preferred replicas by the rendezvous hash of the first prefix block,
// each router records the prompts that it sent recently, and a replica's owner
// adds the cache events of its own replicas. Exchanging a digest of each cache
// would exceed the 9 KB/s that a host may use for control traffic: 64 block
// hashes of 4 bytes for 750 replicas are 192 KB per full set.
//
// The package has no I/O and no clock.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// Candidate describes one replica as known to the router.
type Candidate struct {
	Replica    string
	DataCentre string
	Model      string
	Owner      string // ID of the host that admits requests to the replica
	// Hash is HashReplica(Replica), precomputed.
	Hash uint64
	// StateKnown reports that the state of the replica is known, usually from a
	// recent load row. Otherwise the health, version and load fields are not
	// used.
	StateKnown bool
	Healthy    bool
	Leaving    bool
	Version    int64
	Running    int
	Queued     int
	Limit      int
	Wait       time.Duration
	// ReceivedAt is when the load row was received; zero means that the fields
	// are up to date.
	ReceivedAt time.Time
	// Pending corrects the load row by the requests of this host: it counts
	// those that the row does not include yet, minus those that it still
	// includes although they have ended.
	Pending int
}

// Request describes the request to be routed.
type Request struct {
	Model      string
	DataCentre string // data centre of this router
	MinVersion int64
	// NewestVersion is the newest weight version of the model.
	NewestVersion int64
	Avoid         []string
	// Prefix holds the chained hashes of the prompt's blocks, shortest prefix
	// first.
	Prefix []uint64
	// Isolated asks for a replica that runs no other request meanwhile.
	Isolated bool
	// Seed selects among candidates with nearly equal scores.
	Seed uint64
	// Spill decides whether the request leaves its data centre. If it is nil, the load of
	// the local replicas does.
	Spill *spill.Verdict
}

// Weights holds the weights of the scores. With a weight of 1, a full score
// counts as much as a number of running requests equal to the replica's limit.
type Weights struct {
	Load     float64
	Prefix   float64
	Affinity float64
	Version  float64
	Distance float64
	// Margin is the largest difference from the best total at which a candidate
	// still takes part in the seeded selection. Load rows are up to half a
	// second old, so smaller differences are not significant.
	Margin float64
}

// DefaultWeights returns the default weights.
func DefaultWeights() Weights {
	return Weights{Load: 1, Prefix: 0.5, Affinity: 0.25, Version: 0.2, Distance: 0.5, Margin: 0.05}
}

// Score holds the scores of one candidate, before weighting.
type Score struct {
	Candidate *Candidate
	Load      float64 // minus the number of requests as a multiple of the limit
	Prefix    float64 // share of the prompt's blocks that are probably cached
	Affinity  float64 // 1 and 0.5 for the two preferred replicas of the prefix
	Version   float64 // 0 for the newest weights, towards -1 with each version behind
	Distance  float64 // -1 in another data centre
	Total     float64 // weighted sum of the scores
}

// Choice is the result of a selection.
type Choice struct {
	// Chosen is nil if no candidate passed the filters.
	Chosen *Candidate
	// Best holds the best scores in descending order, for the decision log.
	Best    []Score
	Removed Removed
}

// maxTopScores is the maximum number of scores in a decision log line.
const maxTopScores = 5

// Choose selects a replica. It neither retains nor modifies the candidates.
func Choose(request Request, candidates []Candidate, prefixes *PrefixIndex, weights Weights, now time.Time) Choice {
	eligible, removed := filter(request, candidates)
	if request.Isolated {
		eligible = isolationReplicas(eligible)
	}
	choice := Choice{Removed: removed}
	if len(eligible) == 0 {
		return choice
	}
	scores := score(request, eligible, prefixes, weights, now)
	choice.Chosen = pick(scores, request.Seed, weights.Margin)
	choice.Best = topScores(scores)
	return choice
}

// topScores returns the highest scores in descending order. It does not sort
// all scores, which took most of the time of a selection among 750 candidates.
func topScores(scores []Score) []Score {
	top := make([]Score, 0, maxTopScores+1)
	for _, s := range scores {
		if len(top) == maxTopScores && s.Total <= top[maxTopScores-1].Total {
			continue
		}
		at := len(top)
		for at > 0 && top[at-1].Total < s.Total {
			at--
		}
		top = slices.Insert(top, at, s)
		top = top[:min(len(top), maxTopScores)]
	}
	return top
}

// HashReplica returns the hash of a replica's ID for rendezvous hashing.
func HashReplica(id string) uint64 { return xxhash.Sum64String(id) }

// mix combines two hashes into one (the finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// String formats a score for the decision log.
func (s Score) String() string {
	return fmt.Sprintf("%s=%.3f(load %.2f, prefix %.2f, affinity %.2f, version %.2f, distance %.2f)",
		s.Candidate.Replica, s.Total, s.Load, s.Prefix, s.Affinity, s.Version, s.Distance)
}

// Scores formats the best scores for the decision log.
func (c Choice) Scores() string {
	formatted := make([]string, len(c.Best))
	for i, s := range c.Best {
		formatted[i] = s.String()
	}
	return strings.Join(formatted, " ")
}
