package owner

import (
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/platform"
)

func instanceOf(r cluster.Replica) leaving.Instance {
	return leaving.Instance{ID: r.ID, Incarnation: r.State.Incarnation}
}

// observeResponse applies what the header of an engine's response says about the engine.
func (c *Controller) observeResponse(addr, requestID string, response *http.Response, sent time.Time) {
	if platform.SaysLeaving(response) {
		c.observeLeaving(addr, requestID, response.StatusCode, time.Now())
	}
	c.observeLimit(addr, response, sent)
}

// observeLeaving marks the owned replica at an address as leaving. The requests in its
// queue are refused as not run, so that routers send them to other replicas.
func (c *Controller) observeLeaving(addr, requestID string, status int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := func(i leaving.Instance) bool {
		r, ok := c.replicas[i.ID]
		return ok && instanceOf(r) == i
	}
	for id, r := range c.replicas {
		if r.Addr != addr || !c.notices.Add(instanceOf(r), now, owned) {
			continue
		}
		c.recorder.RecordDecision("server-leaving", requestID, "server", id, "started", r.State.Incarnation, "status", status)
		c.recorder.Count("leaving_notices_total", "service", r.Model)
		c.replicas[id] = c.applyNotice(r)
		c.setReplica(c.replicas[id], now)
	}
}

// applyNotice returns the replica, marked as leaving if it has said so, also in its state.
// The caller holds mu.
func (c *Controller) applyNotice(r cluster.Replica) cluster.Replica {
	_, known := c.notices.LastResortUntil(instanceOf(r))
	r.Leaving = r.Leaving || known || r.State.Leaving
	return r
}
