// Package jobs implements batch jobs as a state machine over the records of the
// log: which jobs were accepted, which result is committed to which position, and
// which jobs ended. Hosts that have read the same records hold the same state.
// The package has no I/O and no clock, and a Table is not safe for concurrent use.
package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// BlobRef is the location of a blob. Large data that only some hosts need is
// stored as blobs in a separate topic, and the records that all hosts follow
// refer to it.
type BlobRef struct {
	Key     string `json:"key"`
	Offset  int64  `json:"offset"` // or UnknownOffset
	Records int    `json:"records"`
	Bytes   int    `json:"bytes"`
	// Sum is the checksum of the blob, or 0 if it is unknown.
	Sum uint64 `json:"sum,omitempty"`
}

// Sum returns the checksum of a blob.
func Sum(data []byte) uint64 { return xxhash.Sum64(data) }

// Matches reports whether data is the blob that the reference was made for.
func (r BlobRef) Matches(data []byte) bool {
	return len(data) == r.Bytes && (r.Sum == 0 || Sum(data) == r.Sum)
}

// UnknownOffset is the offset of a blob that can be read by its key only.
const UnknownOffset = -1

// Payload is the request that is sent to a replica for an item.
type Payload struct {
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// Score is the reward call of the item, or nil if its output is not scored.
	Score *ScoreRequest `json:"score,omitempty"`
}

// ScoreRequest is a reward call: a request to the service that scores the output of
// an item. It is sent once the output is complete and may be repeated.
type ScoreRequest struct {
	ID       string `json:"id"`
	HostName string `json:"host"`
	Path     string `json:"path"`
	Body     []byte `json:"body,omitempty"`
}

// Key identifies the content of the reward call. A score belongs to another call if
// the keys differ, even if the request IDs are equal.
func (r *ScoreRequest) Key() string {
	digest := xxhash.New()
	for _, part := range []string{r.ID, r.HostName, r.Path, string(r.Body)} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part) // a digest never returns an error
	}
	return fmt.Sprintf("%s-%016x", r.ID, digest.Sum64())
}

// Item is one request of a job.
type Item struct {
	ID    string `json:"id"` // qualified by the job's workspace
	Group string `json:"group,omitempty"`
	// PromptTokens is the number of prompt tokens, MaxOutput the limit on generated
	// tokens and ExpectedOutput an estimate of them. Zero means unknown.
	PromptTokens   int `json:"prompt,omitempty"`
	MaxOutput      int `json:"max_output,omitempty"`
	ExpectedOutput int `json:"expected,omitempty"`
	// ScoreKey is the key of the item's reward call, or empty if its output is not
	// scored.
	ScoreKey string `json:"score_key,omitempty"`
}

// Job is a batch of items that were submitted together.
type Job struct {
	ID string `json:"id"` // qualified by the workspace
	// Workspace is the name of the workspace that submitted the job, or empty.
	Workspace string `json:"workspace,omitempty"`
	// Host and Path are the host name and the URL path of the submission.
	Host         string `json:"host"`
	Path         string `json:"path"`
	Model        string `json:"model"`
	Step         int64  `json:"step"`
	WantedGroups int    `json:"wanted"` // number of groups that the trainer waits for
	// MinVersion is the oldest weight version allowed to generate the outputs.
	MinVersion int64  `json:"min_version"`
	Items      []Item `json:"items"`
	// Payloads is the location of the items' payloads, in the order of Items.
	Payloads BlobRef `json:"payloads"`
	// Terms is the last field, so that submissions of a job under different
	// configurations differ only in the last chunks.
	Terms Terms `json:"terms,omitzero"`
}

// Result is the outcome of one item.
type Result struct {
	Item     string  `json:"item"`
	Failed   bool    `json:"failed,omitempty"`
	Output   BlobRef `json:"text"` // zero if the item failed
	Versions []int64 `json:"versions,omitempty"`
	// RunMs is the time that the runs of the item took under the last owner of the
	// partition, in milliseconds, or 0 if the output was reused. The number of servers is
	// planned with it.
	RunMs int64 `json:"run_ms,omitempty"`
	// Score is the signature of the response to the reward call ScoreKey. Both are
	// empty if the item failed or its output is not scored.
	Score    string `json:"score,omitempty"`
	ScoreKey string `json:"score_key,omitempty"`
}

