// Package jobs keeps batch jobs as a state machine over the records of the
// log: what was accepted, which result stands at which position, what ended.
// Every host that has read the same records holds the same tables. The package
// has no I/O and no clock, and a Table is not safe for concurrent use.
package jobs

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// BlobRef says where a blob lies: large data that only some hosts need is kept in
// another topic, and the records that all hosts follow refer to it.
type BlobRef struct {
	Key     string `json:"key"`
	Offset  int64  `json:"offset"`
	Records int    `json:"records"`
	Bytes   int    `json:"bytes"`
}

// Payload is what a replica is sent for an item.
type Payload struct {
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
}

// Item is one request of a job.
type Item struct {
	ID    string `json:"id"`
	Group string `json:"group,omitempty"`
	// PromptTokens is the number of prompt tokens; MaxOutput bounds the generated
	// ones, Expected estimates them. Zero means unknown.
	PromptTokens   int `json:"prompt,omitempty"`
	MaxOutput      int `json:"max_output,omitempty"`
	ExpectedOutput int `json:"expected,omitempty"`
}

// Job is many items that were submitted at once.
type Job struct {
	ID           string `json:"id"`
	Host         string `json:"host"` // host name and path of the submission
	Path         string `json:"path"`
	Model        string `json:"model"`
	Step         int64  `json:"step"`
	WantedGroups int    `json:"wanted"` // groups that the trainer waits for
	// MinVersion is the oldest weight version that may generate its tokens.
	MinVersion int64  `json:"min_version"`
	Items      []Item `json:"items"`
	// Payloads refers to the items' payloads, in the order of Items.
	Payloads BlobRef `json:"payloads"`
}

// Result is the outcome of one item.
type Result struct {
	Item     string  `json:"item"`
	Failed   bool    `json:"failed,omitempty"`
	Output   BlobRef `json:"text"` // unless it failed
	Versions []int64 `json:"versions,omitempty"`
}

// Partial is the text of an unfinished run. It is kept as a blob.
type Partial struct {
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"` // one for each event
	LastID   int64    `json:"last_id"`  // ID of the last event
}

// Entry is one job as the log has it.
type Entry struct {
	Partition int
	Job       *Job // nil until all chunks were read
	Results   []Result
	Ended     bool
	Removed   bool
	// ReadAt is when this host first read the whole job.
	ReadAt time.Time
	// Committed maps items to the position of their result.
	Committed map[string]int

	chunks  map[int][]byte
	total   int
	ahead   map[int]Result // results whose lower positions are missing
	changed chan struct{}  // closed when a result is listed or the job ends
}

// Changed returns a channel that is closed at the next result or at the end.
func (e *Entry) Changed() <-chan struct{} { return e.changed }

// Index returns the place of an item in the job, or -1.
func (e *Entry) Index(id string) int {
	return slices.IndexFunc(e.Job.Items, func(item Item) bool { return item.ID == id })
}

// Page returns results from a position on, at least one if there is one, and
// not much more than maxBytes of text.
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

// Table holds all jobs.
type Table struct {
	entries *table.Table[string, Entry]
	// texts holds finished results by item ID: an item that comes again in a
	// later job may use them.
	texts map[string]Result
	// partials refers to the stored text of unfinished runs by item ID.
	partials map[string]BlobRef
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: table.New[string, Entry](), texts: make(map[string]Result), partials: make(map[string]BlobRef),
	}
}

// Get returns the entry of a job that was accepted as a whole, or nil.
func (t *Table) Get(id string) *Entry {
	e := t.entries.Get(id)
	if e == nil || e.Job == nil || e.Removed {
		return nil
	}
	return e
}

// Each calls f for every accepted job.
func (t *Table) Each(f func(*Entry) bool) {
	t.entries.Each(func(_ string, e *Entry) bool {
		if e.Job == nil || e.Removed {
			return true
		}
		return f(e)
	})
}

// Finished returns an earlier finished result of an item.
func (t *Table) Finished(item string) (Result, bool) {
	r, ok := t.texts[item]
	return r, ok
}

// Partial refers to the stored text of an unfinished run of an item.
func (t *Table) Partial(item string) (BlobRef, bool) {
	p, ok := t.partials[item]
	return p, ok
}
