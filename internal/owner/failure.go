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
	// sameCrash is the time within which streams that break at a replica of
	// another owner are taken for one crash.
	sameCrash = 3 * time.Second
	// confirmCrash is the time after a crash when a state that was read before
	// it can no longer be current; states are read every second.
	confirmCrash = 3 * time.Second
)

func (c *Controller) succeeded(replica cluster.Replica, req *peerpb.RunRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silent, replica.ID)
	c.clear(req.Fingerprint, req.RequestId, now)
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
	if !failure.MayHaveReached() {
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
		if !c.engines.AcceptsConnections(ctx, replica.Addr) {
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

// crash is the crash of a replica that its next states confirm or refute.
type crash struct {
	name        string
	incarnation int64
	at          time.Time
}

func (c *Controller) markCrash(replica cluster.Replica, req *peerpb.RunRequest, solo bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := replica.State.Incarnation
	name := fmt.Sprintf("%s/%d", replica.ID, incarnation)
	if last, ok := c.crashes[replica.ID]; !ok || last.name != name {
		c.crashes[replica.ID] = crash{name: name, incarnation: incarnation, at: now}
	}
	c.mark(req.Fingerprint, req.RequestId, replica.ID, name, solo, now)
}

// mark counts a crash for a fingerprint. The caller holds the lock.
func (c *Controller) mark(fingerprint, requestID, replica, name string, solo bool, now time.Time) {
	if fingerprint != "" && c.suspects.RecordCrash(fingerprint, name, solo, now) {
		c.recorder.Count("suspicions_total")
		c.recorder.Decision("suspect", requestID, "fingerprint", fingerprint, "crash", name,
			"replica", replica, "solo", solo)
	}
}

// RecordCrash marks content whose stream another owner reported as crashed, so
// that the next attempt does not depend on the owners' exchange. Streams that
// break at one replica at about the same time are one crash.
func (c *Controller) RecordCrash(fingerprint, requestID, replica string, solo bool) {
	if c.config.Policy == PolicyBaseline {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.remoteCrashes[replica]
	if !ok || now.Sub(last.at) > sameCrash {
		last = crash{name: fmt.Sprintf("%s@%d", replica, now.UnixMilli()), at: now}
		c.remoteCrashes[replica] = last
	}
	c.mark(fingerprint, requestID, replica, last.name, solo, now)
}

// ClearSuspicion clears the marks of content that got a whole answer.
func (c *Controller) ClearSuspicion(fingerprint, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clear(fingerprint, requestID, time.Now())
}

func (c *Controller) clear(fingerprint, requestID string, now time.Time) {
	if fingerprint != "" && c.suspects.Clear(fingerprint, now) {
		c.recorder.Count("suspicions_cleared_total")
		c.recorder.Decision("suspect", requestID, "fingerprint", fingerprint, "cleared", true)
	}
}

// noteState settles the last crash of a replica by a state read after it: the
// same incarnation means that only connections broke. The caller holds the lock.
func (c *Controller) noteState(r cluster.Replica, now time.Time) {
	last, ok := c.crashes[r.ID]
	if !ok || now.Sub(last.at) < confirmCrash || !r.Healthy {
		return
	}
	delete(c.crashes, r.ID)
	if r.State.Incarnation == last.incarnation {
		withdrawn := c.suspects.Withdraw(last.name, now)
		c.recorder.Add("suspicions_withdrawn_total", int64(withdrawn))
	}
}

// forgetCrashes drops crashes that no later stream can belong to. The caller
// holds the lock.
func (c *Controller) forgetCrashes(now time.Time) {
	for replica, last := range c.remoteCrashes {
		if now.Sub(last.at) > sameCrash {
			delete(c.remoteCrashes, replica)
		}
	}
}
