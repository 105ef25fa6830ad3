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
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// clockSkew is the largest difference between the clock that made a request ID
// and the clock of this host.
const clockSkew = 5 * time.Second

// memberSet is the live members of the own data centre from a moment on.
type memberSet struct {
	from time.Time
	ids  []string
}

func homeHash(member, id string) uint64 { return xxhash.Sum64String(member + "\x00" + id) }

// homeIn returns the live member of a data centre with the highest rendezvous
// hash for a request ID. Its ID is empty when there is none.
func homeIn(id, dataCentre string, all []cluster.Member) cluster.Member {
	var home cluster.Member
	var highest uint64
	for _, m := range all {
		if m.DataCentre != dataCentre || !serves(m) {
			continue
		}
		if h := homeHash(m.ID, id); home.ID == "" || h > highest {
			home, highest = m, h
		}
	}
	return home
}

func serves(m cluster.Member) bool {
	return m.State != cluster.MemberDead && m.State != cluster.MemberLeaving
}

// observeMembers records a change of the live members. The caller holds homeMu.
func (c *Controller) observeMembers(now time.Time) {
	self := c.members.Self()
	var ids []string
	for _, m := range c.members.All() {
		if m.DataCentre == self.DataCentre && (serves(m) || m.ID == self.ID) {
			ids = append(ids, m.ID)
		}
	}
	if n := len(c.memberSets); n == 0 || !slices.Equal(c.memberSets[n-1].ids, ids) {
		c.memberSets = append(c.memberSets, memberSet{from: now, ids: ids})
	}
	// A set counts until the next one begins.
	for len(c.memberSets) > 1 && now.Sub(c.memberSets[1].from) > c.config.Coordinator.Retention {
		c.memberSets = c.memberSets[1:]
	}
}

// unsure reports whether an attempt under the request ID may have run before
// this host was its home, so that it does not know of it. A UUIDv7 tells how
// old a request can be; any other ID may be as old as the retention. The
// caller holds homeMu.
func (c *Controller) unsure(id string, now time.Time) bool {
	c.observeMembers(now)
	since := now.Add(-c.config.Coordinator.Retention)
	if made, ok := idTime(id); ok {
		if made.Add(-clockSkew).Before(since) {
			return true
		}
		since = made.Add(-clockSkew)
	}
	if since.Before(c.started) {
		return true
	}
	self := c.members.Self().ID
	own := homeHash(self, id)
	for i, set := range c.memberSets {
		if i+1 < len(c.memberSets) && !c.memberSets[i+1].from.After(since) {
			continue // ended before the request was made
		}
		if slices.ContainsFunc(set.ids, func(m string) bool { return m != self && homeHash(m, id) > own }) {
			return true
		}
	}
	return false
}

// idTime returns when a UUIDv7 was made.
func idTime(id string) (time.Time, bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(parsed.Time().UnixTime()), true
}

// reachedElsewhere asks the request's homes in the other data centres whether
// an attempt reached a backend server there. The balancer may have sent an
// earlier attempt to any of them. A data centre that does not answer may have
// run it.
func (c *Controller) reachedElsewhere(ctx context.Context, id string) bool {
	self := c.members.Self()
	all := c.members.All()
	asked := map[string]bool{self.DataCentre: true}
	var group errgroup.Group
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), homeTimeout)
	defer cancel()
	for _, m := range all {
		if asked[m.DataCentre] {
			continue
		}
		asked[m.DataCentre] = true
		group.Go(func() error { return c.askReached(ctx, homeIn(id, m.DataCentre, all), id) })
	}
	if err := group.Wait(); err != nil {
		klog.V(1).InfoS("not-run is not certain", "request_id", id, "err", err)
		c.recorder.Count("not_run_uncertain_total")
		return true
	}
	return false
}

func (c *Controller) askReached(ctx context.Context, home cluster.Member, id string) error {
	if home.ID == "" {
		return errUncertain
	}
	client, err := c.peers.Client(home.PeerAddr)
	if err != nil {
		return err
	}
	reply, err := client.Complete(ctx, &peerpb.CompleteRequest{RequestId: id, Query: true})
	if err != nil {
		return err
	}
	if reply.Reached {
		return errUncertain
	}
	return nil
}
