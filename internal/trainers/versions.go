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

// spreadTimeout bounds telling other homes about a version. A home that cannot
// be reached learns the version from the weight store or by gossip.
const spreadTimeout = time.Second

// spread tells a new version to the homes of all trainers of its model before
// the announcement is answered. Without it, a home learned of the other
// trainers' versions by gossip only, and delivered samples over their bound in
// the meantime.
func (c *Controller) spread(ctx context.Context, model string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	message := &peerpb.ExchangeMessage{Host: c.members.Self().ID, Versions: map[string]int64{model: version}}
	var wg sync.WaitGroup
	for _, home := range c.homesOfModel(model) {
		wg.Go(func() {
			if err := c.tell(ctx, home, message); err != nil {
				c.recorder.Count("version_spread_errors_total")
				klog.V(1).InfoS("a home was not told about a version", "home", home.ID, "model", model, "version", version, "err", err)
			}
		})
	}
	wg.Wait()
}

func (c *Controller) tell(ctx context.Context, home cluster.Member, message *peerpb.ExchangeMessage) error {
	client, err := c.clients.Client(home.PeerAddr)
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

// Refresher reads the newest version of a model from the weight store.
type Refresher interface {
	Refresh(ctx context.Context, model string) error
}

// SetWeightStore sets where a new home reads versions. It is called before Run.
func (c *Controller) SetWeightStore(store Refresher) { c.store = store }

// learn finds out the newest version of a trainer's model before this host
// first serves the trainer. A home that had just started knew of no version
// and delivered samples over the bound until gossip reached it.
func (c *Controller) learn(ctx context.Context, name string) {
	c.mu.Lock()
	set, _ := c.configs.Current()
	if c.learned[name] || set == nil || set.Trainers[name] == nil {
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	model := set.Trainers[name].Model
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { c.spread(ctx, model, c.versions.Newest(model)) })
	if c.store != nil {
		if err := c.store.Refresh(ctx, model); err != nil {
			klog.InfoS("a new home could not read the weight store", "trainer", name, "model", model, "err", err)
		}
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned[name] = true
}

// homesOfModel returns the other hosts that are home to a trainer of the model,
// in every data centre.
func (c *Controller) homesOfModel(model string) []cluster.Member {
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
	homes := make(map[string]cluster.Member)
	for name, trainer := range set.Trainers {
		if trainer.Model != model {
			continue
		}
		for _, hosts := range byDataCentre {
			if home, ok := homeAmong(name, hosts); ok {
				homes[home.ID] = home
			}
		}
	}
	delete(homes, c.members.Self().ID)
	others := make([]cluster.Member, 0, len(homes))
	for _, home := range homes {
		others = append(others, home)
	}
	return others
}

// homeAmong returns the host with the highest rendezvous hash of the trainer.
func homeAmong(name string, hosts []cluster.Member) (best cluster.Member, found bool) {
	var highest uint64
	for _, m := range hosts {
		if hash := xxhash.Sum64String(name + "\x00" + m.ID); !found || hash > highest {
			best, highest, found = m, hash, true
		}
	}
	return best, found
}
