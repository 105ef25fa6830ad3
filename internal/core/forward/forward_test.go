package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
)

var testTime = time.Unix(1000, 0)

func servers(dataCentres ...string) []deployment.Server {
	var list []deployment.Server
	for i, c := range dataCentres {
		list = append(list, deployment.Server{ID: string(rune('a' + i)), DataCentre: c, Slots: 6})
	}
	return list
}

// Guards against requests to servers that are leaving or were tried before, and
// to another data centre while the local one has a server.
func TestChooseFiltersAndPrefersLocalDataCentre(t *testing.T) {
	balancer := New(Defaults())
	list := servers("far", "near", "far")
	must.EqOp(t, "b", balancer.Choose(list, "near", nil, nil, testTime).Server.ID)
	must.NotEq(t, "b", balancer.Choose(list, "near", map[string]bool{"b": true}, nil, testTime).Server.ID)
	list[1].Leaving = true
	must.NotEq(t, "b", balancer.Choose(list, "near", nil, nil, testTime).Server.ID)
	must.Nil(t, balancer.Choose(list, "near", map[string]bool{"a": true, "c": true}, nil, testTime).Server)
}

// Guards against requests to a server that fails or is slow while another one is
// healthy. A failing server must be avoided after one failure and tried again
// after its backoff; it must still be used when there is no other.
func TestFailingAndSlowServersAreAvoided(t *testing.T) {
	balancer := New(Defaults())
	list := servers("near", "far")
	balancer.RecordSent(&list[0], false)
	balancer.RecordResult(&list[0], Failure, time.Millisecond, testTime)
	must.EqOp(t, "b", balancer.Choose(list, "near", nil, nil, testTime).Server.ID)
	must.EqOp(t, "a", balancer.Choose(list, "near", nil, nil, testTime.Add(time.Second)).Server.ID)
	for range 10 {
		balancer.RecordSent(&list[0], false)
		balancer.RecordResult(&list[0], Answered, 200*time.Millisecond, testTime)
		balancer.RecordSent(&list[1], false)
		balancer.RecordResult(&list[1], Answered, 20*time.Millisecond, testTime)
	}
	must.EqOp(t, "b", balancer.Choose(list, "near", nil, nil, testTime).Server.ID)
	must.EqOp(t, "a", balancer.Choose(list[:1], "near", nil, nil, testTime).Server.ID, must.Sprint("the only server must be used whatever its state"))
}

// Guards against hedging that doubles the load of a service whose servers are all
// slow.
func TestHedgesStayWithinBudget(t *testing.T) {
	balancer := New(Defaults())
	list := servers("near", "near")
	hedges := 0
	for range 1000 {
		balancer.RecordSent(&list[0], false)
		if balancer.MayHedge() {
			balancer.RecordSent(&list[1], true)
			hedges++
		}
	}
	must.Less(t, 250, hedges)
}

// Guards against requests to a server with a rate limit that were not granted, while
// another server has capacity and while none has.
func TestServersWithLimitNeedGrants(t *testing.T) {
	balancer := New(Defaults())
	list := servers("near", "near", "far")
	state := map[string]ratelimit.State{"a": ratelimit.Limited, "b": ratelimit.Granted, "c": ratelimit.Unlimited}
	stateOf := func(s *deployment.Server) ratelimit.State { return state[s.ID] }
	selection := balancer.Choose(list, "near", nil, stateOf, testTime)
	must.EqOp(t, "b", selection.Server.ID)
	must.EqOp(t, "a", selection.NeedGrant[0].ID)
	state["b"] = ratelimit.Limited
	selection = balancer.Choose(list, "near", nil, stateOf, testTime)
	must.EqOp(t, "c", selection.Server.ID)
	must.False(t, selection.Strained)
	balancer.RecordSent(&list[2], false)
	balancer.RecordResult(&list[2], Full, 0, testTime)
	must.True(t, balancer.Choose(list, "near", nil, stateOf, testTime).Strained, must.Sprint("a full server keeps requests from granted ones"))
	balancer.RecordSent(&list[2], false)
	balancer.RecordResult(&list[2], Answered, 20*time.Millisecond, testTime)
	must.False(t, balancer.Choose(list, "near", nil, stateOf, testTime).Slower)
	for range 20 { // callers of other hosts fill the server
		balancer.RecordSent(&list[2], false)
		balancer.RecordResult(&list[2], Answered, 200*time.Millisecond, testTime)
	}
	must.True(t, balancer.Choose(list, "near", nil, stateOf, testTime).Slower, must.Sprint("a slow server keeps requests from granted ones"))
	state["c"] = ratelimit.Limited
	selection = balancer.Choose(list, "near", nil, stateOf, testTime)
	must.Nil(t, selection.Server)
	must.Len(t, 3, selection.NeedGrant)
}

// Guards against requests to a server that is leaving while another can take them, or
// after it is no longer a last resort, and against a refusal while it is one.
func TestLeavingServerIsLastResort(t *testing.T) {
	balancer := New(Defaults())
	list := servers("near", "far")
	list[0].Leaving, list[0].LastResortUntil = true, testTime.Add(time.Second)
	must.EqOp(t, "b", balancer.Choose(list, "near", nil, nil, testTime).Server.ID)
	limited := func(s *deployment.Server) ratelimit.State {
		if s.ID == "b" {
			return ratelimit.Limited
		}
		return ratelimit.Unlimited
	}
	selection := balancer.Choose(list, "near", nil, limited, testTime)
	must.Nil(t, selection.Server)
	must.SliceLen(t, 1, selection.NeedGrant)
	must.False(t, selection.LastResort)

	tried := map[string]bool{"b": true}
	selection = balancer.Choose(list, "near", tried, nil, testTime)
	must.EqOp(t, "a", selection.Server.ID)
	must.True(t, selection.LastResort)
	must.False(t, selection.Leaving)
	selection = balancer.Choose(list, "near", tried, nil, testTime.Add(time.Second))
	must.Nil(t, selection.Server)
	must.True(t, selection.Leaving)
	selection = balancer.Choose(list, "near", map[string]bool{"a": true, "b": true}, nil, testTime)
	must.Nil(t, selection.Server)
	must.False(t, selection.Leaving)
}
