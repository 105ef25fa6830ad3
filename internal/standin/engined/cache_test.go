package engined

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// Guards against events that do not reproduce the cache's content when replayed,
// against a cache that exceeds its capacity, and against hits on evicted blocks.
func TestCacheEventsMatchContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		cache := newPrefixCache(capacity)
		content := make(map[string]bool)
		lastSeq := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "prompts") {
			var hashes []string
			prompt := rapid.IntRange(0, 3).Draw(t, "prompt")
			for block := range rapid.IntRange(1, 4).Draw(t, "blocks") {
				hashes = append(hashes, fmt.Sprintf("%d-%d", prompt, block))
			}
			present := slices.IndexFunc(hashes, func(h string) bool { return !content[h] })
			if present < 0 {
				present = len(hashes)
			}
			must.Eq(t, hashes[:present], slices.Clone(cache.cachedPrefix(hashes)))
			must.Eq(t, present, cache.access(hashes, time.Time{}, func() bool { return false }))
			for _, event := range cache.eventsAfter(lastSeq, time.Now()) {
				must.Eq(t, lastSeq+1, event.Seq)
				lastSeq = event.Seq
				must.Eq(t, !event.Stored, content[event.Prefix])
				content[event.Prefix] = event.Stored
			}
			stored := 0
			for _, cached := range content {
				if cached {
					stored++
				}
			}
			must.Eq(t, cache.lru.Len(), stored)
			must.LessEq(t, capacity, stored)
		}
	})
}
