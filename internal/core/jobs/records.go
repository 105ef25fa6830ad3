package jobs

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Record kinds, the first part of a record key.
const (
	kindChunk   = "j"
	kindResult  = "p"
	kindEnd     = "e"
	kindPartial = "c"
)

// maxOffsetDigits bounds the difference in length between two encodings of a job that
// differ in the offset of the payloads.
const maxOffsetDigits = 20

// recordOverhead is the space reserved in a record for the key and framing.
const recordOverhead = 512

// EncodeJob returns the records of a job, split into chunks so that no record
// exceeds maxRecord bytes. The newest chunks of a job may come from several
// submissions, so chunks omit the offset of the payloads, in which these differ.
func EncodeJob(job *Job, maxRecord int) ([]logstore.Record, error) {
	data, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	size := maxRecord - recordOverhead
	if size <= 0 {
		return nil, fmt.Errorf("maximum record size of %d bytes leaves no space for a job chunk", maxRecord)
	}
	if len(data)+maxOffsetDigits > size {
		chunked := *job
		chunked.Payloads.Offset = UnknownOffset
		if data, err = json.Marshal(chunked); err != nil {
			return nil, eris.Wrap(err, "encode job")
		}
	}
	total := (len(data) + size - 1) / size
	records := make([]logstore.Record, 0, total)
	for i := range total {
		chunk := binary.BigEndian.AppendUint32(nil, uint32(total))
		chunk = append(chunk, data[i*size:min((i+1)*size, len(data))]...)
		records = append(records, logstore.Record{Key: recordKey(kindChunk, job.ID, strconv.Itoa(i)), Value: chunk})
	}
	return records, nil
}

// EncodeResult returns the record that commits a result to a position.
func EncodeResult(job string, position int, r Result) (logstore.Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode result of a job item")
	}
	return logstore.Record{Key: recordKey(kindResult, job, strconv.Itoa(position)), Value: data}, nil
}

// EncodeEnd returns the record that ends a job.
func EncodeEnd(job string) logstore.Record {
	return logstore.Record{Key: recordKey(kindEnd, job, ""), Value: []byte("{}")}
}

// EncodePartial returns the record with the location of a partial output.
func EncodePartial(job, item string, output BlobRef) (logstore.Record, error) {
	data, err := json.Marshal(output)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode location of a partial output")
	}
	return logstore.Record{Key: recordKey(kindPartial, job, item), Value: data}, nil
}

// BlobTombstones returns the tombstones for the payloads and outputs of a job that was
// removed, except for outputs of items that have a result in another job of the
// partition: it may be the same output.
func (t *Table) BlobTombstones(removed *Entry) []logstore.Record {
	refs := []BlobRef{removed.Job.Payloads}
	for _, r := range removed.Results {
		if t.finished[itemKey{removed.Partition, r.Item}].jobs == 0 {
			refs = append(refs, r.Output)
		}
	}
	var records []logstore.Record
	for _, ref := range refs {
		for i := range ref.Records {
			records = append(records, logstore.Record{Key: ref.ChunkKey(i)})
		}
	}
	return records
}

// ChunkKey returns the key of the blob's record i.
func (r BlobRef) ChunkKey(i int) string { return fmt.Sprintf("%s/%04d", r.Key, i) }

// Tombstones returns the tombstones for all record keys of a job. The tombstone of
// the end record comes last: it completes the removal.
func Tombstones(e *Entry) []logstore.Record {
	var records []logstore.Record
	add := func(k string) { records = append(records, logstore.Record{Key: k}) }
	for i := range e.totalChunks {
		add(recordKey(kindChunk, e.Job.ID, strconv.Itoa(i)))
	}
	for i := range e.Results {
		add(recordKey(kindResult, e.Job.ID, strconv.Itoa(i)))
	}
	for i := range e.Job.Items {
		add(recordKey(kindPartial, e.Job.ID, e.Job.Items[i].ID))
	}
	add(recordKey(kindEnd, e.Job.ID, ""))
	return records
}

// recordKey returns the key of a record of a job. The job ID is escaped because it
// may contain a slash, which separates the parts of the key.
func recordKey(kind, job, rest string) string { return kind + "/" + url.PathEscape(job) + "/" + rest }

// IsJobKey reports whether a record key belongs to a job.
func IsJobKey(key string) bool {
	return len(key) > 2 && key[1] == '/' && strings.Contains(kindChunk+kindResult+kindEnd+kindPartial, key[:1])
}

