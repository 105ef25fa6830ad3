package fronthost

import (
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
	// parallelReads bounds the concurrent reads of one call. Outputs that were
	// stored at different times need one read each, which takes about 5 ms.
	parallelReads = 8
	// blobReadTimeout bounds one read, which usually takes a few milliseconds. Calls with
	// more time give half of it to a read.
	blobReadTimeout = 800 * time.Millisecond
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
	// retained is the offset, by partition, before which records are known to be deleted.
	retained map[int]int64
}

func newBlobStore(store logstore.Store, maxRecord, maxAppend int) *blobStore {
	return &blobStore{store: store, maxRecord: maxRecord, maxAppend: maxAppend, cache: make(map[string][]byte), retained: make(map[int]int64)}
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
	found := make([][]byte, len(refs))
	var missing []int
	for i, ref := range refs {
		if found[i] = b.fromCache(ref); found[i] == nil && ref.Bytes > 0 {
			missing = append(missing, i)
		}
	}
	slices.SortFunc(missing, func(x, y int) int { return int(refs[x].Offset - refs[y].Offset) })
	byKey := make([]bool, len(refs)) // blobs that are not at the offsets of their references
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for len(missing) > 0 {
		n := contiguousCount(refs, missing)
		indexes := missing[:n]
		reads.Go(func() error { return b.readContiguous(ctx, partition, refs, indexes, found, byKey) })
		missing = missing[n:]
	}
	err := reads.Wait()
	if keyErr := b.readByKey(ctx, partition, refs, found, byKey); err == nil {
		err = keyErr
	}
	return found, err
}

// contiguousCount returns how many of the blobs, sorted by offset, a single read
// can return.
func contiguousCount(refs []jobs.BlobRef, sorted []int) int {
	first := refs[sorted[0]]
	if first.Offset == jobs.UnknownOffset {
		return 1
	}
	size, end := first.Bytes, first.Offset+int64(first.Records)
	for n := 1; n < len(sorted); n++ {
		next := refs[sorted[n]]
		size += next.Bytes
		if next.Offset != end || size > maxRangeBytes {
			return n
		}
		end += int64(next.Records)
	}
	return len(sorted)
}

// readContiguous reads contiguous blobs by offset. It sets byKey for those whose records
// are not at these offsets or were deleted.
func (b *blobStore) readContiguous(ctx context.Context, partition int, refs []jobs.BlobRef, indexes []int, found [][]byte, byKey []bool) error {
	values := make(map[string][]byte)
	first, last := refs[indexes[0]], refs[indexes[len(indexes)-1]]
	size := 0
	for _, i := range indexes {
		size += refs[i].Bytes + refs[i].Records*blobOverhead
	}
	var broken error
	if first.Offset != jobs.UnknownOffset && !b.isDeleted(partition, first.Offset) {
		err := b.readRange(ctx, partition, first.Offset, last.Offset+int64(last.Records), size, values)
		if errors.Is(err, logstore.ErrDeleted) {
			b.recordDeleted(partition, first.Offset, err)
		} else {
			broken = err // what arrived before is kept
		}
	}
	for _, i := range indexes {
		data, ok := assemble(refs[i], values)
		if !ok && broken != nil {
			continue
		}
		if !ok {
			byKey[i] = true
			continue
		}
		found[i] = data
		b.addToCache(refs[i].Key, data)
	}
	return broken
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

// readTimeout returns the timeout of one read of a call.
func readTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(blobReadTimeout, time.Until(deadline)/2)
	}
	return blobReadTimeout
}

func (b *blobStore) readRange(ctx context.Context, partition int, from, to int64, size int, values map[string][]byte) error {
	for from < to {
		attemptCtx, cancel := context.WithTimeout(ctx, readTimeout(ctx))
		page, err := b.store.Read(attemptCtx, blobPartition(partition), from, size, 0)
		cancel()
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
func (b *blobStore) readByKey(ctx context.Context, partition int, refs []jobs.BlobRef, found [][]byte, byKey []bool) error {
	wanted := make(map[string]bool)
	var order []int
	for i, ref := range refs {
		if !byKey[i] {
			continue
		}
		order = append(order, i)
		for n := range ref.Records {
			wanted[ref.ChunkKey(n)] = true
		}
	}
	if len(order) > 1 {
		slices.SortFunc(order[1:], func(x, y int) int { return strings.Compare(refs[x].Key, refs[y].Key) })
	}
	values := make(map[string][]byte)
	var missing error
	for _, i := range order {
		ref := refs[i]
		data, ok := assemble(ref, values)
		if !ok {
			if err := b.listFrom(ctx, partition, ref.Key, wanted, values); err != nil {
				return err
			}
			data, ok = assemble(ref, values)
		}
		if !ok {
			missing = fmt.Errorf("%w: %s", errNoBlob, ref.Key)
			continue
		}
		found[i] = data
		b.addToCache(ref.Key, data)
	}
	return missing
}

// listFrom lists the newest records from those of a blob on, until all records of that
// blob were listed, and adds the wanted ones to values.
func (b *blobStore) listFrom(ctx context.Context, partition int, key string, wanted map[string]bool, values map[string][]byte) error {
	after := key + "/"
	for strings.HasPrefix(after, key+"/") {
		attemptCtx, cancel := context.WithTimeout(ctx, readTimeout(ctx))
		listing, err := b.store.ListNewest(attemptCtx, blobPartition(partition), after)
		cancel()
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
// than that of the reference.
func (b *blobStore) fromCache(ref jobs.BlobRef) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
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
