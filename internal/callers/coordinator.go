package callers

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// clockSkew is the maximum assumed difference between the clock that generated a
// request ID and the clock of this host.
const clockSkew = 5 * time.Second

// memberSet holds the live members of this host's data centre from a point in
// time until the next set begins.
type memberSet struct {
	from time.Time
	ids  []string
}

func rendezvousHash(member, id string) uint64 { return xxhash.Sum64String(member + "\x00" + id) }

// findCoordinator returns the request coordinator in a data centre: the live
// member with the highest rendezvous hash for the request ID. The ID of the
// result is empty if the data centre has no live member.
func findCoordinator(id, dataCentre string, all []cluster.Member) cluster.Member {
	var coordinator cluster.Member
	var highest uint64
	for _, m := range all {
		if m.DataCentre != dataCentre || !isServing(m) {
			continue
		}
		if h := rendezvousHash(m.ID, id); coordinator.ID == "" || h > highest {
			coordinator, highest = m, h
		}
	}
	return coordinator
}

// isServing reports whether a member can coordinate requests.
func isServing(m cluster.Member) bool {
	return m.State != cluster.MemberDead && m.State != cluster.MemberLeaving
}

// observeMembers records the live members of this host's data centre if they
// changed since the last call. The caller must hold coordinatorMu.
func (c *Controller) observeMembers(now time.Time) {
	self := c.members.Self()
	var ids []string
	for _, m := range c.members.All() {
		if m.DataCentre == self.DataCentre && (isServing(m) || m.ID == self.ID) {
			ids = append(ids, m.ID)
		}
	}
	if n := len(c.memberSets); n == 0 || !slices.Equal(c.memberSets[n-1].ids, ids) {
		c.memberSets = append(c.memberSets, memberSet{from: now, ids: ids})
	}
	// Remove the sets that ended before the retention period.
	for len(c.memberSets) > 1 && now.Sub(c.memberSets[1].from) > c.config.Coordinator.Retention {
		c.memberSets = c.memberSets[1:]
	}
}

// historyIncomplete reports whether this host may lack the record of an attempt
// under the request ID, because another host may have coordinated the request
// earlier, this process started later, or the record may have expired. The
// timestamp of a UUIDv7 limits the age of the request; any other ID may be as
// old as the retention period. The caller must hold coordinatorMu.
func (c *Controller) historyIncomplete(id string, now time.Time) bool {
	c.observeMembers(now)
	since := now.Add(-c.config.Coordinator.Retention)
	if issuedAt, ok := idTime(id); ok {
		if issuedAt.Add(-clockSkew).Before(since) {
			return true
		}
		since = issuedAt.Add(-clockSkew)
	}
	if since.Before(c.started) {
		return true
	}
	self := c.members.Self().ID
	own := rendezvousHash(self, id)
	for i, set := range c.memberSets {
		if i+1 < len(c.memberSets) && !c.memberSets[i+1].from.After(since) {
			continue // replaced before the request can have been sent
		}
		if slices.ContainsFunc(set.ids, func(m string) bool { return m != self && rendezvousHash(m, id) > own }) {
			return true
		}
	}
	return false
}

// idTime returns the timestamp of a UUIDv7, which may be qualified by a workspace. It
// returns false for other IDs.
func idTime(id string) (time.Time, bool) {
	parsed, err := uuid.Parse(jobs.CallerID(id))
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(parsed.Time().UnixTime()), true
}

// reachedElsewhere reports whether an attempt reached, or may have reached, a
// backend server in another data centre, because the balancer may have sent an
// earlier attempt to any of them. It asks the request coordinator of each data
// centre. A data centre that does not respond may have run the request.
func (c *Controller) reachedElsewhere(ctx context.Context, id string) bool {
	self := c.members.Self()
	all := c.members.All()
	queried := map[string]bool{self.DataCentre: true}
	var group errgroup.Group
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), coordinatorTimeout)
	defer cancel()
	for _, m := range all {
		if queried[m.DataCentre] {
			continue
		}
		queried[m.DataCentre] = true
		group.Go(func() error { return c.queryReached(ctx, findCoordinator(id, m.DataCentre, all), id) })
	}
	if err := group.Wait(); err != nil {
		klog.V(1).InfoS("cannot rule out that the request ran in another data centre", "request_id", id, "err", err)
		c.recorder.Count("not_run_uncertain_total")
		return true
	}
	return false
}

// queryReached returns nil if the coordinator reports that no attempt reached a
// backend server in its data centre, and an error otherwise.
func (c *Controller) queryReached(ctx context.Context, coordinator cluster.Member, id string) error {
	if coordinator.ID == "" {
		return errMayHaveReached
	}
	client, err := c.peers.Client(coordinator.PeerAddr)
	if err != nil {
		return err
	}
	reply, err := client.Complete(ctx, &peerpb.CompleteRequest{RequestId: id, Query: true})
	if err != nil {
		return err
	}
	if reply.Reached {
		return errMayHaveReached
	}
	return nil
}
