// Package rollout decides which replicas serve a model and which of them load
// a new weight version next.
//
// While a replica loads a version of a model, for about a second, it cannot start
// runs of the model, and concurrent loads slow each other down. Therefore each
// model is served by a share of the replicas only. As long as the trainer allows
// the version before the newest one, each new version is loaded only by the half
// of these replicas that has the older versions, while the other half serves.
//
// The package has no I/O and no clock.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the parameters of assignments and loads.
type Config struct {
	// ModelsPerReplica is the average number of models of its service that a
	// replica serves.
	ModelsPerReplica float64
	// LoadShare is the share of the replicas that may load concurrently without
	// slowing each other down.
	LoadShare float64
}

// Defaults returns the default parameters.
func Defaults() Config { return Config{ModelsPerReplica: 1.5, LoadShare: 0.2} }

// Replica is the state of one engine replica of a service.
type Replica struct {
	ID          string
	Service     string
	DataCentre  string
	Incarnation int64
	Leaving     bool
	// Versions holds the weight version of each model, as last read from the
	// replica.
	Versions map[string]int64
	// Serves holds the models that the replica is assigned to.
	Serves map[string]bool
	// Busy is set while the replica executes an order. Loading is the model for
	// which it loads a version.
	Busy    bool
	Loading string
	// AwaitingReport is set when the load has taken as long as loads usually do, so
	// that only the delayed report of the replica is missing.
	AwaitingReport bool
	// NotBefore is the earliest time for the next order.
	NotBefore time.Time
}

// Model is one model of a service.
type Model struct {
	Name    string
	Service string
	Newest  int64 // newest published version
	// MaxLag is the maximum number of versions by which a replica that serves the
	// model may lag behind the newest one.
	MaxLag int64
	// SingleVersion is set if a run must not continue under another version.
	SingleVersion bool
}

// Order instructs a replica to load a version of a model.
type Order struct {
	Replica string
	Model   string
	Version int64
	// FinishRuns lets the current runs of the model finish before the load.
	FinishRuns bool
}

// Assign adds replicas to models that have too few and returns the sorted IDs of
// the replicas whose Serves changed. It never removes an assignment, so that few
// replicas have to load a version in addition to the regular rollout.
func Assign(config Config, replicas []*Replica, models []Model) []string {
	changed := make(map[string]bool)
	for _, m := range models {
		count := countModels(models, m.Service)
		pool := activeReplicas(replicas, m.Service)
		want := int(math.Ceil(float64(len(pool)) * config.ModelsPerReplica / float64(max(count, 1))))
		want = min(max(want, 1), len(pool))
		for _, r := range replicasToAdd(pool, m, want) {
			r.Serves[m.Name] = true
			changed[r.ID] = true
		}
	}
	ids := make([]string, 0, len(changed))
	for id := range changed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func countModels(models []Model, service string) int {
	n := 0
	for _, m := range models {
		if m.Service == service {
			n++
		}
	}
	return n
}

// activeReplicas returns the replicas of a service that are not leaving.
func activeReplicas(replicas []*Replica, service string) []*Replica {
	var pool []*Replica
	for _, r := range replicas {
		if r.Service == service && !r.Leaving {
			pool = append(pool, r)
		}
	}
	return pool
}

// replicasToAdd returns the replicas to assign to a model until it has want of
// them. Replicas that serve the fewest models go first, then those in the data
// centres with the fewest replicas of this model, then those with its newest
// version.
func replicasToAdd(pool []*Replica, m Model, want int) []*Replica {
	assigned := 0
	perDataCentre := make(map[string]int)
	var free []*Replica
	for _, r := range pool {
		if r.Serves[m.Name] {
			assigned++
			perDataCentre[r.DataCentre]++
		} else {
			free = append(free, r)
		}
	}
	var added []*Replica
	for ; assigned < want && len(free) > 0; assigned++ {
		best := slices.MinFunc(free, func(a, b *Replica) int {
			return cmp.Or(
				cmp.Compare(len(a.Serves), len(b.Serves)),
				cmp.Compare(perDataCentre[a.DataCentre], perDataCentre[b.DataCentre]),
				cmp.Compare(b.Versions[m.Name], a.Versions[m.Name]),
				cmp.Compare(a.ID, b.ID),
			)
		})
		perDataCentre[best.DataCentre]++
		added = append(added, best)
		free = slices.DeleteFunc(free, func(r *Replica) bool { return r == best })
	}
	return added
}

// Next returns the orders to send now. When the limit on concurrent loads is
// reached, the model with the fewest replicas at its newest version goes first:
// once the next version is published, only those replicas can serve it.
func Next(config Config, replicas []*Replica, models []Model, now time.Time) []Order {
	type candidate struct {
		order    Order
		atNewest int // other replicas that have or are loading the newest version
		usable   int // replicas of the model that can serve it at present
	}
	var candidates []candidate
	for _, m := range models {
		group := replicasServing(replicas, m)
		usable, atNewest := 0, 0
		for _, r := range group {
			if r.Loading != m.Name && r.Versions[m.Name] >= m.Newest-m.MaxLag {
				usable++
			}
			if r.Loading == m.Name || r.Versions[m.Name] >= m.Newest {
				atNewest++
			}
		}
		quota := (len(group)+1)/2 - atNewest
		slices.SortStableFunc(group, func(a, b *Replica) int { return cmp.Compare(a.Versions[m.Name], b.Versions[m.Name]) })
		for _, r := range group {
			version := r.Versions[m.Name]
			stale := version < m.Newest-m.MaxLag
			if version >= m.Newest || r.Loading == m.Name || (!stale && quota <= 0) {
				continue
			}
			if r.Busy || now.Before(r.NotBefore) {
				continue
			}
			quota--
			candidates = append(candidates, candidate{
				order: Order{Replica: r.ID, Model: m.Name, Version: m.Newest, FinishRuns: m.SingleVersion}, atNewest: atNewest, usable: usable,
			})
			atNewest++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.atNewest, b.atNewest), cmp.Compare(a.usable, b.usable))
	})
	budget := remainingLoads(config, replicas)
	var orders []Order
	busy := make(map[string]bool)
	for _, c := range candidates {
		if budget <= 0 {
			break
		}
		if busy[c.order.Replica] {
			continue
		}
		busy[c.order.Replica] = true
		budget--
		orders = append(orders, c.order)
	}
	return orders
}

// remainingLoads returns how many more replicas may start a load now.
func remainingLoads(config Config, replicas []*Replica) int {
	loading := 0
	for _, r := range replicas {
		if r.Busy && !r.AwaitingReport {
			loading++
		}
	}
	return max(int(math.Round(float64(len(replicas))*config.LoadShare)), 1) - loading
}

// replicasServing returns the replicas assigned to a model that are not leaving.
func replicasServing(replicas []*Replica, m Model) []*Replica {
	var group []*Replica
	for _, r := range replicas {
		if r.Service == m.Service && !r.Leaving && r.Serves[m.Name] {
			group = append(group, r)
		}
	}
	return group
}
