package orders

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// snapshot is an immutable copy of the membership and the ownership of replicas.
type snapshot struct {
	serving map[string][]string // hosts that admit requests, by data centre
	members map[string]cluster.Member
	owned   []cluster.Replica // replicas that this host owns
}

// refresh builds a new snapshot from membership, views and replica states.
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
		view, _, _ := c.authorizer.Views.View(dc)
		next.serving[dc] = lease.ServingHosts(view.Hosts, ids)
	}
	for _, server := range servers {
		if c.ownsLocked(next, server) {
			next.owned = append(next.owned, c.replicaLocked(server))
		}
	}
	c.snapshot.Store(next)
}

// ownsLocked reports whether this host owns the replica for admission, which
// depends on the view and membership, or for orders, which depends on the view
// only.
func (c *Controller) ownsLocked(s *snapshot, server platform.BackendServer) bool {
	if server.Kind != platform.KindEngine || server.DataCentre != c.self.DataCentre {
		return false
	}
	if lease.Owner(server.ID, s.serving[server.DataCentre]) == c.self.ID {
		return true
	}
	return c.ownsByViewLocked(server.ID)
}

// ownsByViewLocked reports whether this host owns the replica by the view alone.
func (c *Controller) ownsByViewLocked(replicaID string) bool {
	view, _, ok := c.authorizer.Views.View(c.self.DataCentre)
	return ok && lease.Owner(replicaID, view.Hosts) == c.self.ID
}

func (c *Controller) replicaLocked(server platform.BackendServer) cluster.Replica {
	r := cluster.Replica{BackendServer: server}
	if p := c.polls[server.ID]; p != nil && p.addr == server.Addr {
		r.State = p.state
		r.Healthy = !p.succeededAt.IsZero() && time.Since(p.succeededAt) < max(minHealthyWindow, healthyWindowIntervals*c.cfg.StateInterval)
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
	permission, refusal := c.authorizeOrder(replicaID)
	return permission.Fence, refusal == ""
}

// authorizeOrder returns the permission to send orders to the replica now, or
// the reason why there is none.
func (c *Controller) authorizeOrder(replicaID string) (lease.Permission, lease.Refusal) {
	set, _ := c.configs.Current()
	var found platform.BackendServer
	for _, server := range c.inventory.BackendServers() {
		if server.ID == replicaID {
			found = server
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := found.ID != "" && c.fencingCheckedLocked(set, found)
	return c.authorizer.AuthorizeOrder(time.Now(), replicaID, c.self.DataCentre, checked)
}

// fencingCheckedLocked reports whether the engine refuses old fencing numbers.
// This must be declared for both the model in the host list and the model that
// the engine serves, because either declaration may be wrong for an engine that
// was moved to another model.
func (c *Controller) fencingCheckedLocked(set *declare.Set, server platform.BackendServer) bool {
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

// stateOf returns the last state read from the replica.
func (c *Controller) stateOf(replicaID string) engine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.polls[replicaID]; p != nil {
		return p.state
	}
	return engine.State{}
}

// OwnedReplicas returns the replicas that this host owns, for orders or for
// admission, with the last state read from each.
func (c *Controller) OwnedReplicas() []cluster.Replica {
	return append([]cluster.Replica(nil), c.snapshot.Load().owned...)
}
