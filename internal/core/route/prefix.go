package route

import "time"

const (
	// sentLifetime is how long a prompt that this router sent is expected to
	// stay in the replica's cache when no event says so.
	sentLifetime = 2 * time.Minute
	// doubt is the weight of what was known before a gap in the events, which
	// may have lost evictions.
	doubt = 0.5
	// maxBlocks bounds the prefix blocks remembered; each takes about 200 bytes.
	maxBlocks = 20000
	// maxHolders bounds the replicas remembered per block.
	maxHolders = 8
)

type holder struct {
	replica string
	until   time.Time // zero means until an eviction
	epoch   epoch     // of the replica when it was recorded
}

// epoch counts what makes older knowledge about a replica doubtful or void.
type epoch struct{ restarts, gaps int }

// PrefixIndex remembers which replicas probably hold which prefix blocks.
type PrefixIndex struct {
	blocks map[uint64][]holder
	order  []uint64 // blocks by first use, oldest first
	epochs map[string]epoch
}

// NewPrefixIndex returns an empty memory.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: make(map[uint64][]holder), epochs: make(map[string]epoch)}
}

// Sent records that a prompt with these blocks was sent to a replica.
func (p *PrefixIndex) Sent(replica string, blocks []uint64, now time.Time) {
	for _, b := range blocks {
		p.put(b, holder{replica: replica, until: now.Add(sentLifetime), epoch: p.epochs[replica]})
	}
}

// Stored records a cache event. Events come late, so an eviction may have
// overtaken a later prompt; the next event corrects it.
func (p *PrefixIndex) Stored(replica string, block uint64) {
	p.put(block, holder{replica: replica, epoch: p.epochs[replica]})
}

// Evicted records the eviction of a block.
func (p *PrefixIndex) Evicted(replica string, block uint64) {
	holders := p.blocks[block]
	for i := range holders {
		if holders[i].replica == replica {
			p.blocks[block] = append(holders[:i], holders[i+1:]...)
			return
		}
	}
}

// Gap records that events of a replica were lost. What was known about it
// counts less from then on.
func (p *PrefixIndex) Gap(replica string) {
	e := p.epochs[replica]
	e.gaps++
	p.epochs[replica] = e
}

// Restarted records that a replica started again with an empty cache.
func (p *PrefixIndex) Restarted(replica string) {
	p.epochs[replica] = epoch{restarts: p.epochs[replica].restarts + 1}
}

// match is how many leading blocks a replica holds, and their weight.
type match struct {
	blocks int
	weight float64
}

// Match returns by replica how many leading blocks it probably holds.
func (p *PrefixIndex) Match(blocks []uint64, now time.Time) map[string]float64 {
	var matches map[string]match
	for i, b := range blocks {
		found := false
		for _, h := range p.blocks[b] {
			m := matches[h.replica]
			// A block is of use only when all blocks before it are cached.
			current := p.epochs[h.replica]
			if m.blocks < i || !h.until.IsZero() && now.After(h.until) || h.epoch.restarts != current.restarts {
				continue
			}
			if matches == nil {
				matches = make(map[string]match)
			}
			weight := 1.0
			if h.epoch != current {
				weight = doubt
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

func (p *PrefixIndex) put(block uint64, h holder) {
	holders, known := p.blocks[block]
	for i := range holders {
		if holders[i].replica == h.replica {
			holders[i] = h
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
	if len(holders) >= maxHolders {
		holders = append(holders[:0], holders[1:]...)
	}
	p.blocks[block] = append(holders, h)
}
