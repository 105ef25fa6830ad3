package fronthost

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// topicBlobs holds payloads and outputs. They are kept out of topicWork because
// only some hosts need them.
const topicBlobs = "blobs"

// Limits of blobs.
const (
	// maxCacheBytes bounds the blobs that a host caches: the outputs of a few
	// training steps.
	maxCacheBytes = 4 << 20
	// maxRangeBytes bounds one read of contiguous blobs.
	maxRangeBytes = 900 << 10
	// blobOverhead is the space, in bytes, that is reserved in a record for the key
	// and its framing.
	blobOverhead = 512
	// parallelReads bounds the concurrent reads of one call. Outputs that were stored at
	// different times need one read each, and a slow store has time for one round of them
	// in a call.
	parallelReads = 32
	// roundTime is how long a call waits for the other reads of a round after the answer
	// to the first.
	roundTime = 100 * time.Millisecond
	// blobReadRetry is the time after which a read, which usually takes a few
	// milliseconds, is sent again. Calls with more time wait for half of it.
	blobReadRetry = 800 * time.Millisecond
	// earlyListing is the time after which a call does not wait any more for the answer that
	// a blob was deleted from the log before it lists the blob.
	earlyListing = 100 * time.Millisecond
	// retainedAge is the time for which a host relies on what it knows of deleted blobs. It
	// also bounds how often a host lists blobs early: a page of a listing holds up to 1 MB.
	retainedAge = 30 * time.Second
	// fetchTimeout bounds one attempt of a read, and the calls that have no deadline. An
	// attempt goes on after its call has ended.
	fetchTimeout = 4 * time.Second
)

var errNoBlob = errors.New("blob not found in the store")

// blob is data to be stored. Its key is extended by its checksum, so that no record with
// other data replaces it, unless it is mutable: then only the newest data of the key is
// retained.
type blob struct {
	key     string
	data    []byte
	mutable bool
}

// blobStore stores and reads blobs, and caches the most recent ones in memory.
type blobStore struct {
	store     logstore.Store
	maxRecord int
	maxAppend int

	mu    sync.Mutex
	cache map[string][]byte
	order []string // oldest first
	size  int
	// account counts the cache and the parts.
	account *account.Account
	// fetches holds the blobs that are being read.
	fetches map[fetchKey]*fetchedBlob
	parts   *blobParts
	// retained is the offset, by partition, before which records are known to be deleted.
	retained map[int]int64
	// checked is when, by partition, the host learned that offset or listed blobs early.
	checked map[int]time.Time
}

func newBlobStore(store logstore.Store, maxRecord, maxAppend int) *blobStore {
	return &blobStore{account: account.Unlimited(), store: store, maxRecord: maxRecord, maxAppend: maxAppend, cache: make(map[string][]byte), fetches: make(map[fetchKey]*fetchedBlob), parts: newBlobParts(), retained: make(map[int]int64), checked: make(map[int]time.Time)}
}

func blobPartition(n int) logstore.Partition { return logstore.Partition{Topic: topicBlobs, Number: n} }

// put stores blobs and returns references to them. Storing a blob twice is harmless, also
// if the first append of it is carried out late.
func (b *blobStore) put(ctx context.Context, partition int, items []blob) ([]jobs.BlobRef, error) {
	refs := make([]jobs.BlobRef, len(items))
	for start := 0; start < len(items); {
		end, size := start, 0
		for end < len(items) && (end == start || size+len(items[end].data)+blobOverhead <= b.maxAppend) {
			size += len(items[end].data) + blobOverhead
			end++
		}
		if err := b.putBatch(ctx, partition, items[start:end], refs[start:end]); err != nil {
			return nil, err
		}
		start = end
	}
	return refs, nil
}

