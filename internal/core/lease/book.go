package lease

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Verdict says what became of a record.
type Verdict int

// Verdicts.
const (
	// Accepted means that the record is the view in force now.
	Accepted Verdict = iota + 1
	// Stale means that another record with the same base came first.
	Stale
	// Invalid means that the record could not be read; it is skipped.
	Invalid
)

// maxCandidates bounds the records kept while a view is provisional.
const maxCandidates = 256

// chain is the view history of one data centre.
type chain struct {
	history     []View // accepted, newest last
	provisional bool
	candidates  map[int64]View // records that a later record may prove accepted
}

// ViewTable holds the views of all data centres. It is not safe for concurrent use.
type ViewTable struct {
	chains *table.Table[string, chain]
	// from is the offset since which every record was seen, or NoEpoch when
	// that holds since the start of the stream.
	from int64
}

// NewViewTable returns an empty book for a reader of the stream's first record.
func NewViewTable() *ViewTable {
	return &ViewTable{chains: table.New[string, chain](), from: NoEpoch}
}

// SkipTo tells the book that records before an offset were not seen, because the
// log keeps them no more. Views stay in force but become provisional.
func (b *ViewTable) SkipTo(earliest int64) {
	b.from = earliest
	b.chains.Each(func(_ string, c *chain) bool {
		c.provisional = true
		c.candidates = map[int64]View{}
		return true
	})
}

// Apply applies the next record of the stream.
func (b *ViewTable) Apply(now time.Time, offset int64, logged time.Time, data []byte) (Record, Verdict, error) {
	record, err := Decode(data)
	if err != nil {
		return record, Invalid, err
	}
	view := View{Record: record, Epoch: offset, Time: logged, ReadAt: now}
	c := b.chains.Get(record.DataCentre)
	if c == nil {
		c = b.chains.Put(record.DataCentre, chain{provisional: b.from != NoEpoch, candidates: map[int64]View{}})
	}
	if c.apply(view, b.from) {
		return record, Accepted, nil
	}
	return record, Stale, nil
}

// apply takes a record into force or not. Every record since offset from was seen.
func (c *chain) apply(view View, from int64) bool {
	if view.BaseEpoch == c.epoch() {
		// The author had its base in force, which proves the base. This record
		// is proven too if it is the first one on that base, which only shows
		// when all records since the base were seen.
		if view.BaseEpoch >= from {
			c.provisional = false
			c.candidates = nil
		}
		c.history = append(c.history, view)
		return true
	}
	if !c.provisional {
		return false
	}
	if base, ok := c.candidates[view.BaseEpoch]; ok {
		base.ReadAt = view.ReadAt
		c.history = []View{base, view}
		c.provisional = false
		c.candidates = nil
		return true
	}
	// The base was not seen by this reader. A base that is newer than that of
	// the view in force shows that the view in force was never accepted, or is
	// superseded; with the same or an older base the first record wins.
	if len(c.history) == 0 || view.BaseEpoch > c.newest().BaseEpoch {
		c.history = []View{view}
		return true
	}
	c.keep(view)
	return false
}

func (c *chain) keep(view View) {
	if len(c.candidates) < maxCandidates {
		c.candidates[view.Epoch] = view
	}
}

func (c *chain) newest() *View {
	if len(c.history) == 0 {
		return nil
	}
	return &c.history[len(c.history)-1]
}

func (c *chain) epoch() int64 {
	if v := c.newest(); v != nil {
		return v.Epoch
	}
	return NoEpoch
}

// View returns the view in force in a data centre.
func (b *ViewTable) View(dataCentre string) (view View, provisional, ok bool) {
	c := b.chains.Get(dataCentre)
	if c == nil || c.newest() == nil {
		return View{}, false, false
	}
	return *c.newest(), c.provisional, true
}

// Prune forgets old views that can no longer matter for the time since when a
// host owns a replica.
func (b *ViewTable) Prune(now time.Time, term time.Duration) {
	b.chains.Each(func(_ string, c *chain) bool {
		for len(c.history) > 1 && now.Sub(c.history[1].ReadAt) > 2*(term+handoverMargin) {
			c.history = c.history[1:]
		}
		return true
	})
}
