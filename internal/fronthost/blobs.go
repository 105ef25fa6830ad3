package fronthost

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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
	// learnRetry is the pause after a failed attempt to find out which blobs are retained.
	learnRetry = 500 * time.Millisecond
	// fetchTimeout bounds the reads that go on after their call has ended.
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
	// fetches holds the blobs that are being read.
	fetches map[fetchKey]*fetchedBlob
	// retained is the offset, by partition, before which records are known to be deleted.
	retained map[int]int64
}

func newBlobStore(store logstore.Store, maxRecord, maxAppend int) *blobStore {
	return &blobStore{store: store, maxRecord: maxRecord, maxAppend: maxAppend, cache: make(map[string][]byte), fetches: make(map[fetchKey]*fetchedBlob), retained: make(map[int]int64)}
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
// waits for no other, except for those that are read in the same round. Reads that are under way go on, so that a repeated call finds in the
// cache what they return, or waits for them.
func (b *blobStore) getSome(ctx, patience context.Context, partition int, refs []jobs.BlobRef) ([][]byte, error) {
	found := make([][]byte, len(refs))
	fetched := make([]*fetchedBlob, len(refs)) // nil for blobs of the cache
	f := &fetch{blobStore: b, partition: partition, retry: readRetry(ctx)}
	b.mu.Lock()
	for i, ref := range refs {
		if found[i] = b.fromCache(ref); found[i] != nil || ref.Bytes == 0 {
			continue
		}
		key := fetchKey{partition, ref}
		if b.fetches[key] == nil {
			b.fetches[key] = &fetchedBlob{ref: ref, done: make(chan struct{})}
			f.blobs = append(f.blobs, b.fetches[key])
		}
		fetched[i] = b.fetches[key]
	}
	b.mu.Unlock()
	if len(f.blobs) > 0 {
		f.start(ctx)
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
	retry     time.Duration  // see blobReadRetry
	blobs     []*fetchedBlob // in the order in which they are needed
}

type fetchKey struct {
	partition int
	ref       jobs.BlobRef
}

// fetchedBlob is one blob of a fetch. data and err are set before done is closed.
type fetchedBlob struct {
	ref  jobs.BlobRef
	done chan struct{}
	data []byte
	err  error
}

// start starts the fetch for a call.
func (f *fetch) start(ctx context.Context) {
	limit := fetchTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = max(limit, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	go func() {
		defer cancel()
		f.run(ctx)
	}()
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

func (f *fetch) succeed(blob *fetchedBlob, data []byte) {
	f.addToCache(blob.ref.Key, data)
	f.settle(blob, data, nil)
}

func (f *fetch) settle(blob *fetchedBlob, data []byte, err error) {
	f.mu.Lock()
	delete(f.fetches, fetchKey{f.partition, blob.ref})
	f.mu.Unlock()
	blob.data, blob.err = data, err
	close(blob.done)
}

// run reads the blobs by offset, and then by key those that are not at their offsets.
func (f *fetch) run(ctx context.Context) {
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
	f.readByKey(ctx, slices.DeleteFunc(slices.Clone(f.blobs), func(blob *fetchedBlob) bool { return !byKey[blob] }))
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
	values := make(map[string][]byte)
	first, last := blobs[0].ref, blobs[len(blobs)-1].ref
	size := 0
	for _, blob := range blobs {
		size += blob.ref.Bytes + blob.ref.Records*blobOverhead
	}
	var broken error
	if first.Offset != jobs.UnknownOffset && !f.isDeleted(f.partition, first.Offset) {
		err := f.readRange(ctx, first.Offset, last.Offset+int64(last.Records), size, values)
		if errors.Is(err, logstore.ErrDeleted) {
			f.recordDeleted(f.partition, first.Offset, err)
		} else {
			broken = err // what arrived before is kept
		}
	}
	var elsewhere []*fetchedBlob
	for _, blob := range blobs {
		data, ok := assemble(blob.ref, values)
		switch {
		case ok:
			f.succeed(blob, data)
		case broken != nil:
			f.settle(blob, nil, broken)
		default:
			elsewhere = append(elsewhere, blob)
		}
	}
	return elsewhere
}

// isDeleted reports whether a record is known to be deleted from the log.
func (b *blobStore) isDeleted(partition int, offset int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset < b.retained[partition]
}

// recordDeleted records that a read at an offset found its record deleted.
func (b *blobStore) recordDeleted(partition int, offset int64, err error) {
	retained := offset + 1
	var deleted *logstore.DeletedError
	if errors.As(err, &deleted) {
		retained = deleted.First
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retained[partition] = max(b.retained[partition], retained)
}

// readRetry returns the time after which a read for a call is sent again.
func readRetry(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(blobReadRetry, time.Until(deadline)/2)
	}
	return blobReadRetry
}

// learnRetained finds out which blobs of a partition were deleted from the log, so that no
// call has to. It retries until the store answers or ctx ends.
func (b *blobStore) learnRetained(ctx context.Context, partition int) {
	for ctx.Err() == nil {
		_, err := logstore.Hedge(ctx, blobReadRetry, func(ctx context.Context) (logstore.Page, error) {
			return b.store.Read(ctx, blobPartition(partition), 0, 1, 0)
		})
		if errors.Is(err, logstore.ErrDeleted) {
			b.recordDeleted(partition, 0, err)
		}
		if err == nil || errors.Is(err, logstore.ErrDeleted) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(learnRetry):
		}
	}
}

func (f *fetch) readRange(ctx context.Context, from, to int64, size int, values map[string][]byte) error {
	for from < to {
		first := from // an attempt may begin late, after from has advanced
		page, err := logstore.Hedge(ctx, f.retry, func(ctx context.Context) (logstore.Page, error) {
			return f.store.Read(ctx, blobPartition(f.partition), first, size, 0)
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
	}
	return nil
}

// readByKey reads the blobs that cannot be read by offset. The store retains the newest
// record of each key, even if it has deleted that record from the log. A page of a listing
// holds up to 1 MB of records, so each serves all blobs that it holds, and they are read
// one after the other: parallel ones would share the bandwidth, and none might arrive in
// time. The first blob comes first, so that each call returns something, and the others
// in the order of their keys, so that few listings hold all of them.
func (f *fetch) readByKey(ctx context.Context, blobs []*fetchedBlob) {
	wanted := make(map[string]bool)
	for _, blob := range blobs {
		for n := range blob.ref.Records {
			wanted[blob.ref.ChunkKey(n)] = true
		}
	}
	if len(blobs) > 1 {
		slices.SortFunc(blobs[1:], func(x, y *fetchedBlob) int { return strings.Compare(x.ref.Key, y.ref.Key) })
	}
	values := make(map[string][]byte)
	for len(blobs) > 0 {
		err := f.listFrom(ctx, blobs[0].ref.Key, wanted, values)
		var rest []*fetchedBlob
		for i, blob := range blobs {
			data, ok := assemble(blob.ref, values)
			switch {
			case ok:
				f.succeed(blob, data)
			case err != nil:
				f.settle(blob, nil, err)
			case i == 0:
				f.settle(blob, nil, fmt.Errorf("%w: %s", errNoBlob, blob.ref.Key))
			default:
				rest = append(rest, blob)
			}
		}
		blobs = rest
	}
}

// listFrom lists the newest records from those of a blob on, until all records of that
// blob were listed, and adds the wanted ones to values.
func (f *fetch) listFrom(ctx context.Context, key string, wanted map[string]bool, values map[string][]byte) error {
	after := key + "/"
	for strings.HasPrefix(after, key+"/") {
		last := after // an attempt may begin late, after it has advanced
		listing, err := logstore.Hedge(ctx, f.retry, func(ctx context.Context) (logstore.Listing, error) {
			return f.store.ListNewest(ctx, blobPartition(f.partition), last)
		})
		if err != nil {
			return err
		}
		for _, r := range listing.Records {
			if wanted[r.Key] {
				values[r.Key] = r.Value
			}
			after = r.Key
		}
		if !listing.More || len(listing.Records) == 0 {
			return nil
		}
	}
	return nil
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
