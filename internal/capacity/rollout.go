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
	// swapTime is the time that an engine takes to load a version that is
	// available in its data centre. The value is an assumption.
	swapTime = time.Second
	// planInterval is the interval at which internal/orders reads the states of
	// watched replicas.
	planInterval = 400 * time.Millisecond
	// versionInterval is the time between two versions of a model.
	versionInterval = versionIntervalSeconds * time.Second
)

type simulatedEngine struct {
	state    engine.State
	loadedAt time.Time
}

// rollouts measures the time until all replicas of one model in a data centre run
// a new version, by the logarithm of the number of replicas, because each wave of
// loads is twice as large as the one before. It also measures the number of loads from the weight store, by
// the number of replicas, and the time by the swap time of the engines.
func rollouts() ([]Series, error) {
	var all []Series
	loads := Series{Role: "owner", Name: "loads from the store per data centre", Variable: "replicas of a model", Unit: "loads",
		Target: replicasPerDataCentre}
	for _, minServing := range []float64{0.9, 0.75, 0.5} {
		duration := Series{Role: "owner", Name: fmt.Sprintf("rollout, min_serving %g", minServing), Variable: "log2(replicas)",
			Unit: "s", Target: math.Log2(replicasPerDataCentre), Scale: 1, LimitUnit: Time}
		for _, replicas := range []int{24, 96, 375, 750} {
			took, fromStore, err := scenario{replicas, minServing, versionInterval, swapTime, 1}.run()
			if err != nil {
				return nil, err
			}
			duration.X, duration.Y = append(duration.X, math.Log2(float64(replicas))), append(duration.Y, took.Seconds())
			if minServing == 0.5 {
				loads.X, loads.Y = append(loads.X, float64(replicas)), append(loads.Y, float64(fromStore))
			}
		}
		all = append(all, duration)
	}
	swaps := Series{Role: "owner", Name: "rollout, min_serving 0.9, 750 replicas", Variable: "swap time in s", Unit: "s", Target: 2,
		Scale: 1, LimitUnit: Time}
	for _, swap := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		took, _, err := scenario{replicasPerDataCentre, 0.9, versionInterval, swap, 1}.run()
		if err != nil {
			return nil, err
		}
		swaps.X, swaps.Y = append(swaps.X, swap.Seconds()), append(swaps.Y, took.Seconds())
	}
	supersededTimes, supersededLoads, err := supersededRollouts()
	if err != nil {
		return nil, err
	}
	return append(all, swaps, loads, supersededTimes, supersededLoads), nil
}

// supersededRollouts measures rollouts of a version that follows another one
// after 2 s. Owners then plan in round-robin time slots of one second, so that
// the duration depends on the number of owners.
func supersededRollouts() (duration, loads Series, err error) {
	duration = Series{Role: "owner", Name: "superseded rollout, 750 replicas", Variable: "owners", Unit: "s", Target: hostsPerDataCentre,
		Scale: 1, LimitUnit: Time}
	loads = duration
	loads.Name, loads.Unit, loads.Scale, loads.LimitUnit = "superseded rollout, loads from store", "loads", 0, ""
	for _, owners := range []int{5, 9, 18, hostsPerDataCentre} {
		took, fromStore, err := scenario{replicasPerDataCentre, 0.9, 5 * planInterval, swapTime, owners}.run()
		if err != nil {
			return duration, loads, err
		}
		duration.X, duration.Y = append(duration.X, float64(owners)), append(duration.Y, took.Seconds())
		loads.X, loads.Y = append(loads.X, float64(owners)), append(loads.Y, float64(fromStore))
	}
	return duration, loads, nil
}

// scenario is a rollout of one model in one data centre.
type scenario struct {
	replicas   int
	minServing float64
	gap        time.Duration // between the publication of versions 1 and 2
	swap       time.Duration
	owners     int
}

// run returns the time from the publication of version 2 until all replicas run
// it, and the number of loads from the store. All owners share one planner that
// observes the states of all replicas every planInterval, as owners do for
// watched replicas.
func (sc scenario) run() (took time.Duration, fromStore int, err error) {
	const limit = 10 * time.Minute
	start := time.Unix(1_700_000_000, 0)
	declared := place.Declarations{Version: 1, ConfigCurrent: true, Models: map[string]*declare.Model{
		"album": {Name: "album", Replicas: map[string]int{"dc-01": sc.replicas}, MinServing: sc.minServing}}}
	planner := place.NewPlanner("dc-01")
	var listed []place.Server
	engines, owner := map[string]*simulatedEngine{}, map[string]int{}
	for i := range sc.replicas {
		id := fmt.Sprintf("engine-%03d", i)
		listed = append(listed, place.Server{ID: id, Addr: id, Model: "album"})
		engines[id] = &simulatedEngine{state: engine.State{Model: "album", Version: 1, Role: engine.RoleMixed}}
		owner[id] = i % sc.owners
	}
	version := int64(1)
	for now := start; now.Sub(start) < limit; now = now.Add(planInterval) {
		if now.Sub(start) >= sc.gap {
			version = 2
		}
		planner.Update(now, declared, listed, func(string) int64 { return version }, nil)
		done := true
		for _, s := range listed {
			e := engines[s.ID]
			if e.state.Loading != 0 && !now.Before(e.loadedAt) {
				e.state.Version, e.state.Loading = e.state.Loading, 0
			}
			done = done && e.state.Version == 2
			planner.Observe(now, s.ID, e.state, true)
		}
		if done {
			return now.Sub(start) - sc.gap, fromStore, nil
		}
		for i := range sc.owners {
			owned := func(id string) bool { return owner[id] == i }
			for _, action := range planner.Plan(now, place.TimeSlot{Index: i, Count: sc.owners}, owned, owned).Actions {
				planner.RecordSent(now, action.Replica, action.Order)
				if action.Order.Kind == engine.OrderLoadVersion && action.Order.Source == "" {
					fromStore++
				}
				if action.Order.Kind == engine.OrderLoadVersion {
					e := engines[action.Replica]
					e.state.Loading, e.loadedAt = action.Order.Version, now.Add(sc.swap)
				}
			}
		}
	}
	return 0, 0, eris.Errorf("not all of %d replicas ran version 2 within %v", sc.replicas, limit)
}