// putBatch stores blobs one after the other. Blobs that exceed one append are split
// over several, between which other writers may append records. A blob with such records
// in between can be read by key only.
func (b *blobStore) putBatch(ctx context.Context, partition int, items []blob, refs []jobs.BlobRef) error {
	var records []logstore.Record
	first := make([]int, len(items)) // index of the first record of each blob
	for i, item := range items {
		refs[i] = jobs.BlobRef{Key: item.key, Bytes: len(item.data), Sum: jobs.Sum(item.data)}
		if !item.mutable {
			refs[i].Key = fmt.Sprintf("%s/%016x", item.key, refs[i].Sum)
		}
		first[i] = len(records)
		size := b.maxRecord - blobOverhead
		for chunk := range slices.Chunk(item.data, size) {
			records = append(records, logstore.Record{Key: refs[i].ChunkKey(refs[i].Records), Value: chunk})
			refs[i].Records++
		}
		b.addToCache(refs[i].Key, item.data)
	}
	offsets := make([]int64, 0, len(records))
	for len(offsets) < len(records) {
		rest := records[len(offsets):]
		n := recordsThatFit(rest, b.maxAppend)
		end, err := logstore.AppendUnfenced(ctx, b.store, blobPartition(partition), rest[:n])
		if err != nil {
			return err
		}
		for i := range n {
			offsets = append(offsets, end-int64(n-i))
		}
	}
	for i, ref := range refs {
		refs[i].Offset = jobs.UnknownOffset
		last := first[i] + ref.Records - 1
		if ref.Records > 0 && offsets[last]-offsets[first[i]] == int64(ref.Records-1) {
			refs[i].Offset = offsets[first[i]]
		}
	}
	return nil
}

// get returns blobs in the order of refs. With an error it returns those that it read,
// and nil for the others.
func (b *blobStore) get(ctx context.Context, partition int, refs []jobs.BlobRef) ([][]byte, error) {
	return b.getSome(ctx, ctx, partition, refs)
}

// getSome is get for a caller that can do with the first blob: when patience ends, it
// waits for no other, except for those that are read in the same round. Reads that are
// under way go on, so that a repeated call finds in the cache what they return, or waits for
// them, but none is sent without a call that waits for it.
func (b *blobStore) getSome(ctx, patience context.Context, partition int, refs []jobs.BlobRef) ([][]byte, error) {
	call := &waitingCall{readRetry(ctx)}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
	}
	found := make([][]byte, len(refs))
	fetched := make([]*fetchedBlob, len(refs)) // nil for blobs of the cache
	f := &fetch{blobStore: b, partition: partition, changed: make(chan struct{})}
	b.mu.Lock()
	for i, ref := range refs {
		if found[i] = b.fromCache(ref); found[i] != nil || ref.Bytes == 0 {
			continue
		}
		key := fetchKey{partition, ref}
		if b.fetches[key] == nil {
			b.fetches[key] = &fetchedBlob{fetch: f, ref: ref, waiting: make(map[*waitingCall]bool), done: make(chan struct{})}
			f.blobs = append(f.blobs, b.fetches[key])
		}
		fetched[i] = b.fetches[key]
		fetched[i].waiting[call] = true
		fetched[i].fetch.signalChange()
	}
	b.mu.Unlock()
	defer b.stopWaiting(call, fetched)
	if len(f.blobs) > 0 {
		go f.run(context.WithoutCancel(ctx))
	}
	var failed error
	for i, blob := range fetched {
		if blob == nil {
			continue
		}
		until := patience
		if i == 0 {
			until = ctx
		}
		data, err := blob.wait(until)
		if i == 0 && patience.Err() != nil {
			round, cancel := context.WithTimeout(ctx, roundTime)
			defer cancel()
			patience = round
		}
		found[i] = data
		if failed == nil {
			failed = err
		}
	}
	return found, failed
}

// stopWaiting records that a call has ended. Blobs of the cache are nil.
func (b *blobStore) stopWaiting(call *waitingCall, fetched []*fetchedBlob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, blob := range fetched {
		if blob != nil {
			delete(blob.waiting, call)
			blob.fetch.signalChange()
		}
	}
}

// isCached reports whether a blob can be returned without the store.
func (b *blobStore) isCached(ref jobs.BlobRef) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ref.Bytes == 0 || b.fromCache(ref) != nil
}

// fetch reads blobs that are not in the cache.
type fetch struct {
	*blobStore
	partition int
	blobs     []*fetchedBlob // in the order in which they are needed
	changed   chan struct{}  // closed and replaced when a call begins or ends to wait; guarded by mu
}

type fetchKey struct {
	partition int
	ref       jobs.BlobRef
}

// fetchedBlob is one blob of a fetch. data and err are set before done is closed.
type fetchedBlob struct {
	fetch   *fetch
	ref     jobs.BlobRef
	waiting map[*waitingCall]bool // guarded by mu of the blobStore
	done    chan struct{}
	data    []byte
	err     error
}

