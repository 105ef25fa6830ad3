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
	"github.com/sesamestand/sesamestand/internal/knownred"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// slowPages is a store that takes slowLatency for a read of at most 1 MB.
type slowPages struct{ *memlog.Store }

func (s slowPages) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	select {
	case <-time.After(slowLatency):
		return s.Store.Read(ctx, p, from, min(maxBytes, 1<<20), wait)
	case <-ctx.Done():
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against payloads that are never read, because what arrived of a blob of several
// reads is dropped with each call.
func TestLargeBlobsOfASlowStoreAreRead(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(4)
		writer := newBlobStore(store, 256<<10, 2<<20)
		refs, err := writer.put(t.Context(), 1, []blob{{key: "b/job", data: bytes.Repeat([]byte("x"), 6<<20)}})
		must.NoError(t, err)
		reader := newBlobStore(slowPages{store}, 256<<10, 2<<20)
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			_, err = reader.get(ctx, 1, refs)
			cancel()
			if err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		time.Sleep(10 * time.Second)
		must.NoError(t, err)
	})
}

// lossyReads is a store that gives no answer to some reads.
type lossyReads struct {
	*memlog.Store
	lose atomic.Int64 // number of next reads that get no answer
	sent atomic.Int64
}

func (s *lossyReads) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	s.sent.Add(1)
	if s.lose.Add(-1) >= 0 {
		<-ctx.Done()
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	return s.Store.Read(ctx, p, from, maxBytes, wait)
}

// newLossyReader returns a reader of one blob that has no cache of it.
func newLossyReader(t *testing.T) (*blobStore, *lossyReads, []jobs.BlobRef) {
	store := &lossyReads{Store: memlog.New(4)}
	refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(t.Context(), 1, []blob{{key: "key", data: []byte("data")}})
	must.NoError(t, err)
	return newBlobStore(store, testRecordBytes, testAppendBytes), store, refs
}

func getWithin(t *testing.T, b *blobStore, refs []jobs.BlobRef, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := b.get(ctx, 1, refs)
	return err
}

// Guards against calls that all wait for one lost read, because the runner that began it has a
// long time and so sends it again late.
func TestLostReadOfAPatientCallDoesNotHoldOthers(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		b, store, refs := newLossyReader(t)
		store.lose.Store(1)
		go func() { _ = getWithin(t, b, refs, maxLoadTimeout) }()
		synctest.Wait()
		began := time.Now()
		for getWithin(t, b, refs, callTimeout) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		time.Sleep(30 * time.Second) // until the lost read ends
		must.LessEq(t, 3*time.Second, took)
	})
}

// Guards against reads that are sent again and again to a store that is away, for calls
// that have ended.
func TestReadsAreNotRepeatedWithoutACall(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		b, store, refs := newLossyReader(t)
		store.lose.Store(1000)
		err := getWithin(t, b, refs, callTimeout)
		sent := store.sent.Load()
		time.Sleep(20 * time.Second) // until the reads have ended
		must.Error(t, err)
		must.EqOp(t, sent, store.sent.Load())
	})
}

// lateAppends is a store that carries out each append after slowLatency, also if its
// caller has left.
type lateAppends struct{ *memlog.Store }

func (s lateAppends) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	return s.AppendLate(ctx, slowLatency, p, records, w)
}

// Guards against the results of a step that are not committed within the 10 s that jobs
// have at the end of a day, because each small batch waits for two slow appends.
func TestResultsAreCommittedToAStoreWithLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newSlowRunner(t, 224, 1<<30)
		r.host.store.Store = lateAppends{r.host.store.Store.(*slowAppends).Store}
		r.host.blobs = newBlobStore(r.host.store, 1<<20, 2<<20)
		r.writer = logstore.NewFencedWriter(r.host.store, workPartition(slowPartition), writerName, 2)
		_, err := r.writer.Open(ctx)
		must.NoError(t, err)
		go r.appendLoop(ctx)
		began := time.Now()
		r.queueResults(0, 224, 8<<10)
		for r.committed() < 224 {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		cancel()
		<-r.appenderDone
		time.Sleep(10 * time.Second) // for the late appends
		must.LessEq(t, 10*time.Second, took)
	})
}

