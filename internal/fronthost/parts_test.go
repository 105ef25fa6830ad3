package fronthost

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against payloads that were deleted from the log and are never read, because each call
// lists their records from the first one on.
func TestLargeDeletedBlobsOfASlowStoreAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(4)
		store.SetPageSize(3)
		data := bytes.Repeat([]byte("x"), 6<<20)
		refs, err := newBlobStore(store, 256<<10, 2<<20).put(t.Context(), 1, []blob{{key: "b/job", data: data}})
		must.NoError(t, err)
		store.Delete(blobPartition(1))
		reader := newBlobStore(slowPages{store}, 256<<10, 2<<20)
		var got [][]byte
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			got, err = reader.get(ctx, 1, refs)
			cancel()
			if err == nil {
				break
			}
			time.Sleep(2 * fetchTimeout) // until the reads have ended
		}
		time.Sleep(2 * fetchTimeout)
		must.NoError(t, err)
		must.True(t, bytes.Equal(data, got[0]))
		must.MapEmpty(t, reader.parts.records)
		must.Zero(t, reader.parts.size)
	})
}

// Guards against records that arrived of large blobs and fill the memory of a host.
func TestPartsOfBlobsAreBounded(t *testing.T) {
	p := newBlobParts()
	key := func(job string) fetchKey {
		return fetchKey{1, jobs.BlobRef{Key: job, Records: 3, Bytes: 3 * maxPartsBytes / 4}}
	}
	for _, job := range []string{"a", "b", "c"} {
		ref := key(job).ref
		p.add(key(job), map[string][]byte{ref.ChunkKey(0): make([]byte, maxPartsBytes/4), ref.ChunkKey(2): make([]byte, maxPartsBytes/4)})
	}
	must.SliceLen(t, 2, p.order)
	must.EqOp(t, maxPartsBytes, p.size)
	must.Nil(t, p.records[key("a")])
	p.remove(key("b"))
	p.remove(key("c"))
	must.Zero(t, p.size)
}
