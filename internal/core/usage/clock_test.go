package usage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	testWindows = Windows{Length: 5 * time.Second, Due: 10 * time.Second}
	// testStart is the beginning of window 200.
	testStart  = time.Unix(1000, 0)
	testWindow = int64(200)
)

func after(d time.Duration) time.Time { return testStart.Add(d) }

// Guards against a request in a wrong window because the wall clock has jumped, for a jump
// that is taken back, and against a clock that never follows a correction.
func TestClockIgnoresJumpsThatAreTakenBack(t *testing.T) {
	steady := time.Unix(50, 0)
	c := NewClock(testStart, steady)
	run := func(d, jump time.Duration) time.Duration {
		for ; d > 0; d -= SampleInterval {
			steady = steady.Add(SampleInterval)
			c.Sample(testStart.Add(steady.Sub(time.Unix(50, 0))+jump), steady)
		}
		return c.True(steady).Sub(testStart) - steady.Sub(time.Unix(50, 0))
	}
	must.EqOp(t, 0, run(time.Minute, 0))
	must.EqOp(t, 0, run(50*time.Second, 3*time.Second))
	must.EqOp(t, 0, run(50*time.Second, -4*time.Second))
	must.EqOp(t, 0, run(20*time.Minute, 0))
	must.EqOp(t, 0, run(4*time.Minute, -20*time.Second))
	must.EqOp(t, 0, run(20*time.Minute, 0))
	must.EqOp(t, 2*time.Second, run(6*time.Minute, 2*time.Second), must.Sprint("a correction that stays"))
}

// Guards against a host that counts in wrong windows because it was started while its wall
// clock had jumped, and against one that takes over the estimate of such a host.
func TestYoungClockAdoptsAnOlderEstimate(t *testing.T) {
	steady, jumped := time.Unix(50, 0), after(7*time.Second)
	old, young := NewClock(testStart, time.Unix(9, 0)), NewClock(jumped, steady)
	for i := range adoptSamples {
		old.Sample(after(time.Duration(i)*SampleInterval), time.Unix(9, 0).Add(time.Duration(i)*SampleInterval))
	}
	must.False(t, old.Adopt(jumped, time.Unix(9, 0), young.Samples()))
	must.EqOp(t, testStart, old.True(time.Unix(9, 0)))
	must.True(t, young.Adopt(testStart, steady, old.Samples()))
	must.False(t, young.Adopt(jumped, steady, old.Samples()))
	must.EqOp(t, testStart, young.True(steady))
	for i := range adoptSamples / 2 {
		young.Sample(jumped.Add(time.Duration(i)*SampleInterval), steady.Add(time.Duration(i)*SampleInterval))
	}
	must.EqOp(t, testStart, young.True(steady))

	counter := NewCounter(testWindows, jumped)
	counter.Began("x", testStart)
	must.EqOp(t, 0, counter.TakeDropped())
}

func TestWindowsOfTrueTime(t *testing.T) {
	must.EqOp(t, testWindow, testWindows.At(testStart))
	must.EqOp(t, testWindow-1, testWindows.At(after(-1)))
	must.EqOp(t, after(5*time.Second), testWindows.End(testWindow))
	must.EqOp(t, after(15*time.Second), testWindows.Deadline(testWindow))
}

// Guards against a request that its server has queued over the end of a window, and against
// a slow service whose requests all seem to be queued.
func TestStartOfQueuedRequest(t *testing.T) {
	s := NewStarts()
	for range recentRuns {
		must.EqOp(t, testStart, s.Began("pages", testStart, after(40*time.Millisecond)))
	}
	must.EqOp(t, after(460*time.Millisecond), s.Began("pages", testStart, after(500*time.Millisecond)))
	must.EqOp(t, testStart, s.Began("pages", testStart, after(100*time.Millisecond)))
	for range 2 * recentRuns {
		s.Began("pages", testStart, after(time.Second))
	}
	must.EqOp(t, testStart, s.Began("pages", testStart, after(time.Second)))
	must.EqOp(t, testStart, s.Began("other", testStart, after(time.Second)))
}
