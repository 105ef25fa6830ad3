package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against counting blocks although a block before them is missing,
// against ignoring evictions, and against trusting entries from before a gap in
// the events as much as newer ones.
func TestPrefixIndexHandlesDelayedAndLostEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPrefixIndex()
	for _, block := range []uint64{1, 2, 4} {
		p.RecordStored("a", block)
	}
	p.RecordStored("b", 2)
	match := func(at time.Time) map[string]float64 { return p.Match([]uint64{1, 2, 3, 4}, at) }
	must.Eq(t, map[string]float64{"a": 2}, match(now))
	p.RecordEvicted("a", 2)
	must.Eq(t, map[string]float64{"a": 1}, match(now))
	p.RecordGap("a")
	must.Eq(t, map[string]float64{"a": 0.5}, match(now))
	p.RecordStored("a", 1)
	must.Eq(t, map[string]float64{"a": 1}, match(now))
	p.RecordSent("b", []uint64{1, 2}, now)
	must.Eq(t, map[string]float64{"a": 1, "b": 2}, match(now))
	must.Eq(t, map[string]float64{"a": 1}, match(now.Add(sentLifetime+time.Second)))
	p.RecordRestart("a")
	must.Eq(t, map[string]float64{"b": 2}, match(now))
}

// Guards against an index that grows with the number of prompts.
func TestPrefixIndexIsBounded(t *testing.T) {
	p := NewPrefixIndex()
	for block := range uint64(3 * maxBlocks) {
		p.RecordStored("a", block)
	}
	must.Eq(t, maxBlocks, len(p.blocks))
	for replica := range 30 {
		p.RecordStored(string(rune('a'+replica)), 3*maxBlocks-1)
	}
	must.Eq(t, maxCopies, len(p.blocks[3*maxBlocks-1]))
}
