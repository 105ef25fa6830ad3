package place_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// Guards against a rollout that keeps a server that left the host list while its model
// was not declared. When the model is declared again, the planner must not use it.
func TestModelDeclaredAgainAfterItsServerLeft(t *testing.T) {
	p := place.NewPlanner(dataCentre)
	now := time.Unix(1000, 0)
	newest := func(string) int64 { return 2 }
	declared := place.Declarations{Models: map[string]*declare.Model{model: {Replicas: map[string]int{dataCentre: 2}}}}
	none := place.Declarations{Models: map[string]*declare.Model{}}
	both := []place.Server{{ID: "r1", Model: model, Addr: "a1"}, {ID: "r2", Model: model, Addr: "a2"}}
	p.Update(now, declared, both, newest, nil)
	p.Update(now.Add(time.Second), none, both, newest, nil)
	p.Update(now.Add(2*time.Second), none, both[:1], newest, nil)
	declared.Models[model].Replicas = map[string]int{}
	p.Update(now.Add(3*time.Second), declared, both[:1], newest, nil)
	p.Observe(now.Add(3*time.Second), "r1", engine.State{Model: model, Version: 1}, true)
	p.Update(now.Add(4*time.Second), declared, both[:1], newest, nil)
	all := func(string) bool { return true }
	for i := range 20 {
		must.NotPanic(t, func() { p.Plan(now.Add(time.Duration(4+i)*time.Second), place.TimeSlot{Count: 1}, all, all) })
	}
}
