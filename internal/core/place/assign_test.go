package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against replica numbers that are not met although there are enough
// engines, and against unnecessary moves when the host list changes by one
// engine.
func TestAssignMeetsWantedNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []Server
		for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
			servers = append(servers, Server{ID: fmt.Sprint("engine-", i), Model: rapid.SampledFrom([]string{"album", "gallery", ""}).Draw(t, "model")})
		}
		album := rapid.IntRange(0, len(servers)).Draw(t, "album")
		wanted := map[string]int{"album": album, "gallery": rapid.IntRange(0, len(servers)-album).Draw(t, "gallery")}
		assigned := Assign(servers, wanted)
		count := map[string]int{}
		for _, model := range assigned {
			count[model]++
		}
		for model, n := range wanted {
			must.GreaterEq(t, n, count[model])
		}
		fewer := Assign(servers[1:], wanted)
		moved := 0
		for id, model := range fewer {
			if assigned[id] != model {
				moved++
			}
		}
		must.LessEq(t, 2, moved)
	})
}

// Guards against replicas that are moved on a short peak, below the minimum of
// a need, or back and forth.
func TestRebalancerFollowsSustainedDemand(t *testing.T) {
	s := newRebalancer()
	now := time.Unix(0, 0)
	declared := map[string]int{"album": 4, "gallery": 2}
	step := func(d time.Duration, album, gallery float64) map[string]int {
		var wanted map[string]int
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			wanted = s.apply(now, declared, map[string]int{"album": 3}, map[string]float64{"album": album, "gallery": gallery})
		}
		return wanted
	}
	must.Eq(t, declared, step(50*time.Second, 0.5, 2))
	must.Eq(t, declared, step(10*time.Second, 2.5, 1))
	must.Eq(t, map[string]int{"album": 3, "gallery": 3}, step(10*time.Minute, 0.5, 3))
	must.Eq(t, map[string]int{"album": 3, "gallery": 3}, step(50*time.Second, 1.5, 1))
	must.Eq(t, declared, step(10*time.Minute, 1.5, 1))
}