// waitingCall is a call that waits for blobs.
type waitingCall struct {
	retry time.Duration // time after which a read for it is sent again
}

// signalChange wakes the reads of the fetch. The caller holds mu.
func (f *fetch) signalChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// isWanted reports whether a call waits for one of the blobs. The caller holds mu.
func isWanted(blobs []*fetchedBlob) bool {
	return slices.ContainsFunc(blobs, func(blob *fetchedBlob) bool { return len(blob.waiting) > 0 })
}

// retry returns the time after which a read of blobs is sent again: that of the call with the
// least time, or 0 if no call waits for them. The caller holds mu.
func retry(blobs []*fetchedBlob) time.Duration {
	var least time.Duration
	for _, blob := range blobs {
		for call := range blob.waiting {
			if least == 0 || call.retry < least {
				least = call.retry
			}
		}
	}
	return least
}

// hedge reads something for blobs, and again while calls wait for one of them.
func hedge[T any](ctx context.Context, f *fetch, blobs []*fetchedBlob, read func(context.Context) (T, error)) (T, error) {
	return logstore.HedgeWhile(ctx, fetchTimeout, func(attempts int) (time.Duration, <-chan struct{}) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if attempts > 1 {
			return 2 * retry(blobs), f.changed
		}
		return retry(blobs), f.changed
	}, read)
}

// giveUp settles blobs if no call waits for any of them, and reports whether it did.
func (f *fetch) giveUp(blobs []*fetchedBlob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isWanted(blobs) {
		return false
	}
	for _, blob := range blobs {
		f.settleLocked(blob, nil, logstore.ErrUnwanted)
	}
	return true
}

// wait waits until the blob was read, or cannot be read, or ctx ends.
func (f *fetchedBlob) wait(ctx context.Context) ([]byte, error) {
	select {
	case <-f.done:
		return f.data, f.err
	default:
	}
	select {
	case <-f.done:
		return f.data, f.err
	case <-ctx.Done():
		return nil, fmt.Errorf("blob %s has not arrived yet: %w", f.ref.Key, ctx.Err())
	}
}

// countHeld counts on the account what a change adds to the cache and the parts. The
// caller holds mu, and calls the result after the change.
func (b *blobStore) countHeld() func() {
	before := b.size + b.parts.size
	return func() { b.account.Add(account.Blobs, int64(b.size+b.parts.size-before)) }
}

// keep keeps the records of blobs that have not arrived whole.
func (f *fetch) keep(blobs []*fetchedBlob, values map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.countHeld()()
	for _, blob := range blobs {
		if blob.ref.Records > 1 {
			f.parts.add(fetchKey{f.partition, blob.ref}, values)
		}
	}
}

// kept returns the records of blobs that arrived before.
func (f *fetch) kept(blobs []*fetchedBlob) map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	values := make(map[string][]byte)
	for _, blob := range blobs {
		maps.Copy(values, f.parts.records[fetchKey{f.partition, blob.ref}])
	}
	return values
}

// dropKept drops records that do not add up to their blob, or are not needed any more.
func (f *fetch) dropKept(blob *fetchedBlob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.countHeld()()
	f.parts.remove(fetchKey{f.partition, blob.ref})
}

// leadingRecords returns how many records of a blob values holds, up to the first missing
// one.
func leadingRecords(ref jobs.BlobRef, values map[string][]byte) int {
	for n := range ref.Records {
		if _, ok := values[ref.ChunkKey(n)]; !ok {
			return n
		}
	}
	return ref.Records
}

func (f *fetch) succeed(blob *fetchedBlob, data []byte) {
	f.addToCache(blob.ref.Key, data)
	f.dropKept(blob)
	f.settle(blob, data, nil)
}

func (f *fetch) settle(blob *fetchedBlob, data []byte, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settleLocked(blob, data, err)
}

// settleLocked is settle for a caller that holds mu.
func (f *fetch) settleLocked(blob *fetchedBlob, data []byte, err error) {
	delete(f.fetches, fetchKey{f.partition, blob.ref})
	blob.data, blob.err = data, err
	close(blob.done)
}

