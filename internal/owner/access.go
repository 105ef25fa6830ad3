package owner

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// callerOf returns the caller of a request that a router sent.
func callerOf(req *peerpb.RunRequest) cluster.Caller {
	caller := cluster.Caller{Workspace: req.Workspace, Checked: req.Workspace != ""}
	copy(caller.Key[:], req.KeyHash)
	return caller
}

// readmit decides, after a request has waited for its admission to a replica, whether its
// key still permits to run it, and until when it may reach the engine. The key may be unknown
// because this host has not read a new configuration yet, so the router gets no 401.
func (c *Controller) readmit(req *peerpb.RunRequest) (time.Time, *cluster.Refusal) {
	expires, refusal := c.gate.Readmit(callerOf(req))
	if refusal != nil {
		refusal.Reason, refusal.BackendServer = cluster.ReasonNoPermission, req.Replica
	}
	return expires, refusal
}

// releaseUnsent releases the slot of an admitted request that is not sent.
func (c *Controller) releaseUnsent(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.admit.Done(id, false, time.Now()))
}
