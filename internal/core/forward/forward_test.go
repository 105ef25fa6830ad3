package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

var begin = time.Unix(1000, 0)

func servers(centres ...string) []deployment.Server {
	var list []deployment.Server
	for i, c := range centres {
		list = append(list, deployment.Server{ID: string(rune('a' + i)), DataCentre: c, Slots: 6})
	}
	return list
}

// Guards against requests to servers that leave or were tried, and against a
// longer way than needed.
func TestChooseFiltersAndPrefersTheOwnDataCentre(t *testing.T) {
	table := New(Defaults())
	list := servers("far", "near", "far")
	must.EqOp(t, "b", table.Choose(list, "near", nil, begin).ID)
	must.NotEq(t, "b", table.Choose(list, "near", map[string]bool{"b": true}, begin).ID)
	list[1].Leaving = true
	must.NotEq(t, "b", table.Choose(list, "near", nil, begin).ID)
	must.Nil(t, table.Choose(list, "near", map[string]bool{"a": true, "c": true}, begin))
}

// Answers a server that fails or is slow beside good ones: it is left within one
// answer, and tried again after its pause.
func TestFailingAndSlowServersAreLeft(t *testing.T) {
	table := New(Defaults())
	list := servers("near", "far")
	table.RecordSent(&list[0], false)
	table.RecordResult(&list[0], Failure, time.Millisecond, begin)
	must.EqOp(t, "b", table.Choose(list, "near", nil, begin).ID)
	must.EqOp(t, "a", table.Choose(list, "near", nil, begin.Add(time.Second)).ID)
	for range 10 {
		table.RecordSent(&list[0], false)
		table.RecordResult(&list[0], Answered, 200*time.Millisecond, begin)
		table.RecordSent(&list[1], false)
		table.RecordResult(&list[1], Answered, 20*time.Millisecond, begin)
	}
	must.EqOp(t, "b", table.Choose(list, "near", nil, begin).ID)
	must.EqOp(t, "a", table.Choose(list[:1], "near", nil, begin).ID, must.Sprint("the only server is used whatever its state"))
}

// Answers a service that is slow as a whole: second tries must not double its
// load.
func TestSecondTriesStayWithinTheirBudget(t *testing.T) {
	table := New(Defaults())
	list := servers("near", "near")
	hedges := 0
	for range 1000 {
		table.RecordSent(&list[0], false)
		if table.MayHedge() {
			table.RecordSent(&list[1], true)
			hedges++
		}
	}
	must.Less(t, 250, hedges)
}
