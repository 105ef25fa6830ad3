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

// Kinds of records: the first part of a key.
const (
	kindChunk   = "j"
	kindResult  = "p"
	kindEnd     = "e"
	kindPartial = "c"
)

// recordOverhead is room for the key and its framing in a record.
const recordOverhead = 512

// EncodeJob returns the records of a job, each within maxRecord bytes.
func EncodeJob(job *Job, maxRecord int) ([]logstore.Record, error) {
	data, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(err, "encode a job")
	}
	size := maxRecord - recordOverhead
	if size <= 0 {
		return nil, fmt.Errorf("records of %d bytes are too small for jobs", maxRecord)
	}
	total := (len(data) + size - 1) / size
	records := make([]logstore.Record, 0, total)
	for i := range total {
		chunk := binary.BigEndian.AppendUint32(nil, uint32(total))
		chunk = append(chunk, data[i*size:min((i+1)*size, len(data))]...)
		records = append(records, logstore.Record{Key: key(kindChunk, job.ID, strconv.Itoa(i)), Value: chunk})
	}
	return records, nil
}

// EncodeResult returns the record of the result at a position.
func EncodeResult(job string, position int, r Result) (logstore.Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode a result")
	}
	return logstore.Record{Key: key(kindResult, job, strconv.Itoa(position)), Value: data}, nil
}

// EncodeEnd returns the record that ends a job.
func EncodeEnd(job string) logstore.Record {
	return logstore.Record{Key: key(kindEnd, job, ""), Value: []byte("{}")}
}

// EncodePartial returns the record that refers to an unfinished run's text.
func EncodePartial(job, item string, text BlobRef) (logstore.Record, error) {
	data, err := json.Marshal(text)
	if err != nil {
		return logstore.Record{}, eris.Wrap(err, "encode a reference")
	}
	return logstore.Record{Key: key(kindPartial, job, item), Value: data}, nil
}

// BlobTombstones returns the records that remove the blobs of a job.
func BlobTombstones(e *Entry) []logstore.Record {
	refs := []BlobRef{e.Job.Payloads}
	for _, r := range e.Results {
		refs = append(refs, r.Output)
	}
	var records []logstore.Record
	for _, ref := range refs {
		for i := range ref.Records {
			records = append(records, logstore.Record{Key: ref.ChunkKey(i)})
		}
	}
	return records
}

// ChunkKey returns the key of one record of a blob.
func (r BlobRef) ChunkKey(i int) string { return fmt.Sprintf("%s/%04d", r.Key, i) }

// Tombstones returns the records that remove all keys of a job.
func Tombstones(e *Entry) []logstore.Record {
	var records []logstore.Record
	add := func(k string) { records = append(records, logstore.Record{Key: k}) }
	for i := range e.total {
		add(key(kindChunk, e.Job.ID, strconv.Itoa(i)))
	}
	for i := range e.Results {
		add(key(kindResult, e.Job.ID, strconv.Itoa(i)))
	}
	for i := range e.Job.Items {
		add(key(kindPartial, e.Job.ID, e.Job.Items[i].ID))
	}
	add(key(kindEnd, e.Job.ID, ""))
	return records
}

func key(kind, job, rest string) string { return kind + "/" + url.PathEscape(job) + "/" + rest }

// IsJobKey says whether a record's key is one of a job.
func IsJobKey(k string) bool {
	return len(k) > 2 && k[1] == '/' && strings.Contains(kindChunk+kindResult+kindEnd+kindPartial, k[:1])
}

// Apply takes one record of a partition. Records may come again and, from a
// listing, in any order.
func (t *Table) Apply(partition int, r logstore.Record, now time.Time) error {
	parts := strings.SplitN(r.Key, "/", 3)
	if len(parts) != 3 || !IsJobKey(r.Key) {
		return fmt.Errorf("key %q is not one of a job", r.Key)
	}
	kind, rest := parts[0], parts[2]
	id, err := url.PathUnescape(parts[1])
	if err != nil {
		return fmt.Errorf("key %q has no readable job ID: %w", r.Key, err)
	}
	if r.IsTombstone() {
		t.remove(kind, id, rest)
		return nil
	}
	e := t.entries.Get(id)
	if e == nil {
		e = t.entries.Put(id, Entry{
			Partition: partition, Committed: make(map[string]int), chunks: make(map[int][]byte),
			ahead: make(map[int]Result), changed: make(chan struct{}),
		})
	}
	switch kind {
	case kindChunk:
		return e.addChunk(rest, r.Value, now)
	case kindResult:
		return t.addResult(e, rest, r.Value)
	case kindEnd:
		e.Ended = true
		e.notify()
	case kindPartial:
		var text BlobRef
		if err := json.Unmarshal(r.Value, &text); err != nil {
			return eris.Wrapf(err, "decode the text of item %q", rest)
		}
		t.partials[rest] = text
	}
	return nil
}

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
		// The last record of a removed job.
		if e != nil && e.Removed {
			for _, r := range e.Results {
				delete(t.texts, r.Item)
			}
			t.entries.Delete(id)
		}
	}
}

func (e *Entry) addChunk(index string, value []byte, now time.Time) error {
	if e.Job != nil {
		return nil
	}
	i, err := strconv.Atoi(index)
	if err != nil || len(value) < 4 {
		return fmt.Errorf("chunk %q of a job cannot be read", index)
	}
	e.total = int(binary.BigEndian.Uint32(value))
	e.chunks[i] = value[4:]
	if len(e.chunks) < e.total {
		return nil
	}
	var data []byte
	for i := range e.total {
		data = append(data, e.chunks[i]...)
	}
	e.chunks = nil
	job := &Job{}
	if err := json.Unmarshal(data, job); err != nil {
		return eris.Wrap(err, "decode a job")
	}
	e.Job, e.ReadAt = job, now
	return nil
}

func (t *Table) addResult(e *Entry, position string, value []byte) error {
	n, err := strconv.Atoi(position)
	if err != nil || n < 0 {
		return fmt.Errorf("position %q of a result is not a number", position)
	}
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return eris.Wrap(err, "decode a result")
	}
	if n < len(e.Results) {
		return nil
	}
	e.ahead[n] = r
	for {
		next, ok := e.ahead[len(e.Results)]
		if !ok {
			return nil
		}
		delete(e.ahead, len(e.Results))
		e.Committed[next.Item] = len(e.Results)
		e.Results = append(e.Results, next)
		delete(t.partials, next.Item)
		if !next.Failed {
			t.texts[next.Item] = next
		}
		e.notify()
	}
}

func (e *Entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// VersionsAllowed says whether a text made under versions may be used where only versions
// from least on are allowed, and only one of them if single is set.
func VersionsAllowed(versions []int64, least int64, single bool) bool {
	for _, v := range versions {
		if v < least || (single && v != versions[0]) {
			return false
		}
	}
	return true
}

// DistinctVersions returns versions in order without repeats.
func DistinctVersions(versions []int64) []int64 {
	distinct := slices.Clone(versions)
	slices.Sort(distinct)
	return slices.Compact(distinct)
}