// run reads the blobs by offset, and then by key those that are not at their offsets.
func (f *fetch) run(ctx context.Context) {
	early := f.startEarlyListing(ctx)
	var mu sync.Mutex
	byKey := make(map[*fetchedBlob]bool)
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for _, contiguous := range f.contiguous() {
		reads.Go(func() error {
			elsewhere := f.readContiguous(ctx, contiguous)
			mu.Lock()
			defer mu.Unlock()
			for _, blob := range elsewhere {
				byKey[blob] = true
			}
			return nil
		})
	}
	_ = reads.Wait() // each blob has its error
	rest := slices.DeleteFunc(slices.Clone(f.blobs), func(blob *fetchedBlob) bool { return !byKey[blob] })
	f.readByKey(ctx, rest, early.finish(len(rest) > 0))
}

// backgroundListing is a listing that goes on while blobs are read by offset.
type backgroundListing struct {
	cancel context.CancelFunc
	timer  *time.Timer
	done   chan struct{}
	values map[string][]byte // by key; set before done is closed
}

// startEarlyListing lists the blobs from the first one on if the reads by offset are late
// and the host does not know which blobs were deleted: the time of a call does not suffice
// for the answer that a blob was deleted and a listing after it.
func (f *fetch) startEarlyListing(ctx context.Context) *backgroundListing {
	ctx, cancel := context.WithTimeout(ctx, earlyListing+fetchTimeout)
	l := &backgroundListing{cancel: cancel, done: make(chan struct{})}
	after, wanted := f.blobs[0].ref.Key+"/", f.chunkKeys(f.blobs)
	l.timer = time.AfterFunc(earlyListing, func() {
		defer close(l.done)
		if !f.claimEarlyListing(f.partition) {
			return
		}
		page, err := f.listPage(ctx, after, wanted)
		if err != nil {
			klog.V(1).InfoS("early listing of blobs failed", "partition", f.partition, "err", err)
		}
		l.values = page.values
	})
	return l
}

// finish returns the records that the listing found, or ends it if they are not needed.
func (l *backgroundListing) finish(needed bool) map[string][]byte {
	defer l.cancel()
	if l.timer.Stop() || !needed {
		return nil
	}
	<-l.done
	return l.values
}

// contiguous returns the blobs in groups that a single read each can return, in the order
// in which they are needed.
func (f *fetch) contiguous() [][]*fetchedBlob {
	position := make(map[*fetchedBlob]int, len(f.blobs))
	for i, blob := range f.blobs {
		position[blob] = i
	}
	sorted := slices.SortedStableFunc(slices.Values(f.blobs), func(x, y *fetchedBlob) int { return cmp.Compare(x.ref.Offset, y.ref.Offset) })
	var groups [][]*fetchedBlob
	needed := make(map[*fetchedBlob]int) // position of the group's first blob, by the first of the group
	for len(sorted) > 0 {
		n := contiguousCount(sorted)
		group := sorted[:n:n]
		sorted = sorted[n:]
		first := position[group[0]]
		for _, blob := range group {
			first = min(first, position[blob])
		}
		needed[group[0]] = first
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(x, y []*fetchedBlob) int { return cmp.Compare(needed[x[0]], needed[y[0]]) })
	return groups
}

// contiguousCount returns how many of the blobs, sorted by offset, a single read
// can return.
func contiguousCount(sorted []*fetchedBlob) int {
	first := sorted[0].ref
	if first.Offset == jobs.UnknownOffset {
		return 1
	}
	size, end := first.Bytes, first.Offset+int64(first.Records)
	for n := 1; n < len(sorted); n++ {
		next := sorted[n].ref
		size += next.Bytes
		if next.Offset != end || size > maxRangeBytes {
			return n
		}
		end += int64(next.Records)
	}
	return len(sorted)
}

// readContiguous reads contiguous blobs by offset. It returns those whose records are not
// at these offsets or were deleted.
func (f *fetch) readContiguous(ctx context.Context, blobs []*fetchedBlob) []*fetchedBlob {
	for len(blobs) > 0 && !f.giveUp(blobs) {
		if first := blobs[0].ref; first.Offset == jobs.UnknownOffset || f.isDeleted(f.partition, first.Offset) {
			return blobs
		}
		values := f.kept(blobs)
		err := f.readRange(ctx, blobs, values)
		f.keep(blobs, values)
		var rest []*fetchedBlob
		for _, blob := range blobs {
			data, ok := assemble(blob.ref, values)
			switch {
			case ok:
				f.succeed(blob, data)
			case err == nil:
				f.dropKept(blob)
				rest = append(rest, blob)
			case errors.Is(err, logstore.ErrDeleted), errors.Is(err, logstore.ErrUnwanted):
				rest = append(rest, blob)
			default:
				f.settle(blob, nil, err)
			}
		}
		if !errors.Is(err, logstore.ErrUnwanted) {
			return rest
		}
		blobs = rest // a call may wait again
	}
	return nil
}

