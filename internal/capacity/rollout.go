package capacity

import (
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// swapTime is an assumption: the time that an engine takes to load a
	// version that is at hand in its data centre.
	swapTime = time.Second
	// planInterval is that of internal/orders for states of watched replicas.
	planInterval = 400 * time.Millisecond
	// betweenVersions is the time between two versions of a model.
	betweenVersions = weightsDue * time.Second
)

type server struct {
	state  engine.State
	loaded time.Time
}

// rollouts measures the time until all replicas of one model in a data centre
// run a new version, against the logarithm of their number, since the waves
// double; and the number of loads from the weight store, against the replicas.
func rollouts() ([]Series, error) {
	var all []Series
	loads := Series{Role: "owner", Name: "loads from the store, a data centre", Variable: "replicas of a model", Unit: "loads",
		Target: replicasPerDC}
	for _, share := range []float64{0.9, 0.75, 0.5} {
		duration := Series{Role: "owner", Name: fmt.Sprintf("rollout, min_serving %g", share), Variable: "log2(replicas)",
			Unit: "s", Target: math.Log2(replicasPerDC), Scale: 1, Control: Time}
		for _, replicas := range []int{24, 96, 375, 750} {
			took, fromStore, err := rollout(replicas, share, betweenVersions, swapTime)
			if err != nil {
				return nil, err
			}
			duration.X, duration.Y = append(duration.X, math.Log2(float64(replicas))), append(duration.Y, took.Seconds())
			if share == 0.5 {
				loads.X, loads.Y = append(loads.X, float64(replicas)), append(loads.Y, float64(fromStore))
			}
		}
		all = append(all, duration)
	}
	swaps := Series{Role: "owner", Name: "rollout, min_serving 0.9, 750 replicas", Variable: "swap time in s", Unit: "s", Target: 2,
		Scale: 1, Control: Time}
	for _, swap := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		took, _, err := rollout(replicasPerDC, 0.9, betweenVersions, swap)
		if err != nil {
			return nil, err
		}
		swaps.X, swaps.Y = append(swaps.X, swap.Seconds()), append(swaps.Y, took.Seconds())
	}
	superseded := loads
	superseded.Name, superseded.X, superseded.Y = "store loads when superseded", nil, nil
	for _, replicas := range loads.X {
		_, fromStore, err := rollout(int(replicas), 0.5, 5*planInterval, swapTime)
		if err != nil {
			return nil, err
		}
		superseded.X, superseded.Y = append(superseded.X, replicas), append(superseded.Y, float64(fromStore))
	}
	return append(all, swaps, loads, superseded), nil
}

// rollout runs one weight version that comes settled after the one before through one planner that owns all replicas
// and sees their states each planInterval, as owners see watched replicas.
func rollout(replicas int, share float64, settled, swap time.Duration) (took time.Duration, fromStore int, err error) {
	const limit = 10 * time.Minute
	start := time.Unix(1_700_000_000, 0)
	declared := place.Declarations{Version: 1, PinsCurrent: true, Models: map[string]*declare.Model{
		"album": {Name: "album", Replicas: map[string]int{"dc-01": replicas}, MinServing: share}}}
	planner := place.NewPlanner("dc-01")
	var listed []place.Server
	engines := map[string]*server{}
	for i := range replicas {
		id := fmt.Sprintf("engine-%03d", i)
		listed = append(listed, place.Server{ID: id, Addr: id, Model: "album"})
		engines[id] = &server{state: engine.State{Model: "album", Version: 1, Role: engine.RoleMixed}}
	}
	version := int64(1)
	newest := func(string) int64 { return version }
	owned := func(string) bool { return true }
	for now := start; now.Sub(start) < limit; now = now.Add(planInterval) {
		if now.Sub(start) >= settled {
			version = 2
		}
		done := true
		planner.Update(now, declared, listed, newest, nil)
		for _, s := range listed {
			e := engines[s.ID]
			if e.state.Loading != 0 && !now.Before(e.loaded) {
				e.state.Version, e.state.Loading = e.state.Loading, 0
			}
			done = done && e.state.Version == 2
			planner.Observe(now, s.ID, e.state, true)
		}
		if done {
			return now.Sub(start) - settled, fromStore, nil
		}
		for _, action := range planner.Plan(now, owned).Actions {
			e := engines[action.Replica]
			planner.Sent(now, action.Replica, action.Order)
			if action.Order.Kind != engine.OrderLoadVersion {
				continue
			}
			if action.Order.Source == "" {
				fromStore++
			}
			e.state.Loading, e.loaded = action.Order.Version, now.Add(swap)
		}
	}
	return 0, 0, eris.Errorf("%d replicas did not take the new version within %v", replicas, limit)
}
