package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Series is one cost measured at several sizes.
type Series struct {
	Role     string // role of the daemon that incurs the cost
	Name     string
	Variable string // what X counts
	Unit     string // of Y
	X, Y     []float64
	// Target is the value of X at the target scale (design, section 1.6).
	Target float64
	// Scale converts Y to the unit of LimitUnit, for example by the number of events
	// per second. It is 0 for a series without a limit.
	Scale float64
	// LimitUnit is the unit in which the cost is compared with a limit, a key of
	// Limits. It is empty for a series without a limit.
	LimitUnit string
	// PerEvent reports whether X counts events, of which Target occur per second.
	// If so, only the slope is extrapolated; the intercept is a one-time start-up
	// cost.
	PerEvent bool
	// UpperBound is the limit that the system itself enforces, in the unit of Y.
	// It is 0 if there is none.
	UpperBound float64
	// Requests reports whether the cost is caused by serving requests and samples
	// rather than by control work.
	Requests bool
}

// Units of the limits.
const (
	CPU    = "% core"
	Memory = "MB"
	Net    = "KB/s"
	Time   = "s"
)

// Limits holds the limits of one daemon's control work (CPU, Memory, Net) and of
// the duration of a weight rollout (Time).
var Limits = map[string]float64{CPU: 1.2, Memory: 32, Net: 9, Time: 26}

// Line returns the fitted line.
func (s Series) Line() Line { return Fit(s.X, s.Y) }

// AtTarget returns the cost extrapolated to Target, in the unit of Y.
func (s Series) AtTarget() float64 {
	if s.PerEvent {
		return s.Line().Slope * s.Target
	}
	if value := s.Line().At(s.Target); s.UpperBound == 0 || value < s.UpperBound {
		return value
	}
	return s.UpperBound
}

// measurement is the result of one run at one size: the processor seconds used
// and the growth of the live heap in bytes.
type measurement struct {
	cpu  float64
	heap float64
}

// measure runs work. The value that work returns stays reachable until the heap
// has been measured.
func measure(work func() any) measurement {
	before, start := heapInUse(), processorTime()
	result := work()
	used := processorTime() - start
	after := heapInUse()
	runtime.KeepAlive(result)
	return measurement{cpu: used.Seconds(), heap: float64(after) - float64(before)}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // the first collection only moves pooled objects to the victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the user and system time of all threads of this process.
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
	for _, run := range []func() ([]Series, error){membership, exchange, routing, admission, requestCoordinator, trainerCoordinator,
		intents, configuration, publication, configPropagation, rollouts, hostList, stateReads, ownerLookups, planning, candidateBuilds} {
		series, err := run()
		if err != nil {
			return nil, eris.Wrap(err, "measure")
		}
		all = append(all, series...)
	}
	return all, nil
}
