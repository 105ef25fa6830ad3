package trainers

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// Guards against groups that are incomplete, lack versions or are delivered twice
// when the calls arrive at hosts that are not the coordinator.
func TestGroupsReachTheTrainerThroughAnyHost(t *testing.T) {
	n := newTestNet(t, "a", "b")
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}, {"g2", "q"}}}
	must.Eq(t, http.StatusOK, c.submit(n.host("a")))
	must.Eq(t, http.StatusOK, c.submit(n.host("b")))
	c.pullAll(n.host("a"))
	must.SliceContainsAll(t, []string{"g1", "g2"}, c.ids())
	for _, g := range c.received {
		must.Len(t, 2, g.Samples)
		for _, s := range g.Samples {
			must.Eq(t, []string{"a", "b", "c"}, s.Tokens)
			must.Eq(t, []int64{7}, s.Versions)
			must.Eq(t, "stop", s.FinishReason)
		}
	}
}

// Guards against a lost or duplicate group when the coordinator is replaced.
func TestTrainerMovesToNewCoordinator(t *testing.T) {
	n := newTestNet(t, "a", "b")
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}, {"g2", "q"}, {"g3", "r"}}}
	c.submit(n.host("a"))
	for len(c.received) == 0 {
		c.pull(n.host("a"), 1)
	}
	coordinator, ok := n.host("a").coordinatorOf("captions")
	must.True(t, ok)
	other := "a"
	if coordinator.ID == "a" {
		other = "b"
	}
	n.setState(coordinator.ID, cluster.MemberDead)
	must.Eq(t, http.StatusConflict, c.pull(n.host(other), 8))
	c.pullAll(n.host(other))
	must.SliceContainsAll(t, []string{"g1", "g2", "g3"}, c.ids())
	must.Len(t, 3, c.received)
}
