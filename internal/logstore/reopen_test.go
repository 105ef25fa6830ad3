package logstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against a writer that is opened again and leaves out, repeats or confuses an
// append whose outcome was unknown.
func TestReopenedWriterSettlesAnUnknownAppend(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"late": memlog.Delay, "never arrived": memlog.DropRequest, "answer lost": memlog.LoseResponse} {
		for earlier := range 3 {
			t.Run(fmt.Sprintf("%s after %d", name, earlier), func(t *testing.T) {
				store := memlog.New(2)
				w := logstore.NewFencedWriter(store, testPartition, "writer", 5)
				_, err := w.Open(t.Context())
				must.NoError(t, err)
				var keys []string
				add := func(ctx context.Context, key string) error {
					keys = append(keys, key)
					return w.Append(ctx, []logstore.Record{{Key: key, Value: []byte("v")}})
				}
				for i := range earlier {
					must.NoError(t, add(t.Context(), fmt.Sprint(i)))
				}
				store.SetFault(func(memlog.Call, logstore.Partition) memlog.Fault { return fault })
				ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
				defer cancel()
				must.ErrorIs(t, add(ctx, "unknown"), logstore.ErrOutcomeUnknown)
				store.SetFault(nil)
				end, err := w.Open(t.Context())
				must.NoError(t, err)
				must.EqOp(t, int64(len(keys)), end)
				must.NoError(t, add(t.Context(), "next"))
				store.ReleaseDelayed()
				page, err := store.Read(t.Context(), testPartition, 0, 1<<20, 0)
				must.NoError(t, err)
				var stored []string
				for _, r := range page.Records {
					stored = append(stored, r.Key)
				}
				must.Eq(t, keys, stored)
			})
		}
	}
}
