package services

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// avoidAfterFailure is the time for which a backend server is used only as a last
// resort after a call to it failed.
const avoidAfterFailure = 2 * time.Second

// backends balances calls over the backend servers of plain services.
type backends struct {
	inventory  cluster.Inventory
	dataCentre string

	mu     sync.Mutex
	states map[string]*backendState
}

type backendState struct {
	inFlight   int
	totalCalls int // to balance calls over equally loaded servers
	failedAt   time.Time
}

func newBackends(inventory cluster.Inventory, dataCentre string) *backends {
	return &backends{inventory: inventory, dataCentre: dataCentre, states: make(map[string]*backendState)}
}

// acquire selects a server of the service that is not in tried, and counts a
// call to it as in flight until release.
func (b *backends) acquire(service string, tried []string, now time.Time) (platform.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []platform.BackendServer
	for _, server := range b.inventory.BackendServers() {
		if server.Kind == platform.KindService && server.Service == service && !server.Leaving && !slices.Contains(tried, server.ID) {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return platform.BackendServer{}, false
	}
	chosen := slices.MinFunc(candidates, func(x, y platform.BackendServer) int { return b.compare(x, y, now) })
	state := b.state(chosen.ID)
	state.inFlight++
	state.totalCalls++
	return chosen, true
}

// compare orders servers by preference: those without a recent failure, then
// those of the local data centre, then those with the fewest calls in flight.
func (b *backends) compare(x, y platform.BackendServer, now time.Time) int {
	sx, sy := b.state(x.ID), b.state(y.ID)
	return cmp.Or(
		compareBool(now.Sub(sx.failedAt) < avoidAfterFailure, now.Sub(sy.failedAt) < avoidAfterFailure),
		compareBool(x.DataCentre != b.dataCentre, y.DataCentre != b.dataCentre),
		cmp.Compare(sx.inFlight, sy.inFlight),
		cmp.Compare(sx.totalCalls, sy.totalCalls),
		cmp.Compare(x.ID, y.ID),
	)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

func (b *backends) state(id string) *backendState {
	if b.states[id] == nil {
		b.states[id] = &backendState{}
	}
	return b.states[id]
}

// release records the end of a call. The argument failed reports that the call
// ended without a usable response.
func (b *backends) release(id string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(id)
	state.inFlight--
	if failed {
		state.failedAt = now
	} else {
		state.failedAt = time.Time{}
	}
}