// scatter stores outputs with a record of another writer after each, in the order of their
// positions or in the reverse order.
func scatter(t *testing.T, store *memlog.Store, n int, reverse bool) []jobs.BlobRef {
	writer := newBlobStore(interruptedStore{store}, testRecordBytes, testAppendBytes)
	refs := make([]jobs.BlobRef, n)
	for i := range n {
		position := i
		if reverse {
			position = n - 1 - i
		}
		got, err := writer.put(t.Context(), 1, []blob{{key: fmt.Sprintf("t/job/%03d", position), data: []byte("output")}})
		must.NoError(t, err)
		refs[position] = got[0]
	}
	return refs
}

// readPage returns how many outputs a call of a host without a cache returns.
func readPage(t *testing.T, store logstore.Store, refs []jobs.BlobRef) int {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	patience, cancelPatience := context.WithTimeout(ctx, pagePatience)
	defer cancelPatience()
	outputs, _ := newBlobStore(store, testRecordBytes, testAppendBytes).getSome(ctx, patience, 1, refs)
	for i, output := range outputs {
		if output == nil {
			return i
		}
	}
	return len(outputs)
}

// Guards against a page without results because the output that it begins with was stored
// after others of the page, and is read after them.
func TestFirstOutputOfAPageIsReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(4)
		refs := scatter(t, store, 40, true)
		read := readPage(t, slowPages{store}, refs)
		time.Sleep(20 * time.Second) // until the reads have ended
		must.Positive(t, read)
	})
}

// Guards against a job whose results take minutes to read: callers ask another host each
// time, and a page holds only the outputs that arrived with its first one.
func TestScatteredResultsOfASlowStoreAreReadInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const results, finishTime = 224, 10 * time.Second
		store := memlog.New(4)
		refs := scatter(t, store, results, false)
		began, calls := time.Now(), 0
		for len(refs) > 0 && calls < 1000 {
			refs = refs[readPage(t, slowPages{store}, refs):]
			calls++
		}
		took := time.Since(began)
		time.Sleep(20 * time.Second) // until the reads have ended
		t.Logf("%d calls", calls)
		must.LessEq(t, finishTime, took)
	})
}

// ListNewest takes slowLatency, as a read does.
func (s slowPages) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	select {
	case <-time.After(slowLatency):
		return s.Store.ListNewest(ctx, p, after)
	case <-ctx.Done():
		return logstore.Listing{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against a job that cannot be read after its outputs were deleted from the log:
// callers ask another host each time, and each one spends the call on the offset first.
func TestDeletedOutputsOfASlowStoreAreReadInOneCall(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(4)
		refs := scatter(t, store, 1, false)
		store.Delete(blobPartition(1))
		read := 0
		for range 10 { // hosts
			read += readPage(t, slowPages{store}, refs)
		}
		time.Sleep(20 * time.Second) // until the reads have ended
		must.Positive(t, read)
	})
}

// tardyStore answers a call with one record, just when the call is sent again.
type tardyStore struct{ *memlog.Store }

func (s tardyStore) Read(ctx context.Context, p logstore.Partition, from int64, _ int, wait time.Duration) (logstore.Page, error) {
	time.Sleep(blobReadRetry)
	return s.Store.Read(ctx, p, from, 1, wait)
}

func (s tardyStore) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	time.Sleep(blobReadRetry)
	return s.Store.ListNewest(ctx, p, after)
}

// Guards against a data race between a read that is sent again and the next read of the blob.
func TestReadSentAgainDoesNotRaceWithTheNextOne(t *testing.T) {
	for _, kept := range []bool{true, false} { // in the log, or in listings only
		synctest.Test(t, func(t *testing.T) {
			const records, reads = 4, 16
			store := memlog.New(4)
			store.SetPageSize(1)
			refs, err := newBlobStore(store, testRecordBytes, testAppendBytes).put(t.Context(), 1, []blob{{key: "key", data: make([]byte, records*(testRecordBytes-blobOverhead))}})
			must.NoError(t, err)
			must.EqOp(t, records, refs[0].Records)
			if !kept {
				refs[0].Offset = jobs.UnknownOffset
			}
			for range reads {
				_, err = newBlobStore(tardyStore{store}, testRecordBytes, testAppendBytes).get(t.Context(), 1, refs)
				time.Sleep(2 * fetchTimeout) // until the reads have ended
				must.NoError(t, err)
			}
		})
	}
}
