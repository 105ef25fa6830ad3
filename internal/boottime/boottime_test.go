package boottime_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
)

// Guards against a clock that runs backwards or carries a monotonic reading, by which
// differences would omit the time of a suspension.
func TestNowAdvancesWithoutMonotonicReading(t *testing.T) {
	before := boottime.Now()
	must.EqOp(t, before.Round(0), before)
	time.Sleep(time.Millisecond)
	must.GreaterEq(t, time.Millisecond, boottime.Now().Sub(before))
}
