package route

import "time"

const (
	// sentLifetime is how long a prompt sent by this router is expected to stay
	// in the replica's cache in the absence of cache events.
	sentLifetime = 2 * time.Minute
	// staleWeight is the weight of entries recorded before a gap in the cache
	// events, because the lost events may include evictions.
	staleWeight = 0.5
	// maxBlocks is the maximum number of indexed prefix blocks; each takes
	// about 200 bytes.
	maxBlocks = 20000
	// maxCopies is the maximum number of replicas recorded per block.
	maxCopies = 8
)

// cachedCopy records that a replica probably has a block in its cache.
type cachedCopy struct {
	replica   string
	expiresAt time.Time // zero means until an eviction is reported
	epoch     epoch     // epoch of the replica when the entry was recorded
}

// epoch counts the events of a replica that invalidate older entries (restarts)
// or make them less reliable (gaps).
type epoch struct{ restarts, gaps int }

// PrefixIndex records which replicas probably have which prefix blocks in their
// cache.
type PrefixIndex struct {
	blocks map[uint64][]cachedCopy
	order  []uint64         // blocks in the order of insertion, oldest first
	epochs map[string]epoch // by replica
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: make(map[uint64][]cachedCopy), epochs: make(map[string]epoch)}
}

// RecordSent records that a prompt with these blocks was sent to a replica.
func (p *PrefixIndex) RecordSent(replica string, blocks []uint64, now time.Time) {
	for _, b := range blocks {
		p.put(b, cachedCopy{replica: replica, expiresAt: now.Add(sentLifetime), epoch: p.epochs[replica]})
	}
}

// RecordStored records a cache event for a stored block. Events are delayed, so
// an eviction may be applied after a prompt that was sent later; the next event
// of the block corrects the entry.
func (p *PrefixIndex) RecordStored(replica string, block uint64) {
	p.put(block, cachedCopy{replica: replica, epoch: p.epochs[replica]})
}

// RecordEvicted records the eviction of a block.
func (p *PrefixIndex) RecordEvicted(replica string, block uint64) {
	copies := p.blocks[block]
	for i := range copies {
		if copies[i].replica == replica {
			p.blocks[block] = append(copies[:i], copies[i+1:]...)
			return
		}
	}
}

// RecordGap records that cache events of a replica were lost. Its older entries
// have less weight from then on.
func (p *PrefixIndex) RecordGap(replica string) {
	e := p.epochs[replica]
	e.gaps++
	p.epochs[replica] = e
}

// RecordRestart records that a replica restarted with an empty cache.
func (p *PrefixIndex) RecordRestart(replica string) {
	p.epochs[replica] = epoch{restarts: p.epochs[replica].restarts + 1}
}

// match is the number of leading blocks that a replica holds, and the sum of
// their weights.
type match struct {
	blocks int
	weight float64
}

// Match returns, for each replica, the weighted number of leading blocks that
// it probably holds.
func (p *PrefixIndex) Match(blocks []uint64, now time.Time) map[string]float64 {
	var matches map[string]match
	for i, b := range blocks {
		found := false
		for _, h := range p.blocks[b] {
			m := matches[h.replica]
			// A cached block is reusable only if all blocks before it are
			// cached.
			current := p.epochs[h.replica]
			if m.blocks < i || !h.expiresAt.IsZero() && now.After(h.expiresAt) || h.epoch.restarts != current.restarts {
				continue
			}
			if matches == nil {
				matches = make(map[string]match)
			}
			weight := 1.0
			if h.epoch != current {
				weight = staleWeight
			}
			matches[h.replica] = match{blocks: i + 1, weight: m.weight + weight}
			found = true
		}
		if !found {
			break
		}
	}
	depth := make(map[string]float64, len(matches))
	for replica, m := range matches {
		depth[replica] = m.weight
	}
	return depth
}

func (p *PrefixIndex) put(block uint64, h cachedCopy) {
	copies, known := p.blocks[block]
	for i := range copies {
		if copies[i].replica == h.replica {
			copies[i] = h
			return
		}
	}
	if !known {
		if len(p.order) >= maxBlocks {
			delete(p.blocks, p.order[0])
			p.order = p.order[1:]
		}
		p.order = append(p.order, block)
	}
	if len(copies) >= maxCopies {
		copies = append(copies[:0], copies[1:]...)
	}
	p.blocks[block] = append(copies, h)
}
