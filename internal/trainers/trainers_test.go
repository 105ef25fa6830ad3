package trainers

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// Guards against groups that are incomplete, lack versions or come twice when
// the calls go through hosts that are not the home.
func TestGroupsReachTheTrainerThroughAnyHost(t *testing.T) {
	n := newNet(t, "a", "b")
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}, {"g2", "q"}}}
	must.Eq(t, http.StatusOK, c.submit(n.host("a")))
	must.Eq(t, http.StatusOK, c.submit(n.host("b")))
	c.pullAll(n.host("a"))
	must.SliceContainsAll(t, []string{"g1", "g2"}, c.ids())
	for _, g := range c.took {
		must.Len(t, 2, g.Samples)
		for _, s := range g.Samples {
			must.Eq(t, []string{"a", "b", "c"}, s.Tokens)
			must.Eq(t, []int64{7}, s.Versions)
			must.Eq(t, "stop", s.FinishReason)
		}
	}
}

// Guards against a lost or repeated group when the home is replaced.
func TestTrainerMovesToANewHome(t *testing.T) {
	n := newNet(t, "a", "b")
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}, {"g2", "q"}, {"g3", "r"}}}
	c.submit(n.host("a"))
	for len(c.took) == 0 {
		c.pull(n.host("a"), 1)
	}
	home, ok := n.host("a").homeOf("captions")
	must.True(t, ok)
	other := "a"
	if home.ID == "a" {
		other = "b"
	}
	n.setState(home.ID, cluster.MemberDead)
	must.Eq(t, http.StatusConflict, c.pull(n.host(other), 8))
	c.pullAll(n.host(other))
	must.SliceContainsAll(t, []string{"g1", "g2", "g3"}, c.ids())
	must.Len(t, 3, c.took)
}
