package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

// finalDelay is how long after the end of a window a host sends its counts as final. By
// then, most servers that refuse a request of the window have done so.
const finalDelay = 300 * time.Millisecond

// Counts are the requests that began on one host in one window. They are cumulative: later
// ones replace earlier ones.
type Counts struct {
	Window      int64
	ByWorkspace map[string]int64
	// Final is set if the window has ended. The counts may still be corrected.
	Final bool
}

// LastFinal returns the newest window whose counts are final at a time.
func (w Windows) LastFinal(now time.Time) int64 { return w.At(now.Add(-finalDelay)) - 1 }

// total returns the number of requests of all workspaces.
func total(byWorkspace map[string]int64) int64 {
	sum := int64(0)
	for _, n := range byWorkspace {
		sum += n
	}
	return sum
}

// Mark is a counted request. The zero value is none.
type Mark struct {
	Workspace string
	Window    int64
}

// Counter counts the requests of one host, and knows which counts the holder has. Its memory
// is bounded by retainedWindows and the workspaces of the configuration.
type Counter struct {
	windows Windows
	counts  map[int64]*hostWindow
	settled int64 // windows up to this one are reported or not retained
	first   int64 // window in which the counter began
	dropped int64
}

// hostWindow holds the counts of one window.
type hostWindow struct {
	byWorkspace map[string]int64
	changed     bool  // since they were last sent
	final       bool  // the holder has them as final
	delivered   int64 // total of the counts that the holder has
}

// NewCounter returns a counter that begins at a time. Requests in earlier windows are
// counted all the same: the clock may have been ahead.
func NewCounter(w Windows, now time.Time) *Counter {
	c := &Counter{windows: w, counts: make(map[int64]*hostWindow), settled: w.oldest(now) - 1, first: w.At(now)}
	c.Advance(now)
	return c
}

// Advance begins the windows up to now, also those without requests, and releases those
// that are not retained. Windows that are far ahead show that the clock was wrong.
func (c *Counter) Advance(now time.Time) {
	current := c.windows.At(now)
	if c.settled > current+retainedWindows {
		c.Settle(math.MaxInt64)
		c.settled = c.windows.oldest(now) - 1
	}
	c.first = min(c.first, current)
	c.Settle(c.windows.oldest(now) - 1)
	for w := max(c.settled+1, c.first); w <= current; w++ {
		c.window(w)
	}
}

// window returns a window that is not settled, and nil otherwise.
func (c *Counter) window(w int64) *hostWindow {
	if w <= c.settled {
		return nil
	}
	if c.counts[w] == nil {
		c.counts[w] = &hostWindow{byWorkspace: make(map[string]int64), changed: true}
	}
	return c.counts[w]
}

// Began counts a request that began at a time.
func (c *Counter) Began(workspace string, at time.Time) Mark {
	m := Mark{Workspace: workspace, Window: c.windows.At(at)}
	if !c.add(m, 1) {
		c.dropped++
	}
	return m
}

// Cancel takes a counted request back, because it did not run.
func (c *Counter) Cancel(m Mark) { c.add(m, -1) }

// Move counts a request in the window of another time. It stays where it is if one of the
// windows is settled.
func (c *Counter) Move(m Mark, at time.Time) Mark {
	moved := Mark{Workspace: m.Workspace, Window: c.windows.At(at)}
	if moved.Window == m.Window || m.Window <= c.settled || !c.add(moved, 1) {
		return m
	}
	c.add(m, -1)
	return moved
}

func (c *Counter) add(m Mark, n int64) bool {
	w := c.window(m.Window)
	if w == nil {
		return false
	}
	w.changed = true
	w.byWorkspace[m.Workspace] += n
	if w.byWorkspace[m.Workspace] == 0 {
		delete(w.byWorkspace, m.Workspace)
	}
	return true
}

// NewSession makes all counts pending, because the holder has none of them.
func (c *Counter) NewSession() {
	for _, w := range c.counts {
		w.changed, w.final, w.delivered = true, false, 0
	}
}

// Pending returns the counts that the holder does not have, in the order of the windows, and
// takes them as sent.
func (c *Counter) Pending(now time.Time) []Counts {
	var pending []Counts
	for _, n := range slices.Sorted(maps.Keys(c.counts)) {
		w := c.counts[n]
		ended := n <= c.windows.LastFinal(now)
		if !w.changed && (w.final || !ended) {
			continue
		}
		w.changed = false
		pending = append(pending, Counts{Window: n, ByWorkspace: maps.Clone(w.byWorkspace), Final: ended})
	}
	return pending
}

// Delivered records that the holder has counts. Windows that it has reported before are
// settled first.
func (c *Counter) Delivered(sent []Counts) {
	for _, counts := range sent {
		if w := c.counts[counts.Window]; w != nil {
			w.final, w.delivered = w.final || counts.Final, total(counts.ByWorkspace)
		}
	}
}

// Lost records that counts may not have reached the holder.
func (c *Counter) Lost(sent []Counts) {
	for _, counts := range sent {
		if w := c.counts[counts.Window]; w != nil {
			w.changed = true
		}
	}
}

// Settle releases the windows up to one, because they are reported or too old.
func (c *Counter) Settle(window int64) {
	if window <= c.settled {
		return
	}
	c.settled = window
	for n, w := range c.counts {
		if n <= window {
			c.dropped += max(total(w.byWorkspace)-w.delivered, 0)
			delete(c.counts, n)
		}
	}
}

// TakeDropped returns the number of requests that are in no report, since the last call.
func (c *Counter) TakeDropped() int64 {
	n := c.dropped
	c.dropped = 0
	return n
}
