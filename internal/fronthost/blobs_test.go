package fronthost

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

const (
	testRecordBytes = 1024
	testAppendBytes = 8 * 1024
)

// Guards against confusing the outputs that two runners stored for the same item:
// only one of them is committed, and both may have the same length.
func TestOutputsOfTwoRunnersUseSeparateKeys(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	result := jobs.Result{Item: "item-1"}
	var refs []jobs.BlobRef
	var writers []*blobStore
	for _, text := range []string{"text of the first run", "text of the later run"} {
		b := newBlobStore(store, testRecordBytes, testAppendBytes)
		key := outputKey(schedule.Commit{Job: "job-1", Result: result}, newRunner(nil, 1, 1).id)
		got, err := b.put(ctx, 1, []blob{{key: key, data: []byte(text)}})
		must.NoError(t, err)
		refs, writers = append(refs, got...), append(writers, b)
	}
	for _, b := range writers {
		outputs, err := b.get(ctx, 1, refs)
		must.NoError(t, err)
		must.EqOp(t, "text of the first run", string(outputs[0]))
		must.EqOp(t, "text of the later run", string(outputs[1]))
	}
}

// slowStore delays each read by slowRead.
type slowStore struct{ *memlog.Store }

const slowRead = 20 * time.Millisecond

func (s slowStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	time.Sleep(slowRead)
	return s.Store.Read(ctx, p, from, maxBytes, wait)
}

// Guards against readers that read the outputs of a page one after the other. The
// results of a page were stored at different times, between outputs of other runs, so
// each output needs a read of its own.
func TestScatteredOutputsAreReadInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := slowStore{memlog.New(4)}
		writer := newBlobStore(store, testRecordBytes, testAppendBytes)
		const scattered = 24
		var refs []jobs.BlobRef
		for i := range scattered {
			got, err := writer.put(ctx, 1, []blob{{key: fmt.Sprintf("text-%d", i), data: []byte("text")}, {key: fmt.Sprintf("other-%d", i), data: []byte("other")}})
			must.NoError(t, err)
			refs = append(refs, got[0])
		}
		began := time.Now()
		outputs, err := newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
		must.NoError(t, err)
		must.SliceLen(t, scattered, outputs)
		must.Less(t, scattered*slowRead/2, time.Since(began))
	})
}

// Guards against incomplete reads of blobs that span several records, and of blobs
// whose offsets were deleted.
func TestBlobsAreReadCompleteAfterDeletion(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	writer := newBlobStore(store, testRecordBytes, testAppendBytes)
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
		reader := newBlobStore(store, testRecordBytes, testAppendBytes)
		got, err := reader.get(ctx, 2, refs)
		must.NoError(t, err)
		for i, item := range items {
			must.Eq(t, item.data, got[i])
		}
	}
}

// Guards against an output that is served empty or with other bytes, because a later
// record of its key was read together with it.
func TestLaterRecordsOfABlobKeyAreNotMixedIn(t *testing.T) {
	ctx := context.Background()
	for _, later := range []string{"", "longer than the first"} {
		store := memlog.New(4)
		refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(ctx, 1, []blob{{key: "t/a", data: []byte("text")}})
		must.NoError(t, err)
		_, err = store.Append(ctx, blobPartition(1), []logstore.Record{{Key: refs[0].ChunkKey(0), Value: []byte(later)}}, nil)
		must.NoError(t, err)
		outputs, err := newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
		must.NoError(t, err)
		must.EqOp(t, "text", string(outputs[0]))
		store.Delete(blobPartition(1))
		_, err = newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
		must.ErrorIs(t, err, errNoBlob)
	}
}

// brokenStore returns two records for each read and fails from the second read on.
type brokenStore struct {
	*memlog.Store
	reads int
}

func (s *brokenStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	if s.reads++; s.reads > 1 {
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	page, err := s.Store.Read(ctx, p, from, maxBytes, wait)
	page.Records = page.Records[:2]
	return page, err
}

// Guards against outputs that arrived and are dropped, because a read of several ended
// early: on a slow link, no read would ever return an output.
func TestOutputsThatArrivedAreKept(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	var items []blob
	for i := range 5 {
		items = append(items, blob{key: fmt.Sprintf("t/%d", i), data: fmt.Appendf(nil, "text %d", i)})
	}
	refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(ctx, 1, items)
	must.NoError(t, err)
	outputs, err := newBlobStore(&brokenStore{Store: store}, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
	must.ErrorIs(t, err, logstore.ErrOutcomeUnknown)
	must.EqOp(t, "text 0", string(outputs[0]))
	must.EqOp(t, "text 1", string(outputs[1]))
	must.Nil(t, outputs[2])
}

// Guards against a listing of the store for each output of a page after the log was
// compacted: each returns many records, and all hosts share the store's bandwidth.
func TestCompactedOutputsOfAPageShareListings(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	writer := newBlobStore(store, testRecordBytes, testAppendBytes)
	const outputs = 200
	var refs []jobs.BlobRef
	for i := range outputs {
		got, err := writer.put(ctx, 1, []blob{
			{key: fmt.Sprintf("t/job-1/item-%d/1", i), data: bytes.Repeat([]byte{'a' + byte(i%26)}, 1+11*i)},
			{key: fmt.Sprintf("t/job-1/other-%d/1", i), data: []byte("other")},
		})
		must.NoError(t, err)
		refs = append(refs, got[0])
	}
	store.Delete(blobPartition(1))
	store.SetPageSize(500) // a blob may be cut at the end of a page
	all, err := store.ListNewest(ctx, blobPartition(1), "")
	must.NoError(t, err)
	must.True(t, all.More)
	var listings atomic.Int32
	store.SetFault(func(call memlog.Call, _ logstore.Partition) memlog.Fault {
		if call == memlog.CallNewest {
			listings.Add(1)
		}
		return memlog.None
	})
	found, err := newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
	must.NoError(t, err)
	for i := range refs {
		must.Eq(t, bytes.Repeat([]byte{'a' + byte(i%26)}, 1+11*i), found[i])
	}
	must.LessEq(t, int32(10), listings.Load())
}

// Guards against one key for the outputs of two items whose IDs contain slashes.
func TestOutputKeysOfIDsWithSlashesDiffer(t *testing.T) {
	key := func(job, item string) string {
		return outputKey(schedule.Commit{Job: job, Result: jobs.Result{Item: item}}, "1-a")
	}
	must.NotEq(t, key("a", "b/c"), key("a/b", "c"))
}

// Guards against a result that is dropped because its job and item, joined by a slash,
// read like those of another one that is being committed.
func TestResultsOfIDsWithSlashesAreQueued(t *testing.T) {
	r := newRunner(nil, 1, 1)
	r.queueCommits([]schedule.Commit{{Job: "a", Result: jobs.Result{Item: "b/c"}}, {Job: "a/b", Result: jobs.Result{Item: "c"}}})
	must.SliceLen(t, 2, r.pendingCommits)
}
