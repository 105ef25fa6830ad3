package sample

import (
	"slices"
	"time"
)

const (
	durationWindow = 64 // samples that the running median covers
	minDurations   = 8  // samples before the median counts
)

// durations keeps the running median of the time that samples took.
type durations struct {
	last   []time.Duration
	next   int
	cached time.Duration // median; 0 when it has to be computed again
}

func (d *durations) add(v time.Duration) {
	d.cached = 0
	if len(d.last) < durationWindow {
		d.last = append(d.last, v)
		return
	}
	d.last[d.next] = v
	d.next = (d.next + 1) % durationWindow
}

func (d *durations) known() bool { return len(d.last) >= minDurations }

func (d *durations) median() time.Duration {
	if len(d.last) == 0 {
		return 0
	}
	if d.cached == 0 {
		sorted := slices.Clone(d.last)
		slices.Sort(sorted)
		d.cached = sorted[len(sorted)/2]
	}
	return d.cached
}

// paceWeight is the weight of the newest interval in the moving average.
const paceWeight = 0.3

// pace keeps the average time between weight versions.
type pace struct {
	last     time.Duration
	interval time.Duration
	seen     bool
}

func (p *pace) raise(now time.Duration, versions int64) {
	if p.seen {
		interval := (now - p.last) / time.Duration(versions)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	}
	p.seen, p.last = true, now
}

// during is the number of versions expected within d.
func (p *pace) during(d time.Duration) int64 {
	if p.interval <= 0 {
		return 0
	}
	return int64(d / p.interval)
}

// noStep is beyond every step of a trainer.
const noStep = int64(1)<<62 - 1

// stepPace keeps the step that the trainer needs and the average time between
// steps.
type stepPace struct {
	step     int64
	since    time.Duration // when the trainer got to the step
	interval time.Duration
}

// advance notes the oldest step that has groups.
func (p *stepPace) advance(now time.Duration, oldest int64) {
	if oldest == p.step || oldest == noStep {
		return
	}
	if p.step > 0 && oldest > p.step {
		interval := (now - p.since) / time.Duration(oldest-p.step)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	}
	p.step, p.since = oldest, now
}
