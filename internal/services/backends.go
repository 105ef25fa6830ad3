package services

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// avoidAfterFailure is how long a backend server whose connection failed is
// used only when no other is left.
const avoidAfterFailure = 2 * time.Second

// backends chooses among the backend servers of plain services.
type backends struct {
	inventory  cluster.Inventory
	dataCentre string

	mu     sync.Mutex
	states map[string]*backendState
}

type backendState struct {
	inFlight int
	calls    int // to spread calls over equally loaded servers
	failedAt time.Time
}

func newBackends(inventory cluster.Inventory, dataCentre string) *backends {
	return &backends{inventory: inventory, dataCentre: dataCentre, states: make(map[string]*backendState)}
}

// take chooses a server of the service and counts a call to it until release.
// It passes over servers in tried.
func (b *backends) take(service string, tried []string, now time.Time) (platform.BackendServer, bool) {
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
	state.calls++
	return chosen, true
}

// compare orders servers: working ones, then the own data centre, then the
// fewest calls in flight.
func (b *backends) compare(x, y platform.BackendServer, now time.Time) int {
	sx, sy := b.state(x.ID), b.state(y.ID)
	return cmp.Or(
		compareBool(now.Sub(sx.failedAt) < avoidAfterFailure, now.Sub(sy.failedAt) < avoidAfterFailure),
		compareBool(x.DataCentre != b.dataCentre, y.DataCentre != b.dataCentre),
		cmp.Compare(sx.inFlight, sy.inFlight),
		cmp.Compare(sx.calls, sy.calls),
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

// release ends a call. Failed says that the connection failed or fell silent.
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
