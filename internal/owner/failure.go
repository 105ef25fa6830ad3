package owner

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	// outAfterFailure keeps a replica out until its state was read back after
	// the failure; states are read every second.
	outAfterFailure = 1500 * time.Millisecond
	// outAfterSilence is longer: a replica with silent connections may still
	// answer the reading of its state.
	outAfterSilence = 5 * time.Second
	// silentStreamsToOut is the number of silent streams in a row after which
	// a replica is out. The first may be one silent connection.
	silentStreamsToOut = 2
)

func (c *Controller) succeeded(replica cluster.Replica, req *peerpb.RunRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silent, replica.ID)
	if req.Fingerprint != "" && c.suspects.Clear(req.Fingerprint, now) {
		c.recorder.Count("suspicions_cleared_total")
		c.recorder.Decision("suspect", req.RequestId, "fingerprint", req.Fingerprint, "cleared", true)
	}
}

// failed records what a broken completion says about the replica and the
// content, and returns the refusal for the router.
func (c *Controller) failed(ctx context.Context, replica cluster.Replica, req *peerpb.RunRequest, solo bool,
	failure *engine.StreamError) error {
	c.recorder.Count("engine_failures_total", "failure", failure.Failure.String())
	klog.V(1).InfoS("engine failed", "replica", replica.ID, "request_id", req.RequestId, "err", failure)
	refusal := &cluster.Refusal{
		Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed,
		Message: fmt.Sprintf("replica %s: %v", replica.ID, failure.Failure), BackendServer: replica.ID,
	}
	if !failure.Reached() {
		refusal.Outcome = cluster.OutcomeNotRun
	}
	if c.config.Policy == PolicyBaseline {
		return refusal
	}
	now := time.Now()
	switch failure.Failure {
	case engine.FailureNotSent:
		c.takeOut(replica, now.Add(outAfterFailure))
	case engine.FailureBroken:
		refusal.Crashed = true
		c.markCrash(replica, req, solo, now)
		if !c.engines.Accepts(ctx, replica.Addr) {
			c.takeOut(replica, now.Add(outAfterFailure))
		}
	case engine.FailureSilent:
		c.mu.Lock()
		c.silent[replica.ID]++
		out := c.silent[replica.ID] >= silentStreamsToOut
		c.mu.Unlock()
		if out {
			c.takeOut(replica, now.Add(outAfterSilence))
		}
	}
	return refusal
}

func (c *Controller) takeOut(replica cluster.Replica, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.out[replica.ID]) {
		c.out[replica.ID] = until
	}
	if owned, ok := c.replicas[replica.ID]; ok {
		c.setReplica(owned, time.Now())
	}
}

func crashName(replica string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", replica, incarnation)
}

func (c *Controller) markCrash(replica cluster.Replica, req *peerpb.RunRequest, solo bool, now time.Time) {
	if req.Fingerprint == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects.Crashed(req.Fingerprint, crashName(replica.ID, replica.State.Incarnation), solo, now) {
		c.recorder.Count("suspicions_total")
		c.recorder.Decision("suspect", req.RequestId, "fingerprint", req.Fingerprint,
			"replica", replica.ID, "solo", solo)
	}
}

// noteIncarnation is called with each state read back. The caller holds the lock.
func (c *Controller) noteIncarnation(cluster.Replica, time.Time) {}
