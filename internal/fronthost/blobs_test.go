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
	for _, text := range []string{"text of the 1st run", "text of the 2nd run"} {
		b := newBlobStore(store, testRecordBytes, testAppendBytes)
		key := outputKey(schedule.Commit{Job: "job-1", Result: result})
		got, err := b.put(ctx, 1, []blob{{key: key, data: []byte(text)}})
		must.NoError(t, err)
		refs, writers = append(refs, got...), append(writers, b)
	}
	for _, b := range writers {
		outputs, err := b.get(ctx, 1, refs)
		must.NoError(t, err)
		must.EqOp(t, "text of the 1st run", string(outputs[0]))
		must.EqOp(t, "text of the 2nd run", string(outputs[1]))
	}
}

// Guards against a committed output that cannot be read, or is read with the bytes of
// another, because a second output of the item was stored and the log was compacted.
func TestCommittedOutputOutlivesALaterOutputOfItsItem(t *testing.T) {
	ctx := context.Background()
	for _, later := range []string{"text B", "a longer text"} {
		store := memlog.New(4)
		b := newBlobStore(store, testRecordBytes, testAppendBytes)
		refs, err := b.put(ctx, 1, []blob{{key: "t/job/item", data: []byte("text A")}})
		must.NoError(t, err)
		_, err = b.put(ctx, 1, []blob{{key: "t/job/item", data: []byte(later)}})
		must.NoError(t, err)
		store.Delete(blobPartition(1))
		for _, reader := range []*blobStore{b, newBlobStore(store, testRecordBytes, testAppendBytes)} {
			outputs, err := reader.get(ctx, 1, refs)
			must.NoError(t, err)
			must.EqOp(t, "text A", string(outputs[0]))
		}
	}
}

// Guards against a run that goes on from an older partial output than that of its
// reference, because an append of it was carried out late.
func TestLateAppendOfAPartialOutputIsNotUsed(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	b := newBlobStore(store, testRecordBytes, testAppendBytes)
	attempts := 0
	store.SetFault(func(call memlog.Call, _ logstore.Partition) memlog.Fault {
		if attempts++; call == memlog.CallAppend && attempts == 1 {
			return memlog.Delay
		}
		return memlog.None
	})
	_, err := b.put(ctx, 1, []blob{{key: "c/item", data: []byte("partial 1"), mutable: true}})
	must.NoError(t, err)
	refs, err := b.put(ctx, 1, []blob{{key: "c/item", data: []byte("partial 2"), mutable: true}})
	must.NoError(t, err)
	store.ReleaseDelayed()
	read := func(b *blobStore) string {
		outputs, err := b.get(ctx, 1, refs)
		must.NoError(t, err)
		return string(outputs[0])
	}
	must.EqOp(t, "partial 2", read(b))
	must.EqOp(t, "partial 2", read(newBlobStore(store, testRecordBytes, testAppendBytes)))
	store.Delete(blobPartition(1))
	_, err = newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
	must.ErrorIs(t, err, errNoBlob)
}

// interruptedStore appends a record of another writer after each append.
type interruptedStore struct{ *memlog.Store }

func (s interruptedStore) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	end, err := s.Store.Append(ctx, p, records, w)
	if err == nil {
		_, err = s.Store.Append(ctx, p, []logstore.Record{{Key: "other", Value: []byte("other")}}, nil)
	}
	return end, err
}

