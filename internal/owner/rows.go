package owner

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// rowTTL is how long a received row is valid. It covers two missed messages
	// with all rows.
	rowTTL = 25 * time.Second
	// candidatesMaxAge is the age at which the cached candidates are rebuilt.
	// They are cached because building 750 of them takes longer than choosing
	// among them.
	candidatesMaxAge = 50 * time.Millisecond
	// ownersMaxAge is the age at which the cached owners are looked up again even
	// if no member changed and no owner refused a request: a new view may move
	// replicas among the same members. Looking them up takes 1.6 ms for 750 replicas
	// and 37 hosts.
	ownersMaxAge = time.Second
	// refusalTTL is how long a replica without a load row counts as unhealthy
	// after its owner refused a request for it. Otherwise every waiting request
	// would try the replica while its owner is still starting.
	refusalTTL = 200 * time.Millisecond
)

type receivedRow struct {
	row        *peerpb.LoadRow
	receivedAt time.Time
}

// routingTable holds the load rows and refusals received from other owners, and
// the candidates that were last built for the router. Maps with integer keys are
// keyed by the hash of the replica's ID.
type routingTable struct {
	received   map[uint64]receivedRow
	refusedAt  map[uint64]time.Time // time of the last refusal by the owner
	owners     ownerCache
	candidates []route.Candidate
	builtAt    time.Time         // time at which candidates were built
	hashes     map[string]uint64 // hashes of replica IDs
}

// ownerCache holds the owners of all replicas in the host list. The map is
// immutable and replaced as a whole.
type ownerCache struct {
	byReplica  map[string]string
	membersKey uint64 // result of membersKey when the owners were looked up
	readAt     time.Time
}

func newRoutingTable() routingTable {
	return routingTable{received: make(map[uint64]receivedRow), refusedAt: make(map[uint64]time.Time), hashes: make(map[string]uint64)}
}

func (r *routingTable) store(row *peerpb.LoadRow, now time.Time) {
	if row.ReplicaHash == 0 {
		row.ReplicaHash = route.HashReplica(row.Replica)
	}
	r.received[row.ReplicaHash] = receivedRow{row: row, receivedAt: now}
}

func (r *routingTable) expire(now time.Time) {
	for hash, at := range r.refusedAt {
		if now.Sub(at) > refusalTTL {
			delete(r.refusedAt, hash)
		}
	}
	for hash, row := range r.received {
		if now.Sub(row.receivedAt) > rowTTL {
			delete(r.received, hash)
		}
	}
}

// hash returns the hash of a replica's ID. The cached hashes are cleared when
// there are many more of them than candidates, because IDs of removed replicas
// are not deleted one by one.
func (r *routingTable) hash(id string) uint64 {
	h, ok := r.hashes[id]
	if !ok {
		if len(r.hashes) > 4*len(r.candidates)+1024 {
			clear(r.hashes)
		}
		h = route.HashReplica(id)
		r.hashes[id] = h
	}
	return h
}

// Candidates returns the engines of the host list as candidates for the router,
// with the last known load of each. The result is shared: the caller must not
// change it.
func (c *Controller) Candidates(servers func() []platform.BackendServer) []route.Candidate {
	now := time.Now()
	c.mu.Lock()
	if now.Sub(c.routing.builtAt) < candidatesMaxAge {
		defer c.mu.Unlock()
		return c.routing.candidates
	}
	c.mu.Unlock()

	listed := servers()
	owners, missing := c.owners(listed, now)
	if missing {
		c.refresh(now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := make([]route.Candidate, 0, len(listed))
	for _, server := range listed {
		if server.Kind == platform.KindEngine {
			candidates = append(candidates, c.candidate(server, owners[server.ID]))
		}
	}
	c.routing.candidates, c.routing.builtAt = candidates, now
	return candidates
}

// owners returns the ID of the owner of each replica. missing reports whether
// this host owns a replica that c.replicas does not have yet.
func (c *Controller) owners(listed []platform.BackendServer, now time.Time) (owners map[string]string, missing bool) {
	self, key := c.members.Self().ID, membersKey(c.members.All())
	c.mu.Lock()
	cached := c.routing.owners
	c.mu.Unlock()
	owners = cached.byReplica
	if cached.membersKey != key || now.Sub(cached.readAt) >= ownersMaxAge || !covers(owners, listed) {
		owners = c.lookUpOwners(listed)
		c.mu.Lock()
		c.routing.owners = ownerCache{byReplica: owners, membersKey: key, readAt: now}
		c.mu.Unlock()
	}
	for _, server := range listed {
		if owners[server.ID] == self {
			_, known := c.ownedReplica(server.ID)
			missing = missing || !known
		}
	}
	return owners, missing
}

func (c *Controller) lookUpOwners(listed []platform.BackendServer) map[string]string {
	owners := make(map[string]string, len(listed))
	for _, server := range listed {
		member, _ := c.ownership.Owner(server.ID, server.DataCentre)
		owners[server.ID] = member.ID
	}
	return owners
}

// covers reports whether owners has an entry for every listed replica.
func covers(owners map[string]string, listed []platform.BackendServer) bool {
	for _, server := range listed {
		if _, known := owners[server.ID]; !known {
			return false
		}
	}
	return true
}

// membersKey returns a hash that changes when a member is added, is removed or
// changes its state.
func membersKey(members []cluster.Member) uint64 {
	var key uint64
	for _, m := range members {
		key = key*31 + route.HashReplica(m.ID) + uint64(m.State)
	}
	return key
}

// RecordRefusal records that the owner of a replica refused a request for it.
// The replica counts as unhealthy for refusalTTL unless there is a load row for
// it. The cached owners are looked up again.
func (c *Controller) RecordRefusal(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routing.refusedAt[c.routing.hash(replica)] = time.Now()
	c.routing.owners.readAt = time.Time{} // a new view may have moved the replica
}

// candidate returns the candidate for one engine. The caller must hold c.mu.
func (c *Controller) candidate(server platform.BackendServer, owner string) route.Candidate {
	candidate := route.Candidate{
		Replica: server.ID, DataCentre: server.DataCentre, Model: server.Model,
		Owner: owner, Hash: c.routing.hash(server.ID), Leaving: server.Leaving,
	}
	if owner == c.members.Self().ID {
		owned, ok := c.replicas[server.ID]
		if !ok {
			// This host has just become the owner and has not read the state of
			// the replica yet, so the replica counts as unhealthy.
			candidate.StateKnown = true
			return candidate
		}
		if owned.State.Model != "" {
			candidate.Model = owned.State.Model
		}
		load, _ := c.admit.Load(server.ID, time.Now())
		candidate.StateKnown = true
		candidate.Healthy = owned.Healthy && !time.Now().Before(c.excludedUntil[server.ID])
		candidate.Leaving = candidate.Leaving || owned.Leaving
		candidate.Version = owned.State.Version
		candidate.Running, candidate.Queued, candidate.Limit = load.Running, load.Queued, load.Limit
		candidate.Wait = load.Wait
		return candidate
	}
	if received, ok := c.routing.received[candidate.Hash]; ok {
		row := received.row
		candidate.StateKnown, candidate.Healthy, candidate.Version = true, row.Healthy, row.Version
		candidate.Running, candidate.Queued, candidate.Limit = int(row.Running), int(row.Queued), int(row.Limit)
		candidate.ReceivedAt = received.receivedAt
		if row.Model != "" {
			candidate.Model = row.Model
		}
	} else if at, ok := c.routing.refusedAt[candidate.Hash]; ok && time.Since(at) < refusalTTL {
		candidate.StateKnown = true // Healthy stays false
	}
	return candidate
}
