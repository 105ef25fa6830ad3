package trainers

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// versionSyncTimeout bounds the exchange of versions with other coordinators and
// with the weight store. A coordinator that cannot be reached receives the version
// from the weight store or by gossip.
const versionSyncTimeout = time.Second

// propagateVersion sends a version to the coordinators of all trainers of the
// model, and adopts newer versions that they reply with. It runs before an
// announcement is acknowledged. If coordinators received other trainers'
// announcements by gossip only, they would deliver samples beyond the staleness
// bound in the meantime.
func (c *Controller) propagateVersion(ctx context.Context, model string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, versionSyncTimeout)
	defer cancel()
	message := &peerpb.ExchangeMessage{Host: c.members.Self().ID, Versions: map[string]int64{model: version}}
	var wg sync.WaitGroup
	for _, coordinator := range c.coordinatorsOfModel(model) {
		wg.Go(func() {
			if err := c.sendVersion(ctx, coordinator, message); err != nil {
				c.recorder.Count("version_spread_errors_total")
				klog.V(1).InfoS("failed to send a version to a coordinator", "home", coordinator.ID, "model", model, "version", version, "err", err)
			}
		})
	}
	wg.Wait()
}

func (c *Controller) sendVersion(ctx context.Context, coordinator cluster.Member, message *peerpb.ExchangeMessage) error {
	client, err := c.clients.Client(coordinator.PeerAddr)
	if err != nil {
		return err
	}
	reply, err := client.Exchange(ctx, message)
	if err != nil {
		return err
	}
	for model, version := range reply.Versions {
		c.versions.Announce(model, version)
	}
	return nil
}

// Refresher updates the newest version of a model from the weight store.
type Refresher interface {
	Refresh(ctx context.Context, model string) error
}

// SetRefresher sets what reads the newest version from the weight store when this
// host starts to coordinate a trainer. It must be called before Run.
func (c *Controller) SetRefresher(r Refresher) { c.refresher = r }

// fetchNewestVersion obtains the newest version of a trainer's model before this
// host starts to coordinate the trainer. Without it, a host that has just started
// would know no version and would deliver samples beyond the staleness bound
// until it received the version by gossip.
func (c *Controller) fetchNewestVersion(ctx context.Context, name string) {
	c.mu.Lock()
	set, _ := c.configs.Current()
	if c.versionFetched[name] || set == nil || set.Trainers[name] == nil {
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	model := set.Trainers[name].Model
	ctx, cancel := context.WithTimeout(ctx, versionSyncTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { c.propagateVersion(ctx, model, c.versions.Newest(model)) })
	if c.refresher != nil {
		if err := c.refresher.Refresh(ctx, model); err != nil {
			klog.InfoS("failed to read the newest version from the weight store", "trainer", name, "model", model, "err", err)
		}
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionFetched[name] = true
}

// coordinatorsOfModel returns the other hosts that coordinate a trainer of the
// model, in all data centres.
func (c *Controller) coordinatorsOfModel(model string) []cluster.Member {
	set, _ := c.configs.Current()
	if set == nil {
		return nil
	}
	byDataCentre := make(map[string][]cluster.Member)
	for _, m := range c.members.All() {
		if m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	coordinators := make(map[string]cluster.Member)
	for name, trainer := range set.Trainers {
		if trainer.Model != model {
			continue
		}
		for _, hosts := range byDataCentre {
			if coordinator, ok := selectCoordinator(name, hosts); ok {
				coordinators[coordinator.ID] = coordinator
			}
		}
	}
	delete(coordinators, c.members.Self().ID)
	others := make([]cluster.Member, 0, len(coordinators))
	for _, coordinator := range coordinators {
		others = append(others, coordinator)
	}
	return others
}

// selectCoordinator returns the host with the highest rendezvous hash for the
// trainer.
func selectCoordinator(name string, hosts []cluster.Member) (best cluster.Member, found bool) {
	var highest uint64
	for _, m := range hosts {
		if hash := xxhash.Sum64String(name + "\x00" + m.ID); !found || hash > highest {
			best, highest, found = m, hash, true
		}
	}
	return best, found
}
