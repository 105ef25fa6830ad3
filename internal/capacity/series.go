package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Role     string // role that pays the cost
	Name     string
	Variable string // what X counts
	Unit     string // of Y
	X, Y     []float64
	// Target is the value of X at the size of section 1.6.
	Target float64
	// Scale turns Y into the unit of Control, for example by the events a
	// second; 0 means that the series has no limit of its own.
	Scale float64
	// Control is the unit that is compared with a limit: one of the keys of
	// Limits.
	Control string
	// PerEvent says that only the slope counts, because X counts events of
	// which Target happen a second; the intercept is the cost of the start.
	PerEvent bool
	// UpperBound is the bound that the system itself keeps, in the unit of Y; 0 is none.
	UpperBound float64
	// Requests says that the cost is that of serving requests and samples, and
	// not of control.
	Requests bool
}

// Units of the limits of the control work of one daemon.
const (
	CPU    = "% core"
	Memory = "MB"
	Net    = "KB/s"
	Time   = "s"
)

// Limits of one daemon's control work, and of a weight rollout.
var Limits = map[string]float64{CPU: 1.2, Memory: 32, Net: 9, Time: 26}

// Line returns the fitted line.
func (s Series) Line() Line { return Fit(s.X, s.Y) }

// AtTarget returns the value at the size of section 1.6, in the unit of Y.
func (s Series) AtTarget() float64 {
	if s.PerEvent {
		return s.Line().Slope * s.Target
	}
	if value := s.Line().At(s.Target); s.UpperBound == 0 || value < s.UpperBound {
		return value
	}
	return s.UpperBound
}

// measurement is one run at one size: processor seconds and heap bytes that
// are still held at its end.
type measurement struct {
	cpu  float64
	heap float64
}

// measure runs the work and keeps its result reachable until the heap was read.
func measure(work func() any) measurement {
	before, start := heapInUse(), processorTime()
	kept := work()
	used := processorTime() - start
	after := heapInUse()
	runtime.KeepAlive(kept)
	return measurement{cpu: used.Seconds(), heap: float64(after) - float64(before)}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // the first one only moves pools to their victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime is the user and system time of all threads of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// All runs every measurement.
func All() ([]Series, error) {
	var all []Series
	for _, run := range []func() ([]Series, error){membership, exchange, routing, admission, requestHome, trainerHome,
		intents, configuration, publication, inForce, rollouts, hostList, states, ownership, planning, rowsBuilt} {
		series, err := run()
		if err != nil {
			return nil, eris.Wrap(err, "measure")
		}
		all = append(all, series...)
	}
	return all, nil
}
