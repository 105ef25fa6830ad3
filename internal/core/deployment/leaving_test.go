package deployment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/leaving"
)

var testTime = time.Unix(1000, 0)

// Guards against a notice that is lost when the server's record is written, removed or
// written again, that bars another process, or that arrives before the record.
func TestNoticeOutlastsRecordsOfItsProcess(t *testing.T) {
	s := NewState()
	must.True(t, s.LearnLeaving(leaving.Instance{ID: "a", Incarnation: 1}, testTime))
	must.False(t, s.LearnLeaving(leaving.Instance{ID: "a", Incarnation: 1}, testTime.Add(time.Minute)))
	for range 2 {
		s.SetServer(Server{ID: "a", Incarnation: 1})
		must.True(t, s.Servers.Get("a").Leaving)
		must.False(t, s.Servers.Get("a").RecordSaysLeaving())
		s.RemoveServer("a", time.Time{}, testTime)
		must.Nil(t, s.Servers.Get("a"))
	}
	s.SetServer(Server{ID: "a", Incarnation: 2})
	must.False(t, s.Servers.Get("a").Leaving)
	must.True(t, s.LearnLeaving(leaving.Instance{ID: "a", Incarnation: 2}, testTime))
	must.True(t, s.Servers.Get("a").Leaving)
}

// Guards against a later estimate, read from a delayed record, that replaces an earlier
// one, and against one of another process that is kept.
func TestEarliestTimeOfLeavingCounts(t *testing.T) {
	s := NewState()
	for _, c := range []struct {
		incarnation          int64
		reported, wantedTime time.Time
	}{{1, time.Time{}, time.Time{}}, {1, testTime, testTime}, {1, testTime.Add(time.Second), testTime}, {1, testTime.Add(-time.Second), testTime.Add(-time.Second)}, {1, time.Time{}, testTime.Add(-time.Second)}, {2, testTime, testTime}} {
		s.SetServer(Server{ID: "a", Incarnation: c.incarnation, Leaving: true, LeavesAt: c.reported})
		must.EqOp(t, c.wantedTime, s.Servers.Get("a").LeavesAt)
	}
}

// Guards against a server that is used as a last resort after its record says that it is
// leaving, or for longer because of a later notice.
func TestRecordEndsUseAsLastResort(t *testing.T) {
	s := NewState()
	s.SetServer(Server{ID: "a", Incarnation: 1})
	a := func() *Server { return s.Servers.Get("a") }
	must.False(t, a().IsLastResort(testTime))
	s.LearnLeaving(leaving.Instance{ID: "a", Incarnation: 1}, testTime)
	must.True(t, a().IsLastResort(testTime))
	s.LearnLeaving(leaving.Instance{ID: "a", Incarnation: 1}, testTime.Add(leaving.LastResortPeriod))
	must.False(t, a().IsLastResort(testTime.Add(leaving.LastResortPeriod)))
	s.SetServer(Server{ID: "a", Incarnation: 1, Leaving: true})
	must.True(t, a().RecordSaysLeaving())
	must.False(t, a().IsLastResort(testTime))
}
