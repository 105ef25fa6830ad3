package lease

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// ApplyResult is the result of applying a record.
type ApplyResult int

// Results of applying a record.
const (
	// Accepted means that the record is now the current view of its data
	// centre.
	Accepted ApplyResult = iota + 1
	// Stale means that the record was not accepted because its base is not the
	// current view. Usually another record with the same base came first.
	Stale
	// Invalid means that the record could not be decoded; it is skipped.
	Invalid
)

// maxCandidates bounds the candidates stored per data centre while its view is
// provisional.
const maxCandidates = 256

// viewHistory is the sequence of views of one data centre.
type viewHistory struct {
	views       []View // accepted, newest last
	provisional bool
	candidates  map[int64]View // by epoch; records that a later record may confirm as accepted
}

// ViewTable holds the views of all data centres. It is not safe for concurrent
// use.
type ViewTable struct {
	histories *table.Table[string, viewHistory]
	// completeSince is the offset from which on every record was read, or
	// NoEpoch if the stream was read from its first record.
	completeSince int64
}

// NewViewTable returns an empty table for a reader that starts at the first
// record of the stream.
func NewViewTable() *ViewTable {
	return &ViewTable{histories: table.New[string, viewHistory](), completeSince: NoEpoch}
}

// SkipTo handles records before an offset that were not read because the log no
// longer retains them. The current views remain in use but become provisional.
func (t *ViewTable) SkipTo(earliest int64) {
	t.completeSince = earliest
	t.histories.Each(func(_ string, history *viewHistory) bool {
		history.provisional = true
		history.candidates = map[int64]View{}
		return true
	})
}

// Apply applies the next record of the stream. The log stored it at the time
// logged, and this host reads it at the time now.
func (t *ViewTable) Apply(now time.Time, offset int64, logged time.Time, data []byte) (Record, ApplyResult, error) {
	record, err := Decode(data)
	if err != nil {
		return record, Invalid, err
	}
	view := View{Record: record, Epoch: offset, Time: logged, ReadAt: now}
	history := t.histories.Get(record.DataCentre)
	if history == nil {
		history = t.histories.Put(record.DataCentre, viewHistory{provisional: t.completeSince != NoEpoch, candidates: map[int64]View{}})
	}
	if history.apply(view, t.completeSince) {
		return record, Accepted, nil
	}
	return record, Stale, nil
}

// apply reports whether the view becomes the current one. Every record from the
// offset completeSince on was read.
func (h *viewHistory) apply(view View, completeSince int64) bool {
	if view.BaseEpoch == h.epoch() {
		// The proposer read the base as the current view, which confirms the
		// base. This record is confirmed too if it is the first one on that
		// base, which is certain only if all records since the base were read.
		if view.BaseEpoch >= completeSince {
			h.provisional = false
			h.candidates = nil
		}
		h.views = append(h.views, view)
		return true
	}
	if !h.provisional {
		return false
	}
	if base, ok := h.candidates[view.BaseEpoch]; ok {
		base.ReadAt = view.ReadAt
		h.views = []View{base, view}
		h.provisional = false
		h.candidates = nil
		return true
	}
	// This reader has not read the base. A base newer than that of the current
	// view shows that the current view was never accepted or is superseded;
	// with the same or an older base the first record wins.
	if len(h.views) == 0 || view.BaseEpoch > h.current().BaseEpoch {
		h.views = []View{view}
		return true
	}
	h.addCandidate(view)
	return false
}

func (h *viewHistory) addCandidate(view View) {
	if len(h.candidates) < maxCandidates {
		h.candidates[view.Epoch] = view
	}
}

func (h *viewHistory) current() *View {
	if len(h.views) == 0 {
		return nil
	}
	return &h.views[len(h.views)-1]
}

func (h *viewHistory) epoch() int64 {
	if v := h.current(); v != nil {
		return v.Epoch
	}
	return NoEpoch
}

// View returns the current view of a data centre.
func (t *ViewTable) View(dataCentre string) (view View, provisional, ok bool) {
	h := t.histories.Get(dataCentre)
	if h == nil || h.current() == nil {
		return View{}, false, false
	}
	return *h.current(), h.provisional, true
}

// Prune removes views that were superseded so long ago that they no longer
// affect since when a host owns a replica.
func (t *ViewTable) Prune(now time.Time, term time.Duration) {
	t.histories.Each(func(_ string, h *viewHistory) bool {
		for len(h.views) > 1 && now.Sub(h.views[1].ReadAt) > 2*(term+handoverMargin) {
			h.views = h.views[1:]
		}
		return true
	})
}
