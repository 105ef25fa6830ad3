package jobs

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

func chunkRecord(key string, total uint32, data string) logstore.Record {
	return logstore.Record{Key: key, Value: append(binary.BigEndian.AppendUint32(nil, total), data...)}
}

// Guards against a host that fails on job chunks that cannot be decoded, are repeated
// or have an index outside of the job. A later valid chunk makes the job readable.
func TestInvalidJobChunksAreReportedAndReplaced(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	for range 2 {
		must.Error(t, table.Apply(1, chunkRecord("j/x/0", 1, "not JSON"), now))
		must.Nil(t, table.Get("x"))
	}
	must.Error(t, table.Apply(1, chunkRecord("j/x/1", 1, "{}"), now))
	must.Error(t, table.Apply(1, chunkRecord("j/x/-1", 1, "{}"), now))
	must.Error(t, table.Apply(1, chunkRecord("j/x/0", 0, ""), now))
	must.NoError(t, table.Apply(1, chunkRecord("j/x/0", 1, `{"id":"x"}`), now))
	must.NotNil(t, table.Get("x"))
	must.NoError(t, table.Apply(1, chunkRecord("j/x/0", 1, `{"id":"x"}`), now))
}

// Guards against an accepted job that never becomes readable because its newest chunks
// come from two submissions, whose payloads lie at different offsets.
func TestChunksOfTwoSubmissionsFitTogether(t *testing.T) {
	encode := func(offset int64, maxRecord int) []logstore.Record {
		job := &Job{ID: "x", Model: "m", Payloads: BlobRef{Key: "b/x", Offset: offset, Records: 1, Bytes: 10}}
		for i := range 50 {
			job.Items = append(job.Items, Item{ID: fmt.Sprintf("item-%d", i), Group: "g"})
		}
		records, err := EncodeJob(job, maxRecord)
		must.NoError(t, err)
		return records
	}
	length := len(encode(9, 1<<20)[0].Value)
	for size := length/2 - 40; size < length/2+10; size++ {
		first, second := encode(9, recordOverhead+size), encode(12345, recordOverhead+size)
		for split := range max(len(first), len(second)) {
			table := NewTable()
			newest := append(slices.Clone(first[:min(split, len(first))]), second[min(split, len(second)):]...)
			for _, r := range newest {
				must.NoError(t, table.Apply(1, r, time.Unix(1000, 0)))
			}
			e := table.Get("x")
			must.NotNil(t, e, must.Sprintf("chunks of %d bytes, the first %d of one submission", size, split))
			must.SliceLen(t, 50, e.Job.Items)
		}
	}
}

// Guards against "no such job" for a job whose records were read and cannot be decoded.
func TestJobWithoutReadableChunksIsKnown(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	must.False(t, table.Unreadable("x"))
	must.Error(t, table.Apply(1, chunkRecord("j/x/0", 1, "not JSON"), now))
	must.True(t, table.Unreadable("x"))
	must.NoError(t, table.Apply(1, logstore.Record{Key: "e/y/", Value: []byte("{}")}, now))
	must.True(t, table.Unreadable("y"))
	must.NoError(t, table.Apply(1, logstore.Record{Key: "c/z/item", Value: []byte("{}")}, now))
	must.False(t, table.Unreadable("z"))
	must.NoError(t, table.Apply(1, chunkRecord("j/x/0", 1, `{"id":"x"}`), now))
	must.False(t, table.Unreadable("x"))
	must.NoError(t, table.Apply(1, logstore.Record{Key: "j/x/0"}, now))
	must.False(t, table.Unreadable("x"))
}

// Guards against a result without its output, because the job that generated the output
// was removed before the job that reused it.
func TestRemovalRetainsOutputsThatAnotherJobReuses(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	output := BlobRef{Key: "t/a/item/1", Records: 1, Bytes: 4}
	apply := func(records ...logstore.Record) {
		for _, r := range records {
			must.NoError(t, table.Apply(1, r, now))
		}
	}
	for _, id := range []string{"a", "b"} {
		job, err := EncodeJob(&Job{ID: id, Items: []Item{{ID: "item"}}, Payloads: BlobRef{Key: "b/" + id, Records: 1}}, 1<<20)
		must.NoError(t, err)
		result, err := EncodeResult(id, 0, Result{Item: "item", Output: output})
		must.NoError(t, err)
		apply(append(job, result)...)
	}
	a, b := table.Get("a"), table.Get("b")
	keys := func(records []logstore.Record) (keys []string) {
		for _, r := range records {
			keys = append(keys, r.Key)
		}
		return keys
	}
	apply(Tombstones(a)...)
	must.Eq(t, []string{"b/a/0000"}, keys(table.BlobTombstones(a)))
	_, found := table.Finished(1, "item")
	must.True(t, found)
	apply(Tombstones(b)...)
	must.Eq(t, []string{"b/b/0000", "t/a/item/1/0000"}, keys(table.BlobTombstones(b)))
	_, found = table.Finished(1, "item")
	must.False(t, found)
}

// Guards against positions that hold results of two runners, because a job was accepted
// into two partitions by hosts with different configurations.
func TestResultsOfAnotherPartitionAreIgnored(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	job, err := EncodeJob(&Job{ID: "x", Items: []Item{{ID: "a"}, {ID: "b"}}}, 1<<20)
	must.NoError(t, err)
	result := func(position int, item string) logstore.Record {
		r, err := EncodeResult("x", position, Result{Item: item})
		must.NoError(t, err)
		return r
	}
	must.NoError(t, table.Apply(2, chunkRecord("j/x/0", 2, "of a submission that was not completed"), now))
	must.NoError(t, table.Apply(1, job[0], now))
	must.Error(t, table.Apply(2, job[0], now))
	must.NoError(t, table.Apply(1, result(0, "a"), now))
	must.Error(t, table.Apply(2, result(1, "a"), now))
	must.NoError(t, table.Apply(1, result(1, "b"), now))
	must.Error(t, table.Apply(2, logstore.Record{Key: "j/x/0"}, now))
	must.NoError(t, table.Apply(2, EncodeEnd("x"), now))
	e := table.Get("x")
	must.NotNil(t, e)
	must.True(t, e.Ended)
	must.EqOp(t, 1, e.Partition)
	must.Eq(t, []Result{{Item: "a"}, {Item: "b"}}, e.Results)
}

// Guards against a host that fails on records from outside.
func FuzzApply(f *testing.F) {
	f.Add("j/x/0", []byte("\x00\x00\x00\x01{}"), "j/x/0", []byte("\x00\x00\x00\x02{}"))
	f.Add("p/x/0", []byte(`{"item":"a"}`), "e/x/", []byte(nil))
	f.Add("c/x/a", []byte(`{}`), "j/x/9", []byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, key1 string, value1 []byte, key2 string, value2 []byte) {
		table := NewTable()
		for range 2 {
			for _, r := range []logstore.Record{{Key: key1, Value: value1}, {Key: key2, Value: value2}} {
				if err := table.Apply(1, r, time.Unix(0, 0)); err != nil {
					continue // an invalid record is reported and skipped
				}
			}
		}
		table.Each(func(e *Entry) bool {
			e.Page(0, 1)
			_ = Tombstones(e)
			_ = table.BlobTombstones(e)
			return true
		})
	})
}
