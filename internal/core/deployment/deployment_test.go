package deployment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a server that stays in use after its entry was replaced by an invalid
// one shortly after an outage of the store.
func TestServerIsDiscardedAtOnceAfterAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewState()
	s.SetServer(Server{ID: "a"})
	s.SetServer(Server{ID: "b"})
	s.RemoveServer("a", now, now)
	s.RemoveServer("b", now, now)
	s.DiscardServer("a")
	must.Eq(t, []string{"b"}, s.Servers.Keys())
	must.Eq(t, []string{"b"}, s.Expire(now.Add(outageGrace)))
}

// Guards against knowledge of a server that is dropped while its entry is invalid, or kept
// after the entry is gone.
func TestDiscardedServerMayReturnUntilItsEntryIsGone(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewState()
	for _, id := range []string{"a", "b", "c"} {
		s.SetServer(Server{ID: id})
		s.DiscardServer(id)
		s.DiscardServer(id)
		must.True(t, s.MayReturn(id))
	}
	s.DiscardServer("never registered")
	must.False(t, s.MayReturn("never registered"))
	s.RemoveServer("a", time.Time{}, now)
	s.RemoveAbsent(map[string]bool{"b": true}, time.Time{}, now)
	must.False(t, s.MayReturn("a"))
	must.True(t, s.MayReturn("b"))
	must.False(t, s.MayReturn("c"))
	s.SetServer(Server{ID: "b"})
	s.RemoveServer("b", time.Time{}, now)
	must.False(t, s.MayReturn("b"))
}
