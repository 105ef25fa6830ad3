package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Guards against jobs whose memory is not counted, or not returned when they end, have all
// results or are removed.
func TestMemoryOfJobsIsCounted(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable()
	apply := func(records ...logstore.Record) {
		for _, r := range records {
			must.NoError(t, table.Apply(1, r, now))
		}
	}
	submit := func(id string) *Entry {
		job := &Job{ID: id, Items: []Item{{ID: id + "-0"}, {ID: id + "-1"}}, Payloads: BlobRef{Bytes: 5000}}
		records, err := EncodeJob(job, recordOverhead+100)
		must.NoError(t, err)
		apply(records[1:]...)
		must.Positive(t, table.Held())
		apply(records[0])
		return table.Get(id)
	}
	first := submit("a")
	footprint := first.Job.Footprint()
	must.EqOp(t, footprint.Bytes(), table.Held())
	must.Greater(t, 5000, footprint.Open)
	second := submit("b")
	must.EqOp(t, 2*footprint.Bytes(), table.Held())
	for i := range second.Job.Items {
		record, err := EncodeResult("b", i, Result{Item: second.Job.Items[i].ID})
		must.NoError(t, err)
		apply(record)
	}
	must.EqOp(t, footprint.Bytes()+footprint.Lasting, table.Held())
	apply(EncodeEnd("a"), EncodeEnd("a"))
	must.EqOp(t, 2*footprint.Lasting, table.Held())
	apply(Tombstones(first)...)
	apply(Tombstones(second)...)
	must.EqOp(t, 0, table.Held())
}

// Guards against the result of another job that is read where a removed one was.
func TestReusedResultOutlivesItsJob(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable()
	for n, id := range []string{"a", "b"} {
		job := &Job{ID: id, Items: []Item{{ID: "shared"}}}
		records, err := EncodeJob(job, 1<<20)
		must.NoError(t, err)
		record, err := EncodeResult(id, 0, Result{Item: "shared", RunMs: int64(n)})
		must.NoError(t, err)
		for _, r := range append(records, record) {
			must.NoError(t, table.Apply(1, r, now))
		}
	}
	for _, r := range Tombstones(table.Get("b")) {
		must.NoError(t, table.Apply(1, r, now))
	}
	result, ok := table.Finished(1, "shared")
	must.True(t, ok)
	must.EqOp(t, 1, result.RunMs)
	for _, r := range Tombstones(table.Get("a")) {
		must.NoError(t, table.Apply(1, r, now))
	}
	_, ok = table.Finished(1, "shared")
	must.False(t, ok)
}

// Guards against the payload of another item.
func TestOnePayloadIsDecoded(t *testing.T) {
	payloads := make([]Payload, 5)
	for i := range payloads {
		payloads[i] = Payload{Path: fmt.Sprintf("/%d", i), Body: []byte(strings.Repeat("x", i))}
	}
	data, err := json.Marshal(payloads)
	must.NoError(t, err)
	for i, want := range payloads {
		got, err := DecodePayload(data, i)
		must.NoError(t, err)
		must.Eq(t, want.Path, got.Path)
		must.EqOp(t, string(want.Body), string(got.Body))
	}
	_, err = DecodePayload(data, len(payloads))
	must.Error(t, err)
	_, err = DecodePayload(data[:len(data)/2], len(payloads)-1)
	must.Error(t, err)
}
