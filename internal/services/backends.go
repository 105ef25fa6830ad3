package services

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// avoidAfterFailure is the time for which a backend server is used only as a last
// resort after a call to it failed.
const avoidAfterFailure = 2 * time.Second

// backends balances calls over the backend servers of plain services.
type backends struct {
	inventory  cluster.Inventory
	limits     *limits.Controller
	dataCentre string
	recorder   *telemetry.Recorder

	mu      sync.Mutex
	states  map[string]*backendState
	notices *leaving.Notices
}

type backendState struct {
	inFlight   int
	totalCalls int // to balance calls over equally loaded servers
	failedAt   time.Time
}

func newBackends(inventory cluster.Inventory, limits *limits.Controller, dataCentre string, recorder *telemetry.Recorder) *backends {
	return &backends{inventory: inventory, limits: limits, dataCentre: dataCentre, recorder: recorder, states: make(map[string]*backendState), notices: leaving.NewNotices()}
}

const (
	// maxPatience is the longest time that a request waits for its turn at a server with
	// a rate limit. A longer queue would delay every request while there are more
	// requests than the limits allow.
	maxPatience = time.Second
	// patienceShare is the share of the time left that a request may wait, so that its
	// caller can return after a refusal.
	patienceShare = 0.25
)

// acquire selects a server of the service that is not in tried, and counts a call to
// it as in flight until release. A call to a server with a rate limit waits for its
// turn. If there is no server, the refusal says why.
func (b *backends) acquire(ctx context.Context, r *request, tried []string, now time.Time) (platform.BackendServer, *cluster.Refusal) {
	best, limited, anyLeaving := b.candidates(r.service.Name, tried, now)
	if best == nil && len(limited) == 0 {
		return platform.BackendServer{}, b.refusal(r, anyLeaving, len(tried) > 0)
	}
	left := r.deadline.Sub(now)
	choice := limits.Request{
		ID: r.id, Service: r.service.Name, Limited: candidatesOf(limited),
		Patience: min(time.Duration(patienceShare*float64(left)), maxPatience),
	}
	if best != nil {
		choice.Best = &ratelimit.Candidate{Server: best.ID}
		choice.Strained = b.recentlyFailed(best.ID, now)
		limited = append(limited, *best)
	}
	id := b.limits.Select(ctx, choice)
	for _, server := range limited {
		if server.ID != id {
			continue
		}
		if b.begin(server, time.Now()) {
			return server, nil
		}
		// The server has begun to leave while the call waited.
		b.recordTurnedAway(r)
		return b.acquire(ctx, r, append(slices.Clone(tried), id), time.Now())
	}
	refusal := notRun(cluster.ReasonRateLimited, "the backend servers of service "+r.service.Name+" accept no further request now")
	refusal.RetryAfter = b.limits.RetryAfter(candidatesOf(limited), left)
	return platform.BackendServer{}, refusal
}

func candidatesOf(servers []platform.BackendServer) []ratelimit.Candidate {
	list := make([]ratelimit.Candidate, len(servers))
	for i, s := range servers {
		list[i] = ratelimit.Candidate{Server: s.ID}
	}
	return list
}

func (b *backends) recentlyFailed(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.state(id).failedAt) < avoidAfterFailure
}

// candidates returns the best server that a call may be sent to now, or nil, and those
// that need a grant, the preferred ones first. Servers that have said that they are leaving
// are used only as a last resort; anyLeaving is set if there are others that are leaving.
func (b *backends) candidates(service string, tried []string, now time.Time) (best *platform.BackendServer, limited []platform.BackendServer, anyLeaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates, lastResorts []platform.BackendServer
	for _, server := range b.inventory.BackendServers() {
		if server.Kind != platform.KindService || server.Service != service || slices.Contains(tried, server.ID) {
			continue
		}
		staying, lastResort := b.standing(server, now)
		switch {
		case server.Leaving:
			anyLeaving = true
		case staying:
			candidates = append(candidates, server)
		case lastResort:
			lastResorts = append(lastResorts, server)
		default:
			anyLeaving = true
		}
	}
	if len(candidates) == 0 {
		candidates = lastResorts
	}
	slices.SortFunc(candidates, func(x, y platform.BackendServer) int { return b.compare(x, y, now) })
	for _, s := range candidates {
		switch {
		case b.limits.State(ratelimit.Candidate{Server: s.ID}, now) == ratelimit.Limited:
			limited = append(limited, s)
		case best == nil:
			best = &s
		}
	}
	return best, limited, anyLeaving
}

// retainLimits removes what is known of the limits of servers that are no longer in the
// host list.
func (b *backends) retainLimits() {
	listed := make(map[string]bool)
	for _, server := range b.inventory.BackendServers() {
		listed[server.ID] = true
	}
	b.limits.Retain(func(id string) bool { return listed[id] })
}

// observe records what the header of a server's response says about the server.
func (b *backends) observe(server platform.BackendServer, requestID string, response *http.Response, sent time.Time) {
	b.observeLeaving(server, requestID, response, time.Now())
	b.observeLimit(server, response, sent)
}

// observeLimit records what a response of a server says about its rate limit.
func (b *backends) observeLimit(server platform.BackendServer, response *http.Response, sent time.Time) {
	b.limits.ObserveHeader(server.Service, ratelimit.Candidate{Server: server.ID}, response, sent)
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
