package owner

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against completions on an engine that has said that it is leaving, in a response
// or a state read, while the host list does not show it, and against an engine that is barred after it has restarted.
func TestEngineThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	f, c := newFixture(t)
	close(f.release)
	f.header = http.Header{platform.HeaderLeaving: {platform.ValueLeaving}}
	must.NoError(t, <-startRun(c, "first", "p", false))
	for range 5 {
		must.ErrorContains(t, <-startRun(c, "later", "p", false), "leaving")
		c.refresh(time.Now())
	}
	must.EqOp(t, 1, f.received)
	f.mu.Lock()
	f.header = nil
	for i := range f.replicas {
		f.replicas[i].State.Incarnation = 2
	}
	f.mu.Unlock()
	c.refresh(time.Now())
	must.NoError(t, <-startRun(c, "restarted", "p", false))
	f.mu.Lock()
	for i := range f.replicas {
		f.replicas[i].State.Leaving = true
	}
	f.mu.Unlock()
	c.refresh(time.Now())
	must.ErrorContains(t, <-startRun(c, "after a state read", "p", false), "leaving")
}
