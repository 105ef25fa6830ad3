package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// sendFor is how long after the end of its window a report is sent, if the API does
	// not answer.
	sendFor = 10 * time.Minute
	// minBackoff and maxBackoff bound the pause after a call that was not answered. It is
	// short compared to the time until a report is due.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Outgoing holds the stored reports that are being sent.
type Outgoing struct {
	windows   Windows
	reports   map[int64]*outgoing
	notBefore time.Time
	backoff   time.Duration
}

type outgoing struct {
	report   Report
	answered bool
}

// NewOutgoing returns the reports that former holders have stored.
func NewOutgoing(w Windows, stored []Report) *Outgoing {
	o := &Outgoing{windows: w, reports: make(map[int64]*outgoing)}
	for _, r := range stored {
		o.Add(r)
	}
	return o
}

// Add adds a report that was stored.
func (o *Outgoing) Add(r Report) { o.reports[r.Window] = &outgoing{report: r} }

// Next returns the report to be sent next: the oldest that is not past its deadline, or else
// the oldest.
func (o *Outgoing) Next(now time.Time) (Report, bool) {
	if now.Before(o.notBefore) {
		return Report{}, false
	}
	var late *outgoing
	for _, n := range o.sorted() {
		r := o.reports[n]
		switch {
		case r.answered || o.expired(n, now):
			continue
		case now.Before(o.windows.Deadline(n)):
			return r.report, true
		case late == nil:
			late = r
		}
	}
	if late == nil {
		return Report{}, false
	}
	return late.report, true
}

func (o *Outgoing) sorted() []int64 { return slices.Sorted(maps.Keys(o.reports)) }

func (o *Outgoing) expired(window int64, now time.Time) bool {
	return now.Sub(o.windows.End(window)) > sendFor
}

// Sent records whether a report was answered, and delays the next call otherwise.
func (o *Outgoing) Sent(window int64, answered bool, now time.Time) {
	if !answered {
		o.backoff = min(max(2*o.backoff, minBackoff), maxBackoff)
		o.notBefore = now.Add(o.backoff)
		return
	}
	o.backoff = 0
	if r := o.reports[window]; r != nil {
		r.answered = true
	}
}

// Done returns the windows whose reports need not be stored any more, and how many of them
// were never answered. The newest report stays: it says which windows are closed.
func (o *Outgoing) Done(now time.Time) (windows []int64, unanswered int) {
	sorted := o.sorted()
	for i, n := range sorted {
		r := o.reports[n]
		if i == len(sorted)-1 || !r.answered && !o.expired(n, now) {
			continue
		}
		windows = append(windows, n)
		if !r.answered {
			unanswered++
		}
	}
	return windows, unanswered
}

// Remove removes a report.
func (o *Outgoing) Remove(window int64) { delete(o.reports, window) }

// Encode returns a report as parts of at most limit bytes. The same report always has the
// same parts.
func (r Report) Encode(limit int) ([][]byte, error) {
	data, err := json.Marshal(r) // sorts the workspaces
	if err != nil {
		return nil, fmt.Errorf("encode the report of window %d: %w", r.Window, err)
	}
	return slices.Collect(slices.Chunk(data, limit)), nil
}

// DecodeReport returns the report with some parts.
func DecodeReport(parts [][]byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(slices.Concat(parts...), &r); err != nil {
		return Report{}, fmt.Errorf("decode a usage report: %w", err)
	}
	return r, nil
}