// Guards against wrong offsets after the first append of a batch that takes several.
func TestOffsetsAreThoseOfTheBlob(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	var items []blob
	for i, size := range []int{4000, 2000, 9000, 100} {
		items = append(items, blob{key: fmt.Sprintf("t/%d", i), data: bytes.Repeat([]byte{byte('0' + i)}, size)})
	}
	refs := make([]jobs.BlobRef, len(items))
	must.NoError(t, newBlobStore(interruptedStore{store}, testRecordBytes, testAppendBytes).putBatch(ctx, 1, items, refs))
	must.EqOp(t, jobs.UnknownOffset, refs[2].Offset) // takes two appends
	for i, ref := range refs {
		if i == 2 {
			continue
		}
		page, err := store.Read(ctx, blobPartition(1), ref.Offset, 1, 0)
		must.NoError(t, err)
		must.EqOp(t, ref.ChunkKey(0), page.Records[0].Key)
	}
	got, err := newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
	must.NoError(t, err)
	for i, item := range items {
		must.Eq(t, item.data, got[i])
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

// brokenListings is a store whose listings break off after some records, as they do when
// they take longer than the call.
type brokenListings struct {
	*memlog.Store
	records int
}

func (s *brokenListings) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	listing, err := s.Store.ListNewest(ctx, p, after)
	if err != nil || len(listing.Records) <= s.records {
		return listing, err
	}
	return logstore.Listing{Records: listing.Records[:s.records], More: true, Truncated: true}, nil
}

// Guards against outputs of a compacted log that are read again from the first one on at
// each attempt, and never whole, while the link is slow.
func TestListingsThatBreakOffMakeProgress(t *testing.T) {
	ctx := context.Background()
	store := &brokenListings{Store: memlog.New(4), records: 3}
	writer := newBlobStore(store, testRecordBytes, testAppendBytes)
	var items []blob
	for i := range 20 {
		items = append(items, blob{key: fmt.Sprintf("t/job-1/item-%02d/1", i), data: bytes.Repeat([]byte{'a'}, 100+i)})
	}
	refs, err := writer.put(ctx, 1, items)
	must.NoError(t, err)
	store.Delete(blobPartition(1))
	var listings atomic.Int32
	store.SetFault(func(call memlog.Call, _ logstore.Partition) memlog.Fault {
		if call == memlog.CallNewest && listings.Add(1) > 1 {
			return memlog.DropRequest
		}
		return memlog.None
	})
	reader := newBlobStore(store, testRecordBytes, testAppendBytes)
	for attempt := range 7 {
		listings.Store(0)
		found, _ := reader.get(ctx, 1, refs)
		for i := range min(3*(attempt+1), len(items)) {
			must.Eq(t, items[i].data, found[i], must.Sprintf("attempt %d, output %d", attempt, i))
		}
	}
}

// Guards against reads at the offset of each output of a page after the log was
// compacted: with a slow store, the time of a call is over before the outputs are read by
// key.
func TestDeletedOffsetsAreNotReadOneByOne(t *testing.T) {
	ctx := context.Background()
	store := memlog.New(4)
	writer := newBlobStore(store, testRecordBytes, testAppendBytes)
	const outputs = 200
	var refs []jobs.BlobRef
	for i := range outputs {
		got, err := writer.put(ctx, 1, []blob{
			{key: fmt.Sprintf("t/job-1/item-%d", i*7%outputs), data: fmt.Appendf(nil, "text %d", i)},
			{key: fmt.Sprintf("t/other/item-%d", i), data: []byte("other")},
		})
		must.NoError(t, err)
		refs = append(refs, got[0])
	}
	store.Delete(blobPartition(1))
	var reads, listings atomic.Int32
	store.SetFault(func(call memlog.Call, _ logstore.Partition) memlog.Fault {
		switch call {
		case memlog.CallRead:
			reads.Add(1)
		case memlog.CallNewest:
			listings.Add(1)
		}
		return memlog.None
	})
	b := newBlobStore(store, testRecordBytes, testAppendBytes)
	found, err := b.get(ctx, 1, refs)
	must.NoError(t, err)
	for i := range refs {
		must.EqOp(t, fmt.Sprintf("text %d", i), string(found[i]))
	}
	must.LessEq(t, parallelReads, reads.Load())
	must.LessEq(t, 2, listings.Load())
	reads.Store(0)
	b.cache = make(map[string][]byte)
	_, err = b.get(ctx, 1, refs)
	must.NoError(t, err)
	must.EqOp(t, 0, reads.Load())
}

// Guards against repeated calls that each read the same blobs once more while the store is
// slow, which makes it slower.
func TestRepeatedCallsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &silentStore{Store: memlog.New(4)}
		refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(ctx, 1, []blob{{key: "t/a", data: []byte("text")}})
		must.NoError(t, err)
		b := newBlobStore(store, testRecordBytes, testAppendBytes)
		store.delay = 1500 * time.Millisecond
		const calls = 10
		var arrived atomic.Int32
		for range calls {
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				if _, err := b.get(callCtx, 1, refs); err == nil {
					arrived.Add(1)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * callTimeout)
		must.EqOp(t, calls-2, arrived.Load()) // two calls ended before the answer
		must.LessEq(t, 2, store.reads.Load())
		must.MapEmpty(t, b.fetches)
	})
}

// Guards against a call that waits for the answer to a read that was lost, or gives up an
// answer that arrives before the caller does.
func TestReadsThatAreLateOrLostAreAnsweredWithinACall(t *testing.T) {
	for name, store := range map[string]*silentStore{
		"late": {delay: 1200 * time.Millisecond},
		"lost": {lost: 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			store.Store = memlog.New(4)
			refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(t.Context(), 1, []blob{{key: "t/a", data: []byte("text")}})
			must.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			outputs, err := newBlobStore(store, testRecordBytes, testAppendBytes).get(ctx, 1, refs)
			must.NoError(t, err, must.Sprint(name))
			must.EqOp(t, "text", string(outputs[0]))
			synctest.Wait()
		})
	}
}

// silentStore answers reads after a delay, and the first lost ones never.
type silentStore struct {
	*memlog.Store
	delay time.Duration
	lost  int32
	reads atomic.Int32
}

func (s *silentStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	if s.reads.Add(1) <= s.lost {
		<-ctx.Done()
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	select {
	case <-time.After(s.delay):
		return s.Store.Read(ctx, p, from, maxBytes, wait)
	case <-ctx.Done():
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against one key for the outputs of two items whose IDs contain slashes.
func TestOutputKeysOfIDsWithSlashesDiffer(t *testing.T) {
	key := func(job, item string) string {
		return outputKey(schedule.Commit{Job: job, Result: jobs.Result{Item: item}})
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
