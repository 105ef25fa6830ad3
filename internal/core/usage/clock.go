// Package usage counts the requests of workspaces in windows of true time, and decides
// when a window is closed and reported.
//
// The load that it handles: hosts that are killed, cut off or started in the middle of a
// window, wall clocks that jump by seconds and come back, counts that arrive late or twice,
// and a holder that is lost at any point. docs/design/usage-reports.md has the reasons.
//
// The package has no I/O and no clock.
package usage

import (
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples of a Clock.
	SampleInterval = time.Second
	// maxSamples is the number of samples whose median is used. A jump of the wall clock
	// has no effect if it is taken back within half of their time.
	maxSamples = 600
	// adoptSamples is how many samples more than this one another host's clock has whose
	// estimate is taken over: half a minute. A jump that was there at the start of this
	// process has no effect then.
	adoptSamples = 30
)

// Clock estimates true time. A wall clock is right except for jumps, which may be taken
// back; the steady clock runs evenly, also while the machine is suspended.
type Clock struct {
	samples []time.Duration // wall minus steady clock
	oldest  int             // index of the sample that is replaced next
	offset  time.Duration   // median of the samples
}

// NewClock returns a clock with a first sample.
func NewClock(wall, steady time.Time) *Clock {
	c := &Clock{}
	c.Sample(wall, steady)
	return c
}

// Sample records what both clocks show at the same moment.
func (c *Clock) Sample(wall, steady time.Time) {
	sample := wall.Round(0).Sub(steady.Round(0))
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, sample)
	} else {
		c.samples[c.oldest] = sample
		c.oldest = (c.oldest + 1) % maxSamples
	}
	sorted := slices.Sorted(slices.Values(c.samples))
	c.offset = sorted[(len(sorted)-1)/2]
}

// Samples returns the number of samples that the estimate rests on.
func (c *Clock) Samples() int { return len(c.samples) }

// Adopt takes over the estimate of another host that rests on far more samples, and reports
// whether it does. The other host estimated true time at a time of this steady clock.
func (c *Clock) Adopt(estimate, steady time.Time, samples int) bool {
	if samples < len(c.samples)+adoptSamples {
		return false
	}
	c.offset = estimate.Round(0).Sub(steady.Round(0))
	c.samples, c.oldest = slices.Repeat([]time.Duration{c.offset}, min(samples, maxSamples)), 0
	return true
}

// True returns the estimate of true time at a time of the steady clock.
func (c *Clock) True(steady time.Time) time.Time { return steady.Round(0).Add(c.offset) }

// Windows divides true time. Window k begins k times Length after the Unix epoch.
type Windows struct {
	Length time.Duration
	// Due is how long after the end of a window its report is due.
	Due time.Duration
}

// At returns the window of a time, which is not before the Unix epoch.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// Deadline returns the time at which the report of a window is due.
func (w Windows) Deadline(window int64) time.Time { return w.End(window).Add(w.Due) }

// retainedWindows is the number of windows for which hosts retain their counts. A window
// that ended before them is not reported any more.
const retainedWindows = 12

// oldest returns the oldest window that is retained.
func (w Windows) oldest(now time.Time) int64 { return w.At(now) - retainedWindows }
