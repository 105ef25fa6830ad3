package orders

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// snapshot is an immutable picture of who owns what.
type snapshot struct {
	serving map[string][]string // hosts that admit, by data centre
	members map[string]cluster.Member
	owned   []cluster.Replica
}

// refresh takes membership, views and states into a new snapshot.
func (c *Controller) refresh() {
	next := &snapshot{serving: make(map[string][]string), members: make(map[string]cluster.Member)}
	live := make(map[string][]string)
	for _, m := range c.members.All() {
		next.members[m.ID] = m
		if m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect {
			live[m.DataCentre] = append(live[m.DataCentre], m.ID)
		}
	}
	servers := c.inventory.BackendServers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for dc, ids := range live {
		view, _, _ := c.permit.Views.View(dc)
		next.serving[dc] = lease.ServingHosts(view.Hosts, ids)
	}
	for _, server := range servers {
		if c.ownsLocked(next, server) {
			next.owned = append(next.owned, c.replicaLocked(server))
		}
	}
	c.snapshot.Store(next)
}

// ownsLocked says whether this host owns the engine, for orders by the view or
// for admission by membership.
func (c *Controller) ownsLocked(s *snapshot, server platform.BackendServer) bool {
	if server.Kind != platform.KindEngine || server.DataCentre != c.self.DataCentre {
		return false
	}
	if lease.Owner(server.ID, s.serving[server.DataCentre]) == c.self.ID {
		return true
	}
	return c.ownsByViewLocked(server.ID)
}

func (c *Controller) ownsByViewLocked(replicaID string) bool {
	view, _, ok := c.permit.Views.View(c.self.DataCentre)
	return ok && lease.Owner(replicaID, view.Hosts) == c.self.ID
}

func (c *Controller) replicaLocked(server platform.BackendServer) cluster.Replica {
	r := cluster.Replica{BackendServer: server}
	if p := c.polls[server.ID]; p != nil && p.addr == server.Addr {
		r.State = p.state
		r.Healthy = !p.okAt.IsZero() && time.Since(p.okAt) < max(minHealthyTime, healthyIntervals*c.cfg.StateInterval)
	}
	return r
}

// Owner returns the member that admits work to a replica.
func (c *Controller) Owner(replicaID, dataCentre string) (cluster.Member, bool) {
	s := c.snapshot.Load()
	m, ok := s.members[lease.Owner(replicaID, s.serving[dataCentre])]
	return m, ok
}

// MayOrder returns the fencing number under which this host may send orders to
// the replica now, or false.
func (c *Controller) MayOrder(replicaID string) (int64, bool) {
	permission, refusal := c.mayOrder(replicaID)
	return permission.Fence, refusal == ""
}

func (c *Controller) mayOrder(replicaID string) (lease.Permission, lease.Refusal) {
	set, _ := c.configs.Current()
	var found platform.BackendServer
	for _, server := range c.inventory.BackendServers() {
		if server.ID == replicaID {
			found = server
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := found.ID != "" && c.checkedLocked(set, found)
	return c.permit.AuthorizeOrder(time.Now(), replicaID, c.self.DataCentre, checked)
}

// checkedLocked says whether the engine refuses old fencing numbers. It must be
// declared for both the model that the engine was started for and the one
// that it runs, because either declaration may be wrong for an engine that
// was moved.
func (c *Controller) checkedLocked(set *declare.Set, server platform.BackendServer) bool {
	if set == nil {
		return false
	}
	model := set.Models[server.Model]
	if model == nil || !model.FencingChecked {
		return false
	}
	p := c.polls[server.ID]
	if p == nil {
		return true
	}
	running := set.Models[p.state.Model]
	return running == nil || running.FencingChecked
}

func (c *Controller) stateOf(replicaID string) engine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.polls[replicaID]; p != nil {
		return p.state
	}
	return engine.State{}
}

// OwnedReplicas returns the replicas that this host owns, for orders or for
// admission, with the state last read back.
func (c *Controller) OwnedReplicas() []cluster.Replica {
	return append([]cluster.Replica(nil), c.snapshot.Load().owned...)
}
