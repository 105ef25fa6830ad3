package sample

import (
	"slices"
	"time"
)

const (
	durationWindowSize = 64 // number of durations in the sliding window
	minDurations       = 8  // durations needed before the median is used
)

// durationHistory computes the median duration of recent samples.
type durationHistory struct {
	window       []time.Duration
	next         int
	cachedMedian time.Duration // 0 if the median must be recomputed
}

func (d *durationHistory) add(v time.Duration) {
	d.cachedMedian = 0
	if len(d.window) < durationWindowSize {
		d.window = append(d.window, v)
		return
	}
	d.window[d.next] = v
	d.next = (d.next + 1) % durationWindowSize
}

func (d *durationHistory) sufficient() bool { return len(d.window) >= minDurations }

func (d *durationHistory) median() time.Duration {
	if len(d.window) == 0 {
		return 0
	}
	if d.cachedMedian == 0 {
		sorted := slices.Clone(d.window)
		slices.Sort(sorted)
		d.cachedMedian = sorted[len(sorted)/2]
	}
	return d.cachedMedian
}

// newestIntervalWeight is the weight of the newest interval in the exponential
// moving average.
const newestIntervalWeight = 0.3

// versionCadence holds the moving average of the interval between weight
// versions.
type versionCadence struct {
	lastAt   time.Duration
	interval time.Duration
	started  bool
}

func (v *versionCadence) record(now time.Duration, versions int64) {
	if v.started {
		interval := (now - v.lastAt) / time.Duration(versions)
		if v.interval == 0 {
			v.interval = interval
		}
		v.interval += time.Duration(newestIntervalWeight * float64(interval-v.interval))
	}
	v.started, v.lastAt = true, now
}

// expectedWithin returns the number of versions expected within d.
func (v *versionCadence) expectedWithin(d time.Duration) int64 {
	if v.interval <= 0 {
		return 0
	}
	return int64(d / v.interval)
}

// noStep is greater than every valid step.
const noStep = int64(1)<<62 - 1

// stepProgress holds the step that the trainer needs and the moving average of
// the time between steps.
type stepProgress struct {
	currentStep int64
	reachedAt   time.Duration // when the trainer reached the step
	interval    time.Duration
}

// advance records the oldest step that has groups.
func (p *stepProgress) advance(now time.Duration, oldest int64) {
	if oldest == p.currentStep || oldest == noStep {
		return
	}
	if p.currentStep > 0 && oldest > p.currentStep {
		interval := (now - p.reachedAt) / time.Duration(oldest-p.currentStep)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(newestIntervalWeight * float64(interval-p.interval))
	}
	p.currentStep, p.reachedAt = oldest, now
}