// Apply applies one record of a partition. Records may be repeated and, when they
// come from a listing of the newest record of each key, be in any order.
func (t *Table) Apply(partition int, r logstore.Record, now time.Time) error {
	parts := strings.SplitN(r.Key, "/", 3)
	if len(parts) != 3 || !IsJobKey(r.Key) {
		return fmt.Errorf("record key %q does not belong to a job", r.Key)
	}
	kind, rest := parts[0], parts[2]
	id, err := url.PathUnescape(parts[1])
	if err != nil {
		return fmt.Errorf("record key %q: invalid job ID: %w", r.Key, err)
	}
	e := t.entries.Get(id)
	if e != nil && e.Partition != partition && e.excludes(kind, r) {
		if kind == kindChunk && !slices.Contains(e.AlsoIn, partition) {
			e.AlsoIn = append(e.AlsoIn, partition)
		}
		return fmt.Errorf("job %q lies in partition %d, its record in partition %d is not used", id, e.Partition, partition)
	}
	if r.IsTombstone() {
		t.remove(kind, id, rest)
		return nil
	}
	if kind == kindPartial {
		var output BlobRef
		if err := json.Unmarshal(r.Value, &output); err != nil {
			return eris.Wrapf(err, "decode location of the partial output of item %q", rest)
		}
		t.partials[rest] = output
		return nil
	}
	if e == nil || e.Partition != partition && kind == kindChunk {
		ended := e != nil && e.Ended
		if e != nil {
			t.held -= e.held
		}
		e = t.entries.Put(id, Entry{
			Partition: partition, Ended: ended, Committed: make(map[string]int), chunks: make(map[int][]byte),
			outOfOrder: make(map[int]Result), changed: make(chan struct{}),
		})
	}
	defer t.updateHeld(e)
	switch kind {
	case kindChunk:
		return e.addChunk(rest, r.Value, now)
	case kindResult:
		return t.addResult(e, rest, r.Value)
	case kindEnd:
		e.Ended = true
		e.notify()
	}
	return nil
}

// excludes reports whether a record of a partition other than the entry's must not be
// applied. Hosts with different configurations may submit a job to two partitions, each
// with a runner of its own. The end holds for both.
func (e *Entry) excludes(kind string, r logstore.Record) bool {
	switch {
	case kind == kindPartial, kind == kindEnd && !r.IsTombstone():
		return false
	case kind == kindChunk && !r.IsTombstone():
		return e.Job != nil // chunks of a submission that was not completed give way
	}
	return true
}

// remove applies a tombstone. The tombstone of a chunk hides the job; that of the
// end record, the last of a removed job, deletes it with its results.
func (t *Table) remove(kind, id, rest string) {
	e := t.entries.Get(id)
	switch kind {
	case kindPartial:
		delete(t.partials, rest)
	case kindChunk:
		if e != nil {
			e.Removed = true
		}
	case kindEnd:
		if e != nil && e.Removed {
			for _, r := range e.Results {
				t.removeFinished(itemKey{e.Partition, r.Item}, r)
			}
			t.held -= e.held
			t.entries.Delete(id)
		}
	}
}

// removeFinished removes the result of an item in a removed job. The item can be reused
// as long as another job has a successful result of it.
func (t *Table) removeFinished(key itemKey, r Result) {
	item, ok := t.finished[key]
	if r.Failed || !ok {
		return
	}
	if item.jobs--; item.jobs == 0 {
		delete(t.finished, key)
		return
	}
	kept := *item.result // the results of the removed job must not stay with it
	item.result = &kept
	t.finished[key] = item
}

// addChunk stores a chunk, and decodes the job once all chunks have been read.
func (e *Entry) addChunk(index string, value []byte, now time.Time) error {
	if e.Job != nil {
		return nil
	}
	i, err := strconv.Atoi(index)
	if err != nil || len(value) < 4 {
		return fmt.Errorf("job chunk %q has an invalid index or no chunk count", index)
	}
	total := int(binary.BigEndian.Uint32(value))
	if i < 0 || i >= total {
		return fmt.Errorf("job chunk %d is not among %d chunks", i, total)
	}
	e.totalChunks = total
	e.chunks[i] = value[4:]
	if len(e.chunks) < e.totalChunks {
		return nil
	}
	var data []byte
	for i := range e.totalChunks {
		data = append(data, e.chunks[i]...)
	}
	job := &Job{}
	if err := json.Unmarshal(data, job); err != nil {
		return eris.Wrap(err, "decode job")
	}
	e.Job, e.ReadAt, e.chunks, e.footprint = job, now, nil, job.Footprint()
	return nil
}

// addResult commits the result at a position once the results at all lower
// positions have been read.
func (t *Table) addResult(e *Entry, position string, value []byte) error {
	n, err := strconv.Atoi(position)
	if err != nil || n < 0 {
		return fmt.Errorf("result position %q is not a non-negative number", position)
	}
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return eris.Wrap(err, "decode result of a job item")
	}
	if n < len(e.Results) {
		return nil
	}
	e.outOfOrder[n] = r
	for {
		next, ok := e.outOfOrder[len(e.Results)]
		if !ok {
			return nil
		}
		delete(e.outOfOrder, len(e.Results))
		e.Committed[next.Item] = len(e.Results)
		if e.Results == nil && e.Job != nil {
			e.Results = make([]Result, 0, len(e.Job.Items))
		}
		e.Results = append(e.Results, next)
		delete(t.partials, next.Item)
		if !next.Failed {
			key := itemKey{e.Partition, next.Item}
			t.finished[key] = finishedItem{result: &e.Results[len(e.Results)-1], jobs: t.finished[key].jobs + 1}
		}
		e.notify()
	}
}

// notify closes the channel returned by Changed and replaces it.
func (e *Entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// VersionsAllowed reports whether an output generated under versions satisfies a
// job: no version is older than minVersion and, if single is set, all are equal.
func VersionsAllowed(versions []int64, minVersion int64, single bool) bool {
	for _, v := range versions {
		if v < minVersion || (single && v != versions[0]) {
			return false
		}
	}
	return true
}

// DistinctVersions returns versions in ascending order without duplicates.
func DistinctVersions(versions []int64) []int64 {
	distinct := slices.Clone(versions)
	slices.Sort(distinct)
	return slices.Compact(distinct)
}
