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
