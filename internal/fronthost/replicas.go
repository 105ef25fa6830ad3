package fronthost

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
)

// replicas returns the replicas for a job as input for the scheduler. If none is
// assigned to the job's model, all count as assigned. The caller holds host.mu.
func (r *runner) replicas(e *jobs.Entry) []schedule.Replica {
	h := r.host
	route := h.routeOf(e)
	if route == nil {
		return nil
	}
	service := serviceOf(route, e.Job.ID)
	servers := h.serversByService[service]
	memory := h.state.Config.Services[service].MemoryTokens
	now := time.Now()
	candidates := make([]schedule.Replica, 0, len(servers))
	anyAssigned := false
	for _, s := range servers {
		p := h.placement(s.ID)
		candidate := schedule.Replica{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, LeavesAt: s.LeavesAt, MemoryTokens: memory, Version: h.versionOf(s.ID, e.Job.Model)}
		candidate.Grants, candidate.RateLimited = h.limits.Available(candidateOf(&s), now)
		candidate.Usable = !s.Leaving && p.Loading != e.Job.Model
		if p.serves(e.Job.Model) {
			anyAssigned = true
		} else {
			candidate.Unassigned = true
		}
		candidates = append(candidates, candidate)
	}
	if !anyAssigned {
		for i := range candidates {
			candidates[i].Unassigned = false
		}
	}
	h.excludeUnreachable(candidates, now)
	return candidates
}

// anyLeaving reports whether a replica for a job is leaving at a known time. The caller holds
// host.mu.
func (r *runner) anyLeaving(e *jobs.Entry) bool {
	route := r.host.routeOf(e)
	if route == nil {
		return false
	}
	servers := r.host.serversByService[serviceOf(route, e.Job.ID)]
	return slices.ContainsFunc(servers, func(s deployment.Server) bool { return !s.LeavesAt.IsZero() })
}
