// Package route chooses a replica for a request in three steps: filters remove
// replicas that cannot take it, scorers rate the rest, and a seeded choice
// among the best keeps many routers from all choosing the same one.
//
// The locality of cached prefixes needs no message between hosts. All routers
// agree on two preferred replicas by the rendezvous hash of the first prefix
// block, each router remembers what it sent lately, and an owner adds what the
// cache events of its own replicas say. A digest of each cache would cost more
// than the 9 KB/s that a host may use for control: 64 block hashes of 4 bytes
// for 750 replicas are 192 KB for each full set.
//
// The package has no I/O and no clock.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is one replica as the router knows it.
type Candidate struct {
	Replica    string
	DataCentre string
	Model      string
	Owner      string // ID of the host that admits work to it
	// Hash is HashReplica(Replica), computed once.
	Hash uint64
	// StateKnown says that a load row was received lately. Without one, the load
	// fields and the version are not used.
	StateKnown bool
	Healthy    bool
	Leaving    bool
	Version    int64
	Running    int
	Queued     int
	Limit      int
	Wait       time.Duration
	// ReceivedAt is when the row was received; zero means that the fields are live.
	ReceivedAt time.Time
	// Pending is the number of requests of this host that the row does not
	// show yet, less those that it still shows although they ended.
	Pending int
}

// Request is what the choice depends on.
type Request struct {
	Model      string
	DataCentre string // of this router
	MinVersion int64
	// NewestVersion is the newest weight version of the model.
	NewestVersion int64
	Avoid         []string
	// Prefix holds the chained hashes of the prompt's blocks, shortest first.
	Prefix   []uint64
	Isolated bool
	// Seed breaks ties.
	Seed uint64
}

// Weights says how much each score counts. A weight of 1 makes a full score
// worth a whole limit of running requests.
type Weights struct {
	Load     float64
	Prefix   float64
	Affinity float64
	Version  float64
	Distance float64
	// Margin is the largest difference to the best total that still takes part
	// in the seeded choice. Load rows are up to half a second old, so smaller
	// differences mean nothing.
	Margin float64
}

// DefaultWeights returns the default weights.
func DefaultWeights() Weights {
	return Weights{Load: 1, Prefix: 0.5, Affinity: 0.25, Version: 0.2, Distance: 0.5, Margin: 0.05}
}

// Score is the rating of one candidate.
type Score struct {
	Candidate *Candidate
	Load      float64
	Prefix    float64
	Affinity  float64
	Version   float64
	Distance  float64
	Total     float64
}

// Choice is the result of a decision.
type Choice struct {
	// Chosen is nil when no candidate was left.
	Chosen *Candidate
	// Best holds the best scores, highest first, for the decision line.
	Best    []Score
	Removed Removed
}

// maxBest bounds the scores in a decision line.
const maxBest = 5

// Choose picks a replica. It does not keep or change the candidates.
func Choose(request Request, candidates []Candidate, prefixes *PrefixIndex, weights Weights, now time.Time) Choice {
	kept, removed := filter(request, candidates)
	if request.Isolated {
		kept = soloReplicas(kept)
	}
	choice := Choice{Removed: removed}
	if len(kept) == 0 {
		return choice
	}
	scores := score(request, kept, prefixes, weights, now)
	choice.Chosen = pick(scores, request.Seed, weights.Margin)
	choice.Best = best(scores)
	return choice
}

// best returns the highest scores in order. It avoids sorting all of them,
// which took most of the time of a decision among 750 candidates.
func best(scores []Score) []Score {
	top := make([]Score, 0, maxBest+1)
	for _, s := range scores {
		if len(top) == maxBest && s.Total <= top[maxBest-1].Total {
			continue
		}
		at := len(top)
		for at > 0 && top[at-1].Total < s.Total {
			at--
		}
		top = slices.Insert(top, at, s)
		top = top[:min(len(top), maxBest)]
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

// String formats a score for the decision line.
func (s Score) String() string {
	return fmt.Sprintf("%s=%.3f(load %.2f, prefix %.2f, affinity %.2f, version %.2f, distance %.2f)",
		s.Candidate.Replica, s.Total, s.Load, s.Prefix, s.Affinity, s.Version, s.Distance)
}

// Scores formats the best scores for the decision line.
func (c Choice) Scores() string {
	texts := make([]string, len(c.Best))
	for i, s := range c.Best {
		texts[i] = s.String()
	}
	return strings.Join(texts, " ")
}
