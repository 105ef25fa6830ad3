package usage

import "time"

const (
	// closeShare is the part of the time until its deadline after which a window is closed
	// even if hosts have not reported: 3 s of 10 s. The rest is for the next holder, if
	// this one is lost. A holder closes no window before it has been the holder for that
	// long: it does not know yet which hosts there are.
	closeShare = 0.3
	// minInterval is the least time between two reports of a host, and reportsPerSecond
	// the number of reports that the holder gets from all hosts.
	minInterval      = 250 * time.Millisecond
	reportsPerSecond = 200
)

// Report has the requests that began in a window, by workspace.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Total returns the number of requests of all workspaces.
func (r Report) Total() int64 { return total(r.Counts) }

// Collector collects the counts of all hosts during one tenure of the holder. Its memory is
// bounded by the hosts, the windows that are open, and the workspaces of the configuration.
type Collector struct {
	windows Windows
	began   time.Time
	next    int64 // window to be closed next
	first   bool  // no window was closed before, so next may still decrease
	hosts   map[string]*reporter
	names   []string
	indexes map[string]int // of names
}

// reporter is a host that reports counts.
type reporter struct {
	lastReport time.Time
	left       bool                // it counts no further requests
	counts     map[int64]*reported // by window
}

// reported holds the counts of a host in a window, by the index of the workspace's name. A
// host has few of a thousand workspaces, but a map for each host would take ten times more.
type reported struct {
	counts []uint32
	final  bool
}

// NewCollector returns a collector that begins at a time, after the window that was closed
// last; without one, it begins with the first window that a host counts.
func NewCollector(w Windows, now time.Time, lastClosed int64, anyClosed bool) *Collector {
	c := &Collector{windows: w, began: now, next: lastClosed + 1, first: !anyClosed, hosts: make(map[string]*reporter), indexes: make(map[string]int)}
	if c.first {
		c.next = w.At(now)
	}
	return c
}

// Closed returns the newest window that is closed. Counts of windows up to it are ignored.
func (c *Collector) Closed() int64 { return c.next - 1 }

// Interval returns the time between two reports of a host.
func (c *Collector) Interval() time.Duration {
	return max(time.Duration(len(c.hosts))*time.Second/reportsPerSecond, minInterval)
}

// Add replaces the counts of windows of a host. The host's name is unique to its process.
func (c *Collector) Add(host string, counts []Counts, now time.Time) {
	r := c.hosts[host]
	if r == nil {
		r = &reporter{counts: make(map[int64]*reported)}
		c.hosts[host] = r
	}
	r.lastReport = now
	for _, n := range counts {
		if c.first && n.Window < c.next {
			c.next = max(n.Window, c.windows.oldest(now))
		}
		if n.Window >= c.next && n.Window <= c.windows.At(now)+1 {
			r.counts[n.Window] = c.reportedOf(n)
		}
	}
}

// Leave records that a host has sent all its counts.
func (c *Collector) Leave(host string) {
	if r := c.hosts[host]; r != nil {
		r.left = true
	}
}

func (c *Collector) reportedOf(n Counts) *reported {
	r := &reported{final: n.Final}
	for name, count := range n.ByWorkspace {
		i, known := c.indexes[name]
		if !known {
			i = len(c.names)
			c.indexes[name] = i
			c.names = append(c.names, name)
		}
		if i >= len(r.counts) {
			r.counts = append(r.counts, make([]uint32, i+1-len(r.counts))...)
		}
		r.counts[i] = uint32(max(count, 0))
	}
	return r
}

// Decision says what to do with a window.
type Decision int

// Decisions on windows.
const (
	Wait  Decision = iota
	Close          // its report can be made
	Skip           // it gets no report
)

// Next returns the window to be closed next, and what to do with it.
func (c *Collector) Next(now time.Time) (int64, Decision) {
	end := c.windows.End(c.next)
	switch {
	case c.next < c.windows.oldest(now):
		return c.next, Skip
	case c.next > c.windows.LastFinal(now), now.Before(c.began.Add(c.closeAfter())):
		return c.next, Wait
	case !now.Before(c.windows.Deadline(c.next)) && !c.anyCounted():
		return c.next, Skip
	case !now.Before(end.Add(c.closeAfter())), c.allFinal(now):
		return c.next, Close
	}
	return c.next, Wait
}

func (c *Collector) closeAfter() time.Duration {
	return time.Duration(closeShare * float64(c.windows.Due))
}

// anyCounted reports whether a host has sent counts of the next window, also empty ones.
func (c *Collector) anyCounted() bool {
	for _, r := range c.hosts {
		if r.counts[c.next] != nil {
			return true
		}
	}
	return false
}

// allFinal reports whether all hosts that report have sent final counts of the next window.
func (c *Collector) allFinal(now time.Time) bool {
	reported := false
	for _, r := range c.hosts {
		if r.left || now.Sub(r.lastReport) > max(c.closeAfter(), 2*c.Interval()) {
			continue
		}
		if n := r.counts[c.next]; n == nil || !n.final {
			return false
		}
		reported = true
	}
	return reported
}

// Report returns the report of the next window.
func (c *Collector) Report() Report {
	r := Report{Window: c.next, Counts: make(map[string]int64)}
	for _, host := range c.hosts {
		if n := host.counts[c.next]; n != nil {
			for i, count := range n.counts {
				if count > 0 {
					r.Counts[c.names[i]] += int64(count)
				}
			}
		}
	}
	return r
}

// Advance releases the next window, because its report is stored or it is skipped, and
// hosts that have not reported for as long as windows are retained.
func (c *Collector) Advance(now time.Time) {
	c.first = false
	for name, r := range c.hosts {
		delete(r.counts, c.next)
		if now.Sub(r.lastReport) > retainedWindows*c.windows.Length {
			delete(c.hosts, name)
		}
	}
	c.next++
}
