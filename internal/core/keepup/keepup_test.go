package keepup

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// load is a partition whose rounds of work each take a time and begin an interval after
// the start of the one before, or at its end if that is later.
type load struct {
	meter    *Meter
	now      time.Time
	interval time.Duration
}

func newLoad() *load {
	now := time.Unix(1000, 0)
	return &load{meter: NewMeter(Defaults(), now), now: now, interval: 10 * time.Millisecond}
}

// run plays rounds for a time and returns when the partition was to be given away, or
// that time if it was not.
func (l *load) run(round, duration time.Duration) time.Duration {
	begin := l.now
	for l.now.Sub(begin) < duration {
		start := l.now
		l.now = start.Add(max(round, l.interval))
		if l.meter.Record(start, start.Add(round)) {
			return l.now.Sub(begin)
		}
	}
	return duration
}

// Guards against jobs that wait for a slow owner while other hosts are idle.
func TestOwnerThatDoesNotKeepUpGivesItsPartitionAway(t *testing.T) {
	l := newLoad()
	must.EqOp(t, 20*time.Second, l.run(5*time.Millisecond, 20*time.Second))
	must.Less(t, 2*time.Second, l.run(80*time.Millisecond, 6*time.Second))
}

// Guards against a partition that moves because of a single pause, such as a collection of
// garbage or a frozen process.
func TestShortPauseIsNoReasonToGiveAPartitionAway(t *testing.T) {
	l := newLoad()
	l.run(5*time.Millisecond, 20*time.Second)
	for range 10 {
		must.EqOp(t, 700*time.Millisecond, l.run(700*time.Millisecond, 700*time.Millisecond))
		must.EqOp(t, time.Second, l.run(5*time.Millisecond, time.Second))
	}
}

// Guards against partitions that move back and forth while all hosts are slow.
func TestPartitionsMoveRarelyWhileAllHostsAreSlow(t *testing.T) {
	moves := 0
	for elapsed := time.Duration(0); elapsed < time.Minute; moves++ {
		elapsed += newLoad().run(80*time.Millisecond, time.Minute)
	}
	must.LessEq(t, 6, moves)
}
