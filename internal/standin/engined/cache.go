package engined

import (
	"container/list"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// prefixCache is a bounded cache of prompt blocks with least recently used
// eviction. It records events for GET /cache/events.
type prefixCache struct {
	capacity int
	blocks   map[string]*list.Element
	order    *list.List // front is the most recently used
	events   []timedEvent
	nextSeq  int64
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// maxCacheEvents bounds the events that are kept; older ones become a gap.
const maxCacheEvents = 10000

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: make(map[string]*list.Element), order: list.New(), nextSeq: 1}
}

// use marks the blocks of a prompt as used, stores the missing ones and
// returns how many leading blocks were present.
func (c *prefixCache) use(hashes []string, now time.Time, drop func() bool) (hits int) {
	for i, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
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
	c.blocks[hash] = c.order.PushFront(hash)
	c.record(engine.CacheEvent{Stored: true, Prefix: hash}, now, drop)
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, oldest)
		c.record(engine.CacheEvent{Prefix: oldest}, now, drop)
	}
}

// record appends an event, unless drop makes it a gap in the sequence.
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

// after returns the events behind seq that are older than the delay.
func (c *prefixCache) after(seq int64, visible time.Time) []engine.CacheEvent {
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && !event.at.After(visible) {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}

// present returns the leading hashes that are cached.
func (c *prefixCache) present(hashes []string) []string {
	for i, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			return hashes[:i]
		}
	}
	return hashes
}