// isDeleted reports whether a record is known to be deleted from the log.
func (b *blobStore) isDeleted(partition int, offset int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset < b.retained[partition]
}

// read reads records of a partition and records which ones are retained.
func (b *blobStore) read(ctx context.Context, partition int, from int64, maxBytes int) (logstore.Page, error) {
	page, err := b.store.Read(ctx, blobPartition(partition), from, maxBytes, 0)
	var deleted *logstore.DeletedError
	switch {
	case err == nil:
		b.recordRetained(partition, page.First)
	case errors.As(err, &deleted):
		b.recordRetained(partition, deleted.First)
	case errors.Is(err, logstore.ErrDeleted):
		b.recordRetained(partition, from+1)
	}
	return page, err
}

// recordRetained records the offset of the first retained record of a partition.
func (b *blobStore) recordRetained(partition int, first int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retained[partition] = max(b.retained[partition], first)
	b.checked[partition] = time.Now()
}

// claimEarlyListing reports whether blobs of a partition may be listed early now.
func (b *blobStore) claimEarlyListing(partition int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.checked[partition]) < retainedAge {
		return false
	}
	b.checked[partition] = time.Now()
	return true
}

// readRetry returns the time after which a read for a call is sent again.
func readRetry(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(blobReadRetry, time.Until(deadline)/2)
	}
	return blobReadRetry
}

// learnRetained finds out which blobs of a partition were deleted from the log, so that no
// call has to. Each read says so; this one begins after the newest known blob, where there
// are few records or none. It is not repeated, and calls that come meanwhile list nothing
// early: all hosts may start at once.
func (b *blobStore) learnRetained(ctx context.Context, partition int, end int64) {
	b.claimEarlyListing(partition)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if _, err := b.read(ctx, partition, end, 1); err != nil && !errors.Is(err, logstore.ErrDeleted) {
		b.mu.Lock()
		delete(b.checked, partition)
		b.mu.Unlock()
		klog.InfoS("it is not known which blobs were deleted from the log", "partition", partition, "err", err)
	}
}

// readRange reads the records of contiguous blobs that values does not hold yet, and adds
// them to values, also those that arrived before an error.
func (f *fetch) readRange(ctx context.Context, blobs []*fetchedBlob, values map[string][]byte) error {
	last := blobs[len(blobs)-1].ref
	to, size := last.Offset+int64(last.Records), 0
	from := to
	for _, blob := range slices.Backward(blobs) {
		size += blob.ref.Bytes + blob.ref.Records*blobOverhead
		if n := leadingRecords(blob.ref, values); n < blob.ref.Records {
			from = blob.ref.Offset + int64(n)
		}
	}
	for from < to {
		first := from // an attempt may begin late, after from has advanced
		page, err := hedge(ctx, f, blobs, func(ctx context.Context) (logstore.Page, error) {
			return f.read(ctx, f.partition, first, size)
		})
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		for i, r := range page.Records {
			if from+int64(i) < to {
				values[r.Key] = r.Value
			}
		}
		from += int64(len(page.Records))
		if from < to && !f.areWanted(blobs) {
			return logstore.ErrUnwanted
		}
	}
	return nil
}

// areWanted reports whether a call waits for one of the blobs.
func (f *fetch) areWanted(blobs []*fetchedBlob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isWanted(blobs)
}

