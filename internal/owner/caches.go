package owner

import (
	"context"
	"strconv"
	"sync"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// cacheCursor is how far the cache events of one engine process were read.
type cacheCursor struct {
	incarnation int64
	seq         int64
}

// followCaches reads the cache events of the owned replicas.
func (c *Controller) followCaches(ctx context.Context) {
	if c.config.Policy == PolicyBaseline {
		return
	}
	c.mu.Lock()
	replicas := make([]cluster.Replica, 0, len(c.replicas))
	for _, r := range c.replicas {
		if r.Healthy {
			replicas = append(replicas, r)
		}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.config.CacheEventInterval)
	defer cancel()
	var reads sync.WaitGroup
	for _, r := range replicas {
		reads.Go(func() { c.followCache(ctx, r) })
	}
	reads.Wait()
}

func (c *Controller) followCache(ctx context.Context, replica cluster.Replica) {
	c.mu.Lock()
	cursor := c.caches[replica.ID]
	if cursor.incarnation != replica.State.Incarnation {
		// The engine started again with an empty cache.
		cursor = cacheCursor{incarnation: replica.State.Incarnation}
		c.prefixes.Restarted(replica.ID)
	}
	c.mu.Unlock()
	events, err := c.engines.CacheEvents(ctx, replica.Addr, cursor.seq)
	if err != nil {
		klog.V(2).InfoS("cache events were not read", "replica", replica.ID, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		cursor.seq = c.takeCacheEvent(replica.ID, cursor.seq, event)
	}
	c.caches[replica.ID] = cursor
}

// takeCacheEvent records one event and returns the sequence number to go on
// from. The caller holds the lock.
func (c *Controller) takeCacheEvent(replica string, seq int64, event engine.CacheEvent) int64 {
	if event.Seq <= seq {
		return seq
	}
	if event.Seq > seq+1 {
		c.prefixes.Gap(replica)
		c.recorder.Count("cache_event_gaps_total")
	}
	block, err := strconv.ParseUint(event.Prefix, 16, 64)
	switch {
	case err != nil:
		c.recorder.Count("cache_events_invalid_total")
	case event.Stored:
		c.prefixes.Stored(replica, block)
	default:
		c.prefixes.Evicted(replica, block)
	}
	return event.Seq
}
