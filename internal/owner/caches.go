package owner

import (
	"context"
	"strconv"
	"sync"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// cacheCursor is the position in the stream of cache events of one engine
// process: its incarnation and the sequence number of the last event read.
type cacheCursor struct {
	incarnation int64
	seq         int64
}

// readCacheEvents reads the new cache events of all healthy owned replicas in
// parallel, within one CacheEventInterval.
func (c *Controller) readCacheEvents(ctx context.Context) {
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
		reads.Go(func() { c.readReplicaCacheEvents(ctx, r) })
	}
	reads.Wait()
}

func (c *Controller) readReplicaCacheEvents(ctx context.Context, replica cluster.Replica) {
	c.mu.Lock()
	cursor := c.cacheCursors[replica.ID]
	if cursor.incarnation != replica.State.Incarnation {
		// The engine restarted with an empty cache.
		cursor = cacheCursor{incarnation: replica.State.Incarnation}
		c.prefixes.RecordRestart(replica.ID)
	}
	c.mu.Unlock()
	events, err := c.engines.CacheEvents(ctx, replica.Addr, cursor.seq)
	if err != nil {
		klog.V(2).InfoS("reading cache events failed", "replica", replica.ID, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		cursor.seq = c.applyCacheEvent(replica.ID, cursor.seq, event)
	}
	c.cacheCursors[replica.ID] = cursor
}

// applyCacheEvent applies one event to the prefix index and returns the
// sequence number of the last event applied. Events up to seq are skipped. The
// caller must hold c.mu.
func (c *Controller) applyCacheEvent(replica string, seq int64, event engine.CacheEvent) int64 {
	if event.Seq <= seq {
		return seq
	}
	if event.Seq > seq+1 {
		c.prefixes.RecordGap(replica)
		c.recorder.Count("cache_event_gaps_total")
	}
	block, err := strconv.ParseUint(event.Prefix, 16, 64)
	switch {
	case err != nil:
		c.recorder.Count("cache_events_invalid_total")
	case event.Stored:
		c.prefixes.RecordStored(replica, block)
	default:
		c.prefixes.RecordEvicted(replica, block)
	}
	return event.Seq
}
