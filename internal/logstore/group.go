package logstore

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
)

// Group maintains one membership in a consumer group and tracks the partitions
// that the member owns. Ownership expires when the store answers no renewal within
// the membership's TTL.
type Group struct {
	store      Store
	membership Membership
	onChange   func()
	now        func() time.Time // runs while the machine is suspended
	unanswered atomic.Bool      // the last renewal that ended got no response

	mu          sync.Mutex
	partitions  map[int]int64 // epoch at which each partition was acquired
	lastRenewal time.Time     // send time of the last answered renewal
	stopped     bool
	paused      bool // has left the group temporarily
}

// renewalsPerTTL is the number of renewals sent within one TTL of the membership.
const renewalsPerTTL = 4

// NewGroup returns a member that calls onChange when the partitions it owns change.
func NewGroup(store Store, m Membership, onChange func()) *Group {
	return &Group{store: store, membership: m, onChange: onChange, now: boottime.Now, partitions: make(map[int]int64)}
}

// Run renews the membership until ctx ends.
func (g *Group) Run(ctx context.Context) {
	interval := g.membership.TTL / renewalsPerTTL
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		// A renewal whose response is lost must not delay the next one.
		go g.renew(ctx, g.renewTimeout(interval))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewTimeout returns the timeout of the next renewal. Without a response to the last one,
// the store may be slow; a response is of use until the TTL has passed.
func (g *Group) renewTimeout(interval time.Duration) time.Duration {
	if g.unanswered.Load() {
		return g.membership.TTL
	}
	return 2 * interval
}

func (g *Group) renew(ctx context.Context, timeout time.Duration) {
	g.mu.Lock()
	stopped, paused, m := g.stopped, g.paused, g.membership
	g.mu.Unlock()
	if stopped || paused {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := g.now()
	assignment, err := g.store.Join(ctx, m)
	g.unanswered.Store(err != nil || g.now().Sub(sent) > timeout/2)
	if err != nil {
		klog.V(1).InfoS("could not renew group membership", "group", m.Group, "err", err)
		if !g.valid() {
			g.onChange()
		}
		return
	}
	g.applyAssignment(assignment, sent)
}

func (g *Group) applyAssignment(a Assignment, sent time.Time) {
	g.mu.Lock()
	if g.paused || a.Generation < g.membership.Generation {
		g.mu.Unlock()
		return
	}
	lapsed := g.now().Sub(g.lastRenewal) >= g.membership.TTL
	if sent.After(g.lastRenewal) {
		g.lastRenewal = sent
	}
	changed := false
	owned := make(map[int]int64, len(a.Partitions))
	for _, p := range a.Partitions {
		epoch, ok := g.partitions[p]
		// After a lapse, another member may have owned the partition meanwhile.
		if !ok || (lapsed && a.Generation > epoch) {
			epoch, changed = a.Generation, true
		}
		owned[p] = epoch
	}
	changed = changed || len(owned) != len(g.partitions)
	g.partitions = owned
	g.membership.Generation = a.Generation
	g.mu.Unlock()
	if changed {
		klog.InfoS("group assignment changed", "group", g.membership.Group, "member", g.membership.Member, "generation", a.Generation, "partitions", a.Partitions)
		g.onChange()
	}
}

// valid reports whether the membership has not expired and the member has not left the
// group permanently.
func (g *Group) valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopped && g.now().Sub(g.lastRenewal) < g.membership.TTL
}

// Owned returns the partitions that the member owns now, with their epochs.
func (g *Group) Owned() map[int]int64 {
	if !g.valid() {
		return nil
	}
	return g.Assigned()
}

// Assigned returns the partitions of the last assignment, with their epochs, even
// if the membership has expired since.
func (g *Group) Assigned() map[int]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	return maps.Clone(g.partitions)
}

// ReleaseFenced releases a partition whose writer was found to be fenced under an
// epoch, unless the partition was assigned again under a newer one since. A later
// renewal that still lists the partition acquires it again, under an epoch that is
// the generation of that renewal's response; this may be the same epoch.
func (g *Group) ReleaseFenced(partition int, epoch int64) {
	g.mu.Lock()
	current, owned := g.partitions[partition]
	if owned && current == epoch {
		delete(g.partitions, partition)
	}
	g.mu.Unlock()
	if owned && current != epoch {
		klog.InfoS("fenced writer of a former epoch, keeping the current assignment", "partition", partition, "fenced", epoch, "epoch", current)
		return
	}
	g.onChange()
}

// SinceRenewal returns the time since the last answered renewal was sent.
func (g *Group) SinceRenewal() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Sub(g.lastRenewal)
}

// StartPaused makes Run wait until SetPaused lets the member join. It is called before Run
// and needs no call to the store, because the member has not joined yet.
func (g *Group) StartPaused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = true
}

// SetPaused leaves the group, or lets the next renewal join it again.
func (g *Group) SetPaused(ctx context.Context, pause bool) {
	g.mu.Lock()
	changed := g.paused != pause
	g.paused = pause
	if pause {
		g.partitions = make(map[int]int64)
	}
	m := g.membership
	g.mu.Unlock()
	if !changed {
		return
	}
	klog.InfoS("group membership paused or resumed", "group", m.Group, "member", m.Member, "resting", pause)
	g.onChange()
	if pause {
		if err := g.store.Leave(ctx, m.Group, m.Member); err != nil {
			klog.InfoS("could not leave the group", "group", m.Group, "err", err)
		}
	}
}

// HandOver leaves the group, once release has returned, until SetPaused lets it join
// again. The member owns no partitions from the start.
func (g *Group) HandOver(ctx context.Context, release func()) {
	g.mu.Lock()
	g.paused = true
	g.partitions = make(map[int]int64)
	m := g.membership
	g.mu.Unlock()
	release()
	g.onChange()
	if err := g.store.Leave(ctx, m.Group, m.Member); err != nil {
		klog.InfoS("could not leave the group", "group", m.Group, "err", err)
	}
}

// Stop leaves the group permanently.
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
