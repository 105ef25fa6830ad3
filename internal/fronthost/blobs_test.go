package fronthost

import (
	"bytes"
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

const (
	testRecordBytes = 1024
	testAppendBytes = 8 * 1024
)

// Guards against a text that one runner stored being taken for the text of the
// same item that another runner stored and listed: both may have one length.
func TestTextsOfTwoRunnersOfOneItemStayApart(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	listed := jobs.Result{Item: "item-1"}
	var refs []jobs.Ref
	var writers []*blobs
	for epoch, text := range []string{"text of the first run", "text of the later run"} {
		b := newBlobs(store, testRecordBytes, testAppendBytes)
		key := textKey(schedule.Listing{Job: "job-1", Result: listed}, int64(epoch+1))
		got, err := b.put(ctx, 1, []blob{{key: key, data: []byte(text)}})
		must.NoError(t, err)
		refs, writers = append(refs, got...), append(writers, b)
	}
	for _, b := range writers {
		texts, err := b.get(ctx, 1, refs)
		must.NoError(t, err)
		must.EqOp(t, "text of the first run", string(texts[0]))
		must.EqOp(t, "text of the later run", string(texts[1]))
	}
}

// Guards against blobs over several records, and blobs whose offsets were
// deleted, coming back incomplete.
func TestBlobsComeBackWholeAlsoAfterDeletion(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	writer := newBlobs(store, testRecordBytes, testAppendBytes)
	var items []blob
	for i, size := range []int{10, 5000, 1, 20000, 700} {
		items = append(items, blob{key: string(rune('a' + i)), data: bytes.Repeat([]byte{byte('0' + i)}, size)})
	}
	refs, err := writer.put(ctx, 2, items)
	must.NoError(t, err)
	for _, deleted := range []bool{false, true} {
		if deleted {
			store.Delete(blobPartition(2))
		}
		reader := newBlobs(store, testRecordBytes, testAppendBytes)
		got, err := reader.get(ctx, 2, refs)
		must.NoError(t, err)
		for i, item := range items {
			must.Eq(t, item.data, got[i])
		}
	}
}
