package logd

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// Guards against a reader that continues at Page.Next but misses or repeats a
// retained record, and against records out of order.
func TestReaderSeesEachRetainedRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retainCount := rapid.IntRange(1, 6).Draw(t, "keep")
		log := New(Config{RetainCount: retainCount})
		written, next := int64(0), int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "append") {
				var batch [][]byte
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					batch = append(batch, fmt.Append(nil, written))
					written++
				}
				must.Eq(t, written-int64(len(batch)), log.Append("s", batch))
				continue
			}
			page, _ := log.page("s", next, rapid.IntRange(1, 5).Draw(t, "max"))
			must.Eq(t, max(0, written-int64(retainCount)), page.Earliest)
			must.Eq(t, written, page.End)
			expected := max(next, page.Earliest)
			for _, record := range page.Records {
				must.Eq(t, expected, record.Offset)
				must.Eq(t, fmt.Sprint(expected), string(record.Data))
				expected++
			}
			must.Eq(t, expected, page.Next)
			must.Eq(t, len(page.Records) == 0, max(next, page.Earliest) == written)
			next = page.Next
		}
	})
}
