package services

import (
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// leavingRetryAfter is the delay after which a caller should retry when all servers of a
// service are leaving: new ones need some time to start and to be listed.
const leavingRetryAfter = time.Second

// instanceOf identifies a server by its ID and address, because the host list has no
// incarnations.
func instanceOf(server platform.BackendServer) leaving.Instance {
	return leaving.Instance{ID: server.ID + " " + server.Addr}
}

// listed returns a function that reports whether an instance is in the host list.
func (b *backends) listed() func(leaving.Instance) bool {
	instances := make(map[leaving.Instance]bool)
	for _, server := range b.inventory.BackendServers() {
		instances[instanceOf(server)] = true
	}
	return func(i leaving.Instance) bool { return instances[i] }
}

// observeLeaving records that a server said in a response that it is leaving.
func (b *backends) observeLeaving(server platform.BackendServer, requestID string, response *http.Response, now time.Time) {
	if !platform.SaysLeaving(response) {
		return
	}
	listed := b.listed()
	b.mu.Lock()
	learned := b.notices.Add(instanceOf(server), now, listed)
	b.mu.Unlock()
	if learned {
		b.recorder.RecordDecision("server-leaving", requestID, "server", server.ID, "addr", server.Addr, "status", response.StatusCode)
		b.recorder.Count("leaving_notices_total", "service", server.Service)
	}
}

// recordTurnedAway records that a call was not sent because its servers are leaving.
func (b *backends) recordTurnedAway(r *request) {
	b.recorder.RecordDecision("turned-away", r.id, "service", r.service.Name)
	b.recorder.Count("turned_away_total", "service", r.service.Name)
}

// refusal returns the refusal of a call that no server can take; anyLeaving is set if
// there are servers that are leaving, and tried if the call was sent to others.
func (b *backends) refusal(r *request, anyLeaving, tried bool) *cluster.Refusal {
	refusal := notRun(cluster.ReasonNoReplica, "no backend server of service "+r.service.Name+" is known")
	if anyLeaving {
		b.recordTurnedAway(r)
	}
	if anyLeaving && !tried {
		refusal.Message = "all backend servers of service " + r.service.Name + " are leaving"
		refusal.RetryAfter = leavingRetryAfter
	}
	return refusal
}

// retainNotices removes the notices of servers that are no longer in the host list.
func (b *backends) retainNotices() {
	listed := b.listed()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.Retain(listed)
}

// standing reports whether a server has not said that it is leaving, and otherwise
// whether it may still get calls that no other server can take. The caller holds mu.
func (b *backends) standing(server platform.BackendServer, now time.Time) (staying, lastResort bool) {
	until, known := b.notices.LastResortUntil(instanceOf(server))
	return !known, now.Before(until)
}

// begin counts a call to a server as in flight, unless the server must not get it.
func (b *backends) begin(server platform.BackendServer, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if staying, lastResort := b.standing(server, now); !staying && !lastResort {
		return false
	}
	state := b.state(server.ID)
	state.inFlight++
	state.totalCalls++
	return true
}
