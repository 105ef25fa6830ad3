package fronthost

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	corepool "github.com/sesamestand/sesamestand/internal/core/pool"
	"github.com/sesamestand/sesamestand/internal/pool"
)

// poolSource implements pool.Source with the tables of this host. Its methods are not
// called concurrently.
type poolSource struct {
	host    *Host
	demands *pool.Demands
}

// PoolInput implements pool.Source.
func (s *poolSource) PoolInput(now time.Time) corepool.Input {
	h := s.host
	in := corepool.Input{Now: now, RegistryAge: h.serverFollower.Staleness(), DemandAge: h.demandAge()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Config != nil {
		in.Services = pool.Services(h.state.Config, h.serversByService, s.demands.Of(h.jobs, h.demandOf, now))
	}
	return in
}

// demandAge returns the age of the oldest of the partitions with jobs, each as it was last
// read to its end. It must not be called under mu.
func (h *Host) demandAge() time.Duration {
	config := h.Config()
	if config == nil {
		return 0
	}
	return h.partitionsAge(h.modelPartitions(config))
}

// demandOf returns the service of a job if its number of servers can be changed, and how
// long after its submission its results are due. The caller holds mu.
func (h *Host) demandOf(e *jobs.Entry) (string, time.Duration) {
	route := h.routeOf(e)
	if route == nil {
		return "", 0
	}
	service := serviceOf(route, e.Job.ID)
	if h.state.Config.Services[service].Scale == nil {
		return "", 0
	}
	return service, route.Due
}
