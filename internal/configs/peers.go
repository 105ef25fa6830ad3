package configs

import (
	"context"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// maxPeersQueried bounds the number of hosts queried in one round.
const maxPeersQueried = 8

// installFromPeers installs the newest configuration of the other hosts in the
// follower. It becomes the active configuration at once if activate is true. A
// host that can read the log passes false and activates the configuration after
// it has read the remaining records.
func (c *Controller) installFromPeers(ctx context.Context, activate bool) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PeerTimeout)
	defer cancel()
	peers := c.peersToQuery()
	replies := make([]*peerpb.SnapshotReply, len(peers))
	var group errgroup.Group
	for i, member := range peers {
		group.Go(func() error {
			client, err := c.peers.Client(member.PeerAddr)
			if err == nil {
				replies[i], err = client.Snapshot(ctx, &peerpb.SnapshotRequest{})
			}
			if err != nil {
				klog.V(1).InfoS("failed to get a configuration snapshot from a peer", "peer", member.ID, "err", err)
			}
			return nil // the replies of the other peers are still used
		})
	}
	_ = group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reply := range replies {
		if reply == nil {
			continue
		}
		if c.follower.Install(reply.GetVersion(), reply.GetOffset(), reply.GetFiles(), time.Now()) {
			c.recorder.Count("config_snapshots_installed_total")
		}
		if activate && reply.GetVersion() <= c.follower.State().Version {
			c.activate(true)
		}
	}
}

// peersToQuery returns the hosts to query, those of the same data centre first.
func (c *Controller) peersToQuery() []cluster.Member {
	self := c.members.Self()
	var local, remote []cluster.Member
	for _, member := range c.members.All() {
		switch {
		case member.ID == self.ID || member.State == cluster.MemberDead:
		case member.DataCentre == self.DataCentre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	all := append(local, remote...)
	return all[:min(len(all), maxPeersQueried)]
}

// writeSnapshot appends a snapshot to the log if one is due at this host. An
// append with an unknown outcome is not resolved, because a duplicate snapshot
// has no effect.
func (c *Controller) writeSnapshot(ctx context.Context) {
	now := time.Now()
	if now.Before(c.nextSnapshot) {
		return
	}
	c.mu.Lock()
	record, due := c.follower.DueSnapshot("snapshot-"+uuid.NewString(), c.rank(), c.config.Retention, now)
	c.mu.Unlock()
	if !due {
		return
	}
	// If the response to the append is lost, the delay gives this host time to read
	// the snapshot from the stream before the next attempt.
	c.nextSnapshot = now.Add(appendTimeout)
	data, err := record.Encode()
	if err != nil {
		klog.ErrorS(err, "failed to encode the config snapshot", "version", record.Base)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.log.Append(ctx, platform.StreamConfig, [][]byte{data}); err != nil {
		klog.V(1).InfoS("append of the config snapshot was not confirmed", "version", record.Base, "err", err)
		return
	}
	c.recorder.Count("config_snapshots_written_total")
}

// rank returns the number of live hosts whose ID sorts before this host's ID.
// Hosts of higher rank write snapshots later, so that usually only one host
// writes a snapshot that is due.
func (c *Controller) rank() int {
	self, rank := c.members.Self().ID, 0
	for _, member := range c.members.All() {
		if member.ID < self && member.State == cluster.MemberAlive {
			rank++
		}
	}
	return rank
}
