package limits

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// maxConcurrentNotices bounds the concurrent calls by which an allocator sends one
// change to the other hosts.
const maxConcurrentNotices = 16

// memberDirectory implements Directory by the membership: the allocator of a service is
// the live member with the highest hash of its ID and the service.
type memberDirectory struct {
	members    cluster.Members
	peers      Peers
	controller *Controller
}

// NewForMembers returns a controller whose hosts find the allocators by membership.
func NewForMembers(members cluster.Members, peers Peers, recorder *telemetry.Recorder) *Controller {
	d := &memberDirectory{members: members, peers: peers}
	d.controller = New(members.Self().ID, d, peers, recorder)
	return d.controller
}

// live returns the members that may be reached, with this host.
func (d *memberDirectory) live() []cluster.Member {
	self := d.members.Self()
	live := []cluster.Member{self}
	for _, m := range d.members.All() {
		if m.ID != self.ID && (m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect) {
			live = append(live, m)
		}
	}
	return live
}

// Allocator implements Directory.
func (d *memberDirectory) Allocator(service string) (Allocator, bool) {
	self := d.members.Self()
	var best cluster.Member
	var highest uint64
	for _, m := range d.live() {
		hash := xxhash.Sum64String(service + "/" + m.ID)
		if best.ID == "" || hash > highest || (hash == highest && m.ID > best.ID) {
			best, highest = m, hash
		}
	}
	return Allocator{Addr: best.PeerAddr, Self: best.ID == self.ID}, true
}

// LearnAllocator implements Directory. All hosts find the allocators by themselves.
func (d *memberDirectory) LearnAllocator(Allocator) {}

// LimitChanged implements Directory. It sends the change to the other hosts.
func (d *memberDirectory) LimitChanged(service string, o ratelimit.Observation) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		var calls errgroup.Group
		calls.SetLimit(maxConcurrentNotices)
		for _, m := range d.live()[1:] {
			calls.Go(func() error {
				notice := &peerpb.AcquireRequest{Host: d.controller.host, Service: service, Observed: d.controller.lastObserved(o.Server)}
				if _, err := d.peers.Acquire(ctx, m.PeerAddr, notice); err != nil {
					klog.V(1).InfoS("changed limit not sent to a host, which learns it with its next request", "host", m.ID, "server", o.Server, "err", err)
				}
				return nil
			})
		}
		_ = calls.Wait() // the calls log their errors
	}()
}

func (c *Controller) lastObserved(server string) []*peerpb.ObservedLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observed(map[string]bool{server: true}, time.Now())
}
