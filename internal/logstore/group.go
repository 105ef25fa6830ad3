package logstore

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Group keeps one member in a consumer group and knows what it holds. What it
// holds ends by itself when renewals go unanswered for the time to live.
type Group struct {
	store      Store
	membership Membership
	onChange   func()

	mu         sync.Mutex
	partitions map[int]int64 // epoch at which each partition was dealt
	renewed    time.Time     // start of the last answered renewal
	stopped    bool
	resting    bool // does not take part for now
}

// renewals is the number of renewals in a time to live.
const renewals = 4

// NewGroup returns a member that calls onChange when what it holds changed.
func NewGroup(store Store, m Membership, onChange func()) *Group {
	return &Group{store: store, membership: m, onChange: onChange, partitions: make(map[int]int64)}
}

// Run renews the membership until ctx ends.
func (g *Group) Run(ctx context.Context) {
	interval := g.membership.TTL / renewals
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		// A renewal whose answer is lost must not hold up the next one.
		go g.renew(ctx, 2*interval)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Group) renew(ctx context.Context, limit time.Duration) {
	g.mu.Lock()
	stopped, resting, m := g.stopped, g.resting, g.membership
	g.mu.Unlock()
	if stopped || resting {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	assignment, err := g.store.Join(ctx, m)
	if err != nil {
		klog.V(1).InfoS("membership was not renewed", "group", m.Group, "err", err)
		if !g.valid() {
			g.onChange()
		}
		return
	}
	g.accept(assignment, sent)
}

func (g *Group) accept(a Assignment, sent time.Time) {
	g.mu.Lock()
	if g.resting || a.Generation < g.membership.Generation {
		g.mu.Unlock()
		return
	}
	lapsed := time.Since(g.renewed) >= g.membership.TTL
	if sent.After(g.renewed) {
		g.renewed = sent
	}
	changed := false
	held := make(map[int]int64, len(a.Partitions))
	for _, p := range a.Partitions {
		epoch, ok := g.partitions[p]
		// After a lapse another member may have held the partition meanwhile.
		if !ok || (lapsed && a.Generation > epoch) {
			epoch, changed = a.Generation, true
		}
		held[p] = epoch
	}
	changed = changed || len(held) != len(g.partitions)
	g.partitions = held
	g.membership.Generation = a.Generation
	g.mu.Unlock()
	if changed {
		klog.InfoS("group assignment", "group", g.membership.Group, "member", g.membership.Member, "generation", a.Generation, "partitions", a.Partitions)
		g.onChange()
	}
}

func (g *Group) valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopped && time.Since(g.renewed) < g.membership.TTL
}

// Owned returns the partitions that the member holds now with their epochs.
func (g *Group) Owned() map[int]int64 {
	if !g.valid() {
		return nil
	}
	return g.Assigned()
}

// Assigned returns the partitions that the store dealt last with their epochs,
// also when renewals go unanswered.
func (g *Group) Assigned() map[int]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	return maps.Clone(g.partitions)
}

// ReleaseFenced drops a partition that another member was found to hold. A later
// renewal that still lists it takes it over with a new epoch.
func (g *Group) ReleaseFenced(partition int) {
	g.mu.Lock()
	delete(g.partitions, partition)
	g.mu.Unlock()
	g.onChange()
}

// LastRenewal returns when the last answered renewal was sent.
func (g *Group) LastRenewal() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.renewed
}

// SetPaused leaves the group until SetPaused(ctx, false), or takes part in it again.
func (g *Group) SetPaused(ctx context.Context, rest bool) {
	g.mu.Lock()
	changed := g.resting != rest
	g.resting = rest
	if rest {
		g.partitions = make(map[int]int64)
	}
	m := g.membership
	g.mu.Unlock()
	if !changed {
		return
	}
	klog.InfoS("group membership", "group", m.Group, "member", m.Member, "resting", rest)
	g.onChange()
	if rest {
		if err := g.store.Leave(ctx, m.Group, m.Member); err != nil {
			klog.InfoS("could not leave the group", "group", m.Group, "err", err)
		}
	}
}

// Stop leaves the group for good.
func (g *Group) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopped = true
	m := g.membership
	g.mu.Unlock()
	g.onChange()
	if err := g.store.Leave(ctx, m.Group, m.Member); err != nil {
		klog.InfoS("could not leave the group", "group", m.Group, "err", err)
	}
}