// Partial is the output of an item without a result. It is stored as a blob.
type Partial struct {
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"` // weight version of each event
	LastID   int64    `json:"last_id"`  // ID of the last event
	// Complete is set if the run has ended and only the score is missing.
	Complete bool `json:"complete,omitempty"`
	// ScoreFailures is the number of failures that servers reported for the reward
	// call of the item in the job ScoreJob.
	ScoreFailures int    `json:"score_failures,omitempty"`
	ScoreJob      string `json:"score_job,omitempty"`
}

// Entry is the state of one job according to the log.
type Entry struct {
	Partition int
	// AlsoIn holds the other partitions to which the job was submitted. Its end may lie in
	// any of them.
	AlsoIn  []int
	Job     *Job // nil until all chunks have been read
	Results []Result
	Ended   bool // the end record was read
	Removed bool // the tombstone of a chunk was read
	// ReadAt is the time at which this host had read all chunks of the job.
	ReadAt time.Time
	// Committed maps item IDs to the positions of their results.
	Committed map[string]int

	chunks      map[int][]byte
	totalChunks int
	outOfOrder  map[int]Result // results by position, while a lower position is missing
	changed     chan struct{}  // closed when a result is committed or the job ends
	footprint   Footprint
	held        int64 // see Table.Held
}

// Changed returns a channel that is closed when the next result is committed or
// the job ends.
func (e *Entry) Changed() <-chan struct{} { return e.changed }

// Index returns the index of an item in the job, or -1.
func (e *Entry) Index(id string) int {
	return slices.IndexFunc(e.Job.Items, func(item Item) bool { return item.ID == id })
}

// Page returns the results from position after on, up to maxBytes of output. It
// returns at least one result if there is one.
func (e *Entry) Page(after, maxBytes int) []Result {
	if after < 0 || after >= len(e.Results) {
		return nil
	}
	end, size := after, 0
	for end < len(e.Results) && (end == after || size+e.Results[end].Output.Bytes <= maxBytes) {
		size += e.Results[end].Output.Bytes
		end++
	}
	return e.Results[after:end]
}

// Table holds the state of all jobs.
type Table struct {
	entries *table.Table[string, Entry]
	// finished holds the newest successful result of each item, for reuse when a later job
	// of the same partition contains the item.
	finished map[itemKey]finishedItem
	// partials holds the locations of partial outputs by item ID.
	partials map[string]BlobRef
	held     int64
}

// itemKey identifies an item among the jobs of a partition. Outputs are stored by
// partition, so a result cannot refer to that of a job in another one.
type itemKey struct {
	partition int
	item      string
}

// finishedItem is an item with a successful result.
type finishedItem struct {
	result *Result
	jobs   int // number of jobs with a successful result of the item
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		entries: table.New[string, Entry](), finished: make(map[itemKey]finishedItem), partials: make(map[string]BlobRef),
	}
}

// Get returns the entry of an accepted job, or nil. A job is accepted once all
// its chunks have been read, until it is removed.
func (t *Table) Get(id string) *Entry {
	e := t.entries.Get(id)
	if e == nil || e.Job == nil || e.Removed {
		return nil
	}
	return e
}

// Unreadable reports whether records of a job were read, but not all chunks of it that
// can be decoded. Such a job may have been accepted.
func (t *Table) Unreadable(id string) bool {
	e := t.entries.Get(id)
	return e != nil && e.Job == nil && !e.Removed
}

// Each calls f for every accepted job until f returns false.
func (t *Table) Each(f func(*Entry) bool) {
	t.entries.Each(func(_ string, e *Entry) bool {
		if e.Job == nil || e.Removed {
			return true
		}
		return f(e)
	})
}

// Finished returns the successful result of an item from any job of a partition.
func (t *Table) Finished(partition int, item string) (Result, bool) {
	f, ok := t.finished[itemKey{partition, item}]
	if !ok {
		return Result{}, false
	}
	return *f.result, true
}

// Partial returns the location of the partial output of an item.
func (t *Table) Partial(item string) (BlobRef, bool) {
	p, ok := t.partials[item]
	return p, ok
}

// EndOfBlobs returns the offset after the newest known blob of a partition, or 0 if none is
// known.
func (t *Table) EndOfBlobs(partition int) int64 {
	end := int64(0)
	observe := func(ref BlobRef) {
		if ref.Offset != UnknownOffset && ref.Records > 0 {
			end = max(end, ref.Offset+int64(ref.Records))
		}
	}
	t.Each(func(e *Entry) bool {
		if e.Partition != partition {
			return true
		}
		observe(e.Job.Payloads)
		for _, r := range e.Results {
			observe(r.Output)
		}
		for _, item := range e.Job.Items {
			observe(t.partials[item.ID])
		}
		return true
	})
	return end
}
