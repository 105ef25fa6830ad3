package trainers

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// storeWith raises the host's version like a read of the weight store.
type storeWith struct {
	host    *Controller
	version int64
	reads   int
}

func (s *storeWith) Refresh(_ context.Context, model string) error {
	s.reads++
	s.host.versions.Announce(model, s.version)
	return nil
}

// Guards against a home that has just started, knows of no version and gives
// samples over the bound: it has to learn the newest version first, once.
func TestNewHomeLearnsTheNewestVersionFirst(t *testing.T) {
	n := newNet(t, "a")
	store := &storeWith{host: n.host("a"), version: 9}
	n.host("a").SetWeightStore(store)
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	must.Eq(t, 9, n.host("a").versions.Newest("album"))
	c.pullAll(n.host("a"))
	must.Eq(t, 1, store.reads)
}
