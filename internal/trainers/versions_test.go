package trainers

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// fakeRefresher announces a fixed version to the host when it is read.
type fakeRefresher struct {
	host    *Controller
	version int64
	reads   int
}

func (s *fakeRefresher) Refresh(_ context.Context, model string) error {
	s.reads++
	s.host.versions.Announce(model, s.version)
	return nil
}

// Guards against a coordinator that has just started, knows no version and
// delivers samples beyond the staleness bound. It has to fetch the newest version
// before it serves the trainer, and only once.
func TestNewCoordinatorFetchesNewestVersionFirst(t *testing.T) {
	n := newTestNet(t, "a")
	store := &fakeRefresher{host: n.host("a"), version: 9}
	n.host("a").SetRefresher(store)
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	must.Eq(t, 9, n.host("a").versions.Newest("album"))
	c.pullAll(n.host("a"))
	must.Eq(t, 1, store.reads)
}
