// Package keepup decides when the owner of partitions gives them to other hosts because
// it does not keep up with their work.
//
// The package has no I/O and no clock.
package keepup

import "time"

// Config holds the parameters of a Meter.
type Config struct {
	// Window is the time over which the share of busy time is measured.
	Window time.Duration
	// BusyShare is the share of busy time from which the work of a window counts as
	// behind. An owner that keeps up waits for most of the time.
	BusyShare float64
	// Windows is the number of consecutive windows behind after which the owner does
	// not keep up.
	Windows int
	// MinTenure is the least time between the acquisition of a partition and its
	// handover, so that partitions rarely move while all hosts are slow.
	MinTenure time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		Window:    500 * time.Millisecond,
		BusyShare: 0.6, // 0.25 at the peak load of a host that keeps up
		Windows:   2,
		MinTenure: 10 * time.Second,
	}
}

// Meter measures the share of time that the rounds of work of one partition take,
// including the time in which they wait for the processor and for locks. It is not safe
// for concurrent use.
type Meter struct {
	config   Config
	acquired time.Time
	window   time.Time // start of the current window
	busy     time.Duration
	behind   int // consecutive windows behind
}

// NewMeter returns a Meter of a partition that was acquired at a time.
func NewMeter(config Config, acquired time.Time) *Meter {
	return &Meter{config: config, acquired: acquired, window: acquired}
}

// Record adds a round of work, and reports whether the owner should give the partition to
// another host.
func (m *Meter) Record(start, end time.Time) bool {
	m.busy += end.Sub(start)
	elapsed := end.Sub(m.window)
	if elapsed >= m.config.Window {
		if float64(m.busy) >= m.config.BusyShare*float64(elapsed) {
			m.behind++
		} else {
			m.behind = 0
		}
		m.window, m.busy = end, 0
	}
	return m.behind >= m.config.Windows && end.Sub(m.acquired) >= m.config.MinTenure
}
