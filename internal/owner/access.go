package owner

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
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
	expires, refusal := c.gate.Readmit(callerOf(req), req.RequestId)
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

// precedence returns the class and the priority by which a request is queued. The priority
// of a caller's workspace takes precedence over the request's class: 0 is interactive, 1 is
// batch, and higher ones come after batch requests. A workspace that should leave its turn
// to another one gets the next lower priority. Samples of trainers keep their class, because
// the trainers' shares order them. The caller must hold c.mu.
func (c *Controller) precedence(req *peerpb.RunRequest, now time.Time) (declare.Class, int64) {
	class := declare.Class(req.Class)
	if req.Workspace == "" || class >= declare.ClassTraining {
		return class, req.Priority
	}
	priority := c.gate.Workspaces().Named(req.Workspace).PriorityOr(int(class))
	if c.turns.Yields(req.Workspace, now) {
		priority++
	}
	if priority <= int(declare.ClassInteractive) {
		return declare.ClassInteractive, req.Priority
	}
	return declare.ClassBatch, int64(priority) - int64(declare.ClassBatch)
}

// recordTurn records whether a caller's request was served, for the turns of workspaces.
func (c *Controller) recordTurn(req *peerpb.RunRequest, served bool) {
	if req.Workspace == "" || declare.Class(req.Class) >= declare.ClassTraining {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns.Record(req.Workspace, served, time.Now())
}