// readByKey reads the blobs that cannot be read by offset. The store retains the newest
// record of each key, even if it has deleted that record from the log. A page of a listing
// holds up to 1 MB of records, so each serves all blobs that it holds, and they are read
// one after the other: parallel ones would share the bandwidth, and none might arrive in
// time. The first blob comes first, so that each call returns something, and the others
// in the order of their keys, so that few listings hold all of them. listed holds records
// that were listed before.
func (f *fetch) readByKey(ctx context.Context, blobs []*fetchedBlob, listed map[string][]byte) {
	wanted := f.chunkKeys(blobs)
	values := f.kept(blobs)
	maps.Copy(values, listed)
	blobs = slices.DeleteFunc(blobs, func(blob *fetchedBlob) bool {
		data, ok := assemble(blob.ref, values)
		if ok {
			f.succeed(blob, data)
		}
		return ok
	})
	if len(blobs) > 1 {
		slices.SortFunc(blobs[1:], func(x, y *fetchedBlob) int { return strings.Compare(x.ref.Key, y.ref.Key) })
	}
	for len(blobs) > 0 && !f.giveUp(blobs) {
		err := f.listFrom(ctx, blobs, wanted, values)
		f.keep(blobs, values)
		var rest []*fetchedBlob
		for i, blob := range blobs {
			data, ok := assemble(blob.ref, values)
			switch {
			case ok:
				f.succeed(blob, data)
			case errors.Is(err, logstore.ErrUnwanted):
				rest = append(rest, blob) // a call may wait again
			case err != nil:
				f.settle(blob, nil, err)
			case i == 0:
				f.dropKept(blob)
				f.settle(blob, nil, fmt.Errorf("%w: %s", errNoBlob, blob.ref.Key))
			default:
				rest = append(rest, blob)
			}
		}
		blobs = rest
	}
}

// chunkKeys returns the keys of the records of blobs.
func (f *fetch) chunkKeys(blobs []*fetchedBlob) map[string]bool {
	keys := make(map[string]bool)
	for _, blob := range blobs {
		for n := range blob.ref.Records {
			keys[blob.ref.ChunkKey(n)] = true
		}
	}
	return keys
}

// listFrom lists the newest records from those of the first blob on, until all records of
// that blob were listed, and adds the wanted ones to values. It begins after the records
// that values holds.
func (f *fetch) listFrom(ctx context.Context, blobs []*fetchedBlob, wanted map[string]bool, values map[string][]byte) error {
	first := blobs[0].ref
	prefix := first.Key + "/"
	after := prefix
	if n := leadingRecords(first, values); n > 0 {
		after = first.ChunkKey(n - 1)
	}
	for strings.HasPrefix(after, prefix) {
		last := after // an attempt may begin late, after it has advanced
		page, err := hedge(ctx, f, blobs, func(ctx context.Context) (listedPage, error) {
			return f.listPage(ctx, last, wanted)
		})
		if err != nil {
			return err
		}
		maps.Copy(values, page.values)
		after = page.after
		if strings.HasPrefix(after, prefix) && !f.areWanted(blobs) {
			return logstore.ErrUnwanted
		}
	}
	return nil
}

// listedPage is what a page of a listing has of blobs.
type listedPage struct {
	values map[string][]byte // by key
	after  string            // key after which the next page begins, or empty
}

func (f *fetch) listPage(ctx context.Context, after string, wanted map[string]bool) (listedPage, error) {
	listing, err := f.store.ListNewest(ctx, blobPartition(f.partition), after)
	if err != nil {
		return listedPage{}, err
	}
	page := listedPage{values: make(map[string][]byte)}
	for _, r := range listing.Records {
		if wanted[r.Key] {
			page.values[r.Key] = r.Value
		}
		if listing.More {
			page.after = r.Key
		}
	}
	return page, nil
}

// assemble joins the records of a blob. It reports false if some are missing or are not
// those that the reference was made for.
func assemble(ref jobs.BlobRef, values map[string][]byte) ([]byte, bool) {
	if ref.Records == 1 {
		data, ok := values[ref.ChunkKey(0)]
		return data, ok && ref.Matches(data)
	}
	var data []byte
	for i := range ref.Records {
		chunk, ok := values[ref.ChunkKey(i)]
		if !ok {
			return nil, false
		}
		data = append(data, chunk...)
	}
	return data, ref.Matches(data)
}

// fromCache returns a blob from the cache, or nil. The data of a mutable blob may be other
// than that of the reference. The caller holds mu.
func (b *blobStore) fromCache(ref jobs.BlobRef) []byte {
	data, ok := b.cache[ref.Key]
	if !ok || !ref.Matches(data) {
		return nil
	}
	return data
}

func (b *blobStore) addToCache(key string, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.countHeld()()
	if old, ok := b.cache[key]; ok {
		b.size += len(data) - len(old)
		b.cache[key] = data
		return
	}
	b.cache[key] = data
	b.order = append(b.order, key)
	b.size += len(data)
	for b.size > maxCacheBytes && len(b.order) > 1 {
		b.size -= len(b.cache[b.order[0]])
		delete(b.cache, b.order[0])
		b.order = b.order[1:]
	}
}
