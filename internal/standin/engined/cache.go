package engined

import (
	"container/list"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// prefixCache is a bounded cache of prompt blocks with LRU eviction. It records
// its changes as events for GET /cache/events.
type prefixCache struct {
	capacity int
	blocks   map[string]*list.Element
	lru      *list.List // front is the most recently used
	events   []timedEvent
	nextSeq  int64
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// maxCacheEvents is the maximum number of retained events. When it is exceeded,
// the older half is removed, which readers see as a gap in the sequence.
const maxCacheEvents = 10000

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: make(map[string]*list.Element), lru: list.New(), nextSeq: 1}
}

// access marks the blocks of a prompt as recently used, stores the missing ones
// and returns the number of leading blocks that were cached. An event is lost if
// drop returns true.
func (c *prefixCache) access(hashes []string, now time.Time, drop func() bool) (hits int) {
	for i, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.store(hash, now, drop)
	}
	return hits
}

func (c *prefixCache) store(hash string, now time.Time, drop func() bool) {
	if c.capacity <= 0 {
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.record(engine.CacheEvent{Stored: true, Prefix: hash}, now, drop)
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(string)
		delete(c.blocks, oldest)
		c.record(engine.CacheEvent{Prefix: oldest}, now, drop)
	}
}

// record appends an event. If drop returns true, the event is lost and leaves a
// gap in the sequence.
func (c *prefixCache) record(event engine.CacheEvent, now time.Time, drop func() bool) {
	event.Seq = c.nextSeq
	c.nextSeq++
	if drop() {
		return
	}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with sequence numbers greater than seq that were
// recorded no later than cutoff.
func (c *prefixCache) eventsAfter(seq int64, cutoff time.Time) []engine.CacheEvent {
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && !event.at.After(cutoff) {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}

// cachedPrefix returns the longest prefix of hashes whose blocks are all cached.
func (c *prefixCache) cachedPrefix(hashes []string) []string {
	for i, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			return hashes[:i]
		}
	}
	return hashes
}
