package owner

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// rowLifetime covers two missed summaries with all rows.
	rowLifetime = 25 * time.Second
	// rowsRefresh is the age at which the candidates are built again. Building
	// 750 of them takes longer than a choice among them.
	rowsRefresh = 50 * time.Millisecond
	// ownersRefresh is the age at which owners are asked for again when no
	// member changed and no owner refused: a new view may move replicas among
	// the same members. Asking takes 1.6 ms for 750 replicas and 37 hosts.
	ownersRefresh = time.Second
	// refusedLifetime keeps a replica without a load row from being tried by
	// every waiting request in turn, while its owner still starts.
	refusedLifetime = 200 * time.Millisecond
)

type receivedRow struct {
	row *peerpb.LoadRow
	at  time.Time
}

// rows holds the load rows received from other owners, by the hash of the
// replica's ID.
type rows struct {
	received map[uint64]receivedRow
	refused  map[uint64]time.Time // replicas whose owner cannot use them yet
	owners   ownerCache
	built    []route.Candidate
	builtAt  time.Time
	hashes   map[string]uint64
}

// ownerCache holds the owners of all listed replicas. The map does not change
// once it is here.
type ownerCache struct {
	byReplica map[string]string
	key       uint64 // of the members that it was made for
	at        time.Time
}

func newRows() rows {
	return rows{received: make(map[uint64]receivedRow), refused: make(map[uint64]time.Time), hashes: make(map[string]uint64)}
}

func (r *rows) put(row *peerpb.LoadRow, now time.Time) {
	if row.ReplicaHash == 0 {
		row.ReplicaHash = route.HashReplica(row.Replica)
	}
	r.received[row.ReplicaHash] = receivedRow{row: row, at: now}
}

func (r *rows) expire(now time.Time) {
	for hash, at := range r.refused {
		if now.Sub(at) > refusedLifetime {
			delete(r.refused, hash)
		}
	}
	for hash, row := range r.received {
		if now.Sub(row.at) > rowLifetime {
			delete(r.received, hash)
		}
	}
}

func (r *rows) hash(id string) uint64 {
	h, ok := r.hashes[id]
	if !ok {
		if len(r.hashes) > 4*len(r.built)+1024 {
			clear(r.hashes)
		}
		h = route.HashReplica(id)
		r.hashes[id] = h
	}
	return h
}

// Candidates returns the engines of the host list as candidates for the router, with
// what is known about their load. The caller must not change them.
func (c *Controller) Candidates(servers func() []platform.BackendServer) []route.Candidate {
	now := time.Now()
	c.mu.Lock()
	if now.Sub(c.rows.builtAt) < rowsRefresh {
		defer c.mu.Unlock()
		return c.rows.built
	}
	c.mu.Unlock()

	listed := servers()
	owners, missing := c.owners(listed, now)
	if missing {
		c.refresh(now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	built := make([]route.Candidate, 0, len(listed))
	for _, server := range listed {
		if server.Kind == platform.KindEngine {
			built = append(built, c.candidate(server, owners[server.ID]))
		}
	}
	c.rows.built, c.rows.builtAt = built, now
	return built
}

// owners returns the owner of each replica. Missing says that this host owns
// one that it does not know as its own yet.
func (c *Controller) owners(listed []platform.BackendServer, now time.Time) (owners map[string]string, missing bool) {
	self, key := c.members.Self().ID, membersKey(c.members.All())
	c.mu.Lock()
	cached := c.rows.owners
	c.mu.Unlock()
	owners = cached.byReplica
	if cached.key != key || now.Sub(cached.at) >= ownersRefresh || !covers(owners, listed) {
		owners = c.askOwners(listed)
		c.mu.Lock()
		c.rows.owners = ownerCache{byReplica: owners, key: key, at: now}
		c.mu.Unlock()
	}
	for _, server := range listed {
		if owners[server.ID] == self {
			_, known := c.replica(server.ID)
			missing = missing || !known
		}
	}
	return owners, missing
}

func (c *Controller) askOwners(listed []platform.BackendServer) map[string]string {
	owners := make(map[string]string, len(listed))
	for _, server := range listed {
		member, _ := c.ownership.Owner(server.ID, server.DataCentre)
		owners[server.ID] = member.ID
	}
	return owners
}

// covers reports whether the owner of every listed replica was asked for.
func covers(owners map[string]string, listed []platform.BackendServer) bool {
	for _, server := range listed {
		if _, asked := owners[server.ID]; !asked {
			return false
		}
	}
	return true
}

// membersKey changes when a member comes, goes or changes its state.
func membersKey(members []cluster.Member) uint64 {
	var key uint64
	for _, m := range members {
		key = key*31 + route.HashReplica(m.ID) + uint64(m.State)
	}
	return key
}

// RecordRefusal records that the owner of a replica cannot use it now. It counts
// for a moment, and only while no load row says otherwise.
func (c *Controller) RecordRefusal(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows.refused[c.rows.hash(replica)] = time.Now()
	c.rows.owners.at = time.Time{} // a new view may have changed the owner
}

// candidate describes one engine. The caller holds the lock.
func (c *Controller) candidate(server platform.BackendServer, owner string) route.Candidate {
	candidate := route.Candidate{
		Replica: server.ID, DataCentre: server.DataCentre, Model: server.Model,
		Owner: owner, Hash: c.rows.hash(server.ID), Leaving: server.Leaving,
	}
	if owner == c.members.Self().ID {
		owned, ok := c.replicas[server.ID]
		if !ok {
			// This host became the owner and has not read the state back yet.
			candidate.StateKnown = true
			return candidate
		}
		if owned.State.Model != "" {
			candidate.Model = owned.State.Model
		}
		load, _ := c.admit.Load(server.ID)
		candidate.StateKnown = true
		candidate.Healthy = owned.Healthy && !time.Now().Before(c.out[server.ID])
		candidate.Leaving = candidate.Leaving || owned.Leaving
		candidate.Version = owned.State.Version
		candidate.Running, candidate.Queued, candidate.Limit = load.Running, load.Queued, load.Limit
		candidate.Wait = load.Wait
		return candidate
	}
	if received, ok := c.rows.received[candidate.Hash]; ok {
		row := received.row
		candidate.StateKnown, candidate.Healthy, candidate.Version = true, row.Healthy, row.Version
		candidate.Running, candidate.Queued, candidate.Limit = int(row.Running), int(row.Queued), int(row.Limit)
		candidate.ReceivedAt = received.at
		if row.Model != "" {
			candidate.Model = row.Model
		}
	} else if at, ok := c.rows.refused[candidate.Hash]; ok && time.Since(at) < refusedLifetime {
		candidate.StateKnown = true // and not healthy
	}
	return candidate
}
