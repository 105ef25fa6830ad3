// Package rollout decides which replicas serve a model and which of them load
// a new weight version next.
//
// A load keeps a replica from starting runs of the model for about a second,
// and loads slow each other down. So a model is served by a share of the
// replicas, and as long as its trainer allows the version before the newest,
// only the older half of them loads each version while the other half serves.
//
// The package has no I/O and no clock.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the parameters of a plan.
type Config struct {
	// ModelsPerReplica is how many models of its service a replica serves.
	ModelsPerReplica float64
	// LoadShare is the share of a service's replicas that may load at once
	// before loads slow down.
	LoadShare float64
}

// Defaults returns the default parameters.
func Defaults() Config { return Config{ModelsPerReplica: 1.5, LoadShare: 0.2} }

// Replica is one replica of a service of engines.
type Replica struct {
	ID          string
	Service     string
	DataCentre  string
	Incarnation int64
	Leaving     bool
	// Versions holds the version of each model, as read back.
	Versions map[string]int64
	// Serves holds the models that the replica was chosen for.
	Serves map[string]bool
	// Busy says that an order is under way there, Loading for which model.
	Busy    bool
	Loading string
	// AwaitingReport says that the load has taken as long as loads do, and only the
	// replica's late report of it is missing.
	AwaitingReport bool
	// NotBefore delays the next order.
	NotBefore time.Time
}

// Model is one model of a service.
type Model struct {
	Name    string
	Service string
	Newest  int64 // newest named version
	// MaxLag is how many versions before the newest one may still be used.
	MaxLag int64
	// SingleVersion says that a run must not go on under another version.
	SingleVersion bool
}

// Order asks a replica to load a version of a model.
type Order struct {
	Replica string
	Model   string
	Version int64
	// FinishRuns lets runs of the model finish under their version first.
	FinishRuns bool
}

// Assign marks which replicas serve each model and returns the IDs of those
// whose mark changed. It keeps what is marked as long as it can, so that few
// replicas load out of turn.
func Assign(config Config, replicas []*Replica, models []Model) []string {
	changed := make(map[string]bool)
	for _, m := range models {
		count := modelsOf(models, m.Service)
		pool := serving(replicas, m.Service)
		want := int(math.Ceil(float64(len(pool)) * config.ModelsPerReplica / float64(max(count, 1))))
		want = min(max(want, 1), len(pool))
		for _, r := range fill(pool, m, want) {
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

func modelsOf(models []Model, service string) int {
	n := 0
	for _, m := range models {
		if m.Service == service {
			n++
		}
	}
	return n
}

func serving(replicas []*Replica, service string) []*Replica {
	var pool []*Replica
	for _, r := range replicas {
		if r.Service == service && !r.Leaving {
			pool = append(pool, r)
		}
	}
	return pool
}

// fill returns the replicas to add to a model: those that serve the fewest
// models, in data centres that have the fewest replicas of this model, and
// those with the newest version of it first.
func fill(pool []*Replica, m Model, want int) []*Replica {
	have := 0
	perCentre := make(map[string]int)
	var free []*Replica
	for _, r := range pool {
		if r.Serves[m.Name] {
			have++
			perCentre[r.DataCentre]++
		} else {
			free = append(free, r)
		}
	}
	var added []*Replica
	for ; have < want && len(free) > 0; have++ {
		best := slices.MinFunc(free, func(a, b *Replica) int {
			return cmp.Or(
				cmp.Compare(len(a.Serves), len(b.Serves)),
				cmp.Compare(perCentre[a.DataCentre], perCentre[b.DataCentre]),
				cmp.Compare(b.Versions[m.Name], a.Versions[m.Name]),
				cmp.Compare(a.ID, b.ID),
			)
		})
		perCentre[best.DataCentre]++
		added = append(added, best)
		free = slices.DeleteFunc(free, func(r *Replica) bool { return r == best })
	}
	return added
}

// Next returns the orders to send now. When loads have to wait, the model with
// the fewest replicas at its newest version goes first: once the next version is
// named, only those can serve it.
func Next(config Config, replicas []*Replica, models []Model, now time.Time) []Order {
	type candidate struct {
		order    Order
		atNewest int // replicas that have the newest version or load it, before this one
		usable   int // replicas of the model that can serve it meanwhile
	}
	var candidates []candidate
	for _, m := range models {
		group := servingModel(replicas, m)
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
	room := loadLimit(config, replicas)
	var orders []Order
	busy := make(map[string]bool)
	for _, c := range candidates {
		if room <= 0 {
			break
		}
		if busy[c.order.Replica] {
			continue
		}
		busy[c.order.Replica] = true
		room--
		orders = append(orders, c.order)
	}
	return orders
}

// loadLimit returns how many more replicas may load now.
func loadLimit(config Config, replicas []*Replica) int {
	loading := 0
	for _, r := range replicas {
		if r.Busy && !r.AwaitingReport {
			loading++
		}
	}
	return max(int(math.Round(float64(len(replicas))*config.LoadShare)), 1) - loading
}

func servingModel(replicas []*Replica, m Model) []*Replica {
	var group []*Replica
	for _, r := range replicas {
		if r.Service == m.Service && !r.Leaving && r.Serves[m.Name] {
			group = append(group, r)
		}
	}
	return group
}
