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

// maxPeersAsked bounds the hosts that one round asks for their configuration.
const maxPeersAsked = 8

// askPeers takes the newest configuration that the other hosts have. A host
// that can read the log itself does not use it before it has read the rest.
func (c *Controller) askPeers(ctx context.Context, use bool) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PeerTimeout)
	defer cancel()
	peers := c.askable()
	replies := make([]*peerpb.SnapshotReply, len(peers))
	var group errgroup.Group
	for i, member := range peers {
		group.Go(func() error {
			client, err := c.peers.Client(member.PeerAddr)
			if err == nil {
				replies[i], err = client.Snapshot(ctx, &peerpb.SnapshotRequest{})
			}
			if err != nil {
				klog.V(1).InfoS("peer gave no configuration", "peer", member.ID, "err", err)
			}
			return nil // the other peers' answers still count
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
		if use && reply.GetVersion() <= c.follower.State().Version {
			c.publish(true)
		}
	}
}

// askable returns the hosts to ask, those of the own data centre first.
func (c *Controller) askable() []cluster.Member {
	self := c.members.Self()
	var near, far []cluster.Member
	for _, member := range c.members.All() {
		switch {
		case member.ID == self.ID || member.State == cluster.MemberDead:
		case member.DataCentre == self.DataCentre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxPeersAsked)]
}

// writeSnapshot appends a snapshot when one is due and it is this host's turn.
// An append without an answer needs no settling: the next one is harmless.
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
	// An append whose answer was lost is read back before the next attempt.
	c.nextSnapshot = now.Add(appendTimeout)
	data, err := record.Encode()
	if err != nil {
		klog.ErrorS(err, "config snapshot was not encoded", "version", record.Base)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.log.Append(ctx, platform.StreamConfig, [][]byte{data}); err != nil {
		klog.V(1).InfoS("config snapshot was not confirmed", "version", record.Base, "err", err)
		return
	}
	c.recorder.Count("config_snapshots_written_total")
}

// rank is this host's place among the live hosts ordered by ID.
func (c *Controller) rank() int {
	self, rank := c.members.Self().ID, 0
	for _, member := range c.members.All() {
		if member.ID < self && member.State == cluster.MemberAlive {
			rank++
		}
	}
	return rank
}
