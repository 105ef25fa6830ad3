package leaving

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testTime = time.Unix(1000, 0)

func listedNone(Instance) bool { return false }

// Guards against a new process that is barred by the notice of the former one with the
// same ID, and against a period that later notices prolong.
func TestNoticeHoldsForItsInstanceSinceItsFirstResponse(t *testing.T) {
	n := NewNotices()
	former, successor := Instance{"a", 1}, Instance{"a", 2}
	must.True(t, n.Add(former, testTime, listedNone))
	must.False(t, n.Add(former, testTime.Add(time.Hour), listedNone))
	until, known := n.LastResortUntil(former)
	must.True(t, known)
	must.EqOp(t, testTime.Add(LastResortPeriod), until)
	_, known = n.LastResortUntil(successor)
	must.False(t, known)
}

// Guards against notices that grow with every server that ever left, and against
// forgetting that of a server that is still listed.
func TestNoticesOfUnlistedInstancesAreBounded(t *testing.T) {
	n := NewNotices()
	listed := func(i Instance) bool { return i.ID == "listed" }
	must.True(t, n.Add(Instance{"listed", 1}, testTime, listed))
	for i := range 3 * maxUnlisted {
		must.True(t, n.Add(Instance{fmt.Sprint(i), 1}, testTime.Add(time.Duration(i)), listed))
	}
	must.MapLen(t, maxUnlisted+1, n.first)
	_, known := n.LastResortUntil(Instance{"listed", 1})
	must.True(t, known)
	_, known = n.LastResortUntil(Instance{fmt.Sprint(3*maxUnlisted - 1), 1})
	must.True(t, known)
	_, known = n.LastResortUntil(Instance{"0", 1})
	must.False(t, known)
	n.Retain(listed)
	must.MapLen(t, 1, n.first)
}
