package fronthost

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
)

// targetOf returns the target of calls to a registered server.
func targetOf(s *deployment.Server) backend.Target {
	return backend.Target{ID: s.ID, Addr: s.Addr, Incarnation: s.Incarnation}
}

// observeLeaving applies the notice of a server that it is leaving. It returns before the
// response is passed on, so that no request that arrives after the response is sent to
// the server.
func (h *Host) observeLeaving(notice backend.LeavingNotice) {
	h.mu.Lock()
	instance := leaving.Instance{ID: notice.Target.ID, Incarnation: notice.Target.Incarnation}
	if notice.Other {
		server := h.state.Servers.Get(notice.Target.ID)
		if server == nil || server.Addr != notice.Target.Addr {
			h.mu.Unlock()
			return
		}
		instance.Incarnation = server.Incarnation
	}
	learned := h.state.LearnLeaving(instance, time.Now())
	if learned {
		h.refreshServers()
		h.wakeRunners()
	}
	h.mu.Unlock()
	if !learned {
		return
	}
	h.recorder.RecordDecision("server-leaving", notice.RequestID, "server", instance.ID, "started", instance.Incarnation, "call", string(notice.Call), "status", notice.Status)
	h.recorder.Count("leaving_notices_total", "call", string(notice.Call))
}

// recordTurnedAway records that work was not sent because its server is leaving.
func (h *Host) recordTurnedAway(id string, call backend.CallKind, details ...any) {
	h.recorder.RecordDecision("turned-away", id, append([]any{"call", string(call)}, details...)...)
	h.recorder.Count("turned_away_total", "call", string(call))
}

// acceptsOrders reports whether a target is still registered and is not leaving.
func (h *Host) acceptsOrders(t backend.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state.Servers.Get(t.ID)
	return s != nil && s.Incarnation == t.Incarnation && !s.Leaving
}
