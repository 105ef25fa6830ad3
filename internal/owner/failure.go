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
	// exclusionAfterFailure is how long a replica is excluded from admission
	// after a failure. States are read every second, so that one is read after
	// the failure before the exclusion ends.
	exclusionAfterFailure = 1500 * time.Millisecond
	// exclusionAfterTimeouts is how long a replica is excluded after progress
	// timeouts. It is longer because an engine whose streams make no progress may
	// still answer state reads.
	exclusionAfterTimeouts = 5 * time.Second
	// progressTimeoutsToExclude is the number of consecutive streams with a
	// progress timeout after which a replica is excluded. A single timeout may be
	// caused by the connection rather than the engine.
	progressTimeoutsToExclude = 2
	// crashMergeWindow is the time within which broken streams at a replica of
	// another owner count as one crash.
	crashMergeWindow = 3 * time.Second
	// crashConfirmDelay is the time from a crash until the replica's current state
	// is certain to have been read after it. States are read every second.
	crashConfirmDelay = 3 * time.Second
)

func (c *Controller) recordSuccess(replica cluster.Replica, req *peerpb.RunRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.progressTimeouts, replica.ID)
	c.clearSuspicion(req.Fingerprint, req.RequestId, now)
}

// recordFailure updates the exclusion of the replica and the suspicion of the
// request's content after a failed completion, and returns the refusal for the
// router.
func (c *Controller) recordFailure(ctx context.Context, replica cluster.Replica, req *peerpb.RunRequest, isolated bool,
	failure *engine.StreamError) error {
	c.recorder.Count("engine_failures_total", "failure", failure.Failure.String())
	klog.V(1).InfoS("completion failed at the engine", "replica", replica.ID, "request_id", req.RequestId, "err", failure)
	refusal := &cluster.Refusal{
		Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed,
		Message: fmt.Sprintf("replica %s: %v", replica.ID, failure.Failure), BackendServer: replica.ID,
	}
	if !failure.MayHaveReachedEngine() {
		refusal.Outcome = cluster.OutcomeNotRun
	}
	if c.config.Policy == PolicyBaseline {
		return refusal
	}
	now := time.Now()
	switch failure.Failure {
	case engine.FailureNotSent:
		c.exclude(replica, now.Add(exclusionAfterFailure))
	case engine.FailureBroken:
		refusal.StreamBroken = true
		c.recordLocalCrash(replica, req, isolated, now)
		if !c.engines.AcceptsConnections(ctx, replica.Addr) {
			c.exclude(replica, now.Add(exclusionAfterFailure))
		}
	case engine.FailureSilent:
		c.mu.Lock()
		c.progressTimeouts[replica.ID]++
		excluded := c.progressTimeouts[replica.ID] >= progressTimeoutsToExclude
		c.mu.Unlock()
		if excluded {
			c.exclude(replica, now.Add(exclusionAfterTimeouts))
		}
	}
	return refusal
}

func (c *Controller) exclude(replica cluster.Replica, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.excludedUntil[replica.ID]) {
		c.excludedUntil[replica.ID] = until
	}
	if owned, ok := c.replicas[replica.ID]; ok {
		c.setReplica(owned, time.Now())
	}
}

// crash is a suspected crash of a replica, recorded when a stream broke. For an
// owned replica, a state read afterwards confirms or refutes it.
type crash struct {
	id          string
	incarnation int64 // of the owned replica at the crash
	at          time.Time
}

func (c *Controller) recordLocalCrash(replica cluster.Replica, req *peerpb.RunRequest, isolated bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := replica.State.Incarnation
	id := fmt.Sprintf("%s/%d", replica.ID, incarnation)
	if last, ok := c.unconfirmedCrashes[replica.ID]; !ok || last.id != id {
		c.unconfirmedCrashes[replica.ID] = crash{id: id, incarnation: incarnation, at: now}
	}
	c.addSuspicion(req.Fingerprint, req.RequestId, replica.ID, id, isolated, now)
}

// addSuspicion records a crash for a fingerprint. The caller must hold c.mu.
func (c *Controller) addSuspicion(fingerprint, requestID, replica, crashID string, isolated bool, now time.Time) {
	if fingerprint != "" && c.suspects.RecordCrash(fingerprint, crashID, isolated, now) {
		c.recorder.Count("suspicions_total")
		c.recorder.RecordDecision("suspect", requestID, "fingerprint", fingerprint, "crash", crashID,
			"replica", replica, "solo", isolated)
	}
}

// RecordCrash adds a suspicion for the content of a request whose stream broke
// at a replica of another owner, so that the next attempt takes it into account
// before the exchange delivers the owner's suspicion. Streams that break at one
// replica within crashMergeWindow count as one crash.
func (c *Controller) RecordCrash(fingerprint, requestID, replica string, isolated bool) {
	if c.config.Policy == PolicyBaseline {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.remoteCrashes[replica]
	if !ok || now.Sub(last.at) > crashMergeWindow {
		last = crash{id: fmt.Sprintf("%s@%d", replica, now.UnixMilli()), at: now}
		c.remoteCrashes[replica] = last
	}
	c.addSuspicion(fingerprint, requestID, replica, last.id, isolated, now)
}

// ClearSuspicion clears the suspicion of content that got a complete response.
func (c *Controller) ClearSuspicion(fingerprint, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearSuspicion(fingerprint, requestID, time.Now())
}

func (c *Controller) clearSuspicion(fingerprint, requestID string, now time.Time) {
	if fingerprint != "" && c.suspects.Clear(fingerprint, now) {
		c.recorder.Count("suspicions_cleared_total")
		c.recorder.RecordDecision("suspect", requestID, "fingerprint", fingerprint, "cleared", true)
	}
}

// resolveCrash confirms or refutes the last suspected crash of a replica by a
// state read after it. If the incarnation is unchanged, the engine did not crash
// and only connections broke, so the suspicions from the crash are withdrawn. The
// caller must hold c.mu.
func (c *Controller) resolveCrash(r cluster.Replica, now time.Time) {
	last, ok := c.unconfirmedCrashes[r.ID]
	if !ok || now.Sub(last.at) < crashConfirmDelay || !r.Healthy {
		return
	}
	delete(c.unconfirmedCrashes, r.ID)
	if r.State.Incarnation == last.incarnation {
		withdrawn := c.suspects.Withdraw(last.id, now)
		c.recorder.Add("suspicions_withdrawn_total", int64(withdrawn))
	}
}

// expireRemoteCrashes removes crashes older than crashMergeWindow. The caller
// must hold c.mu.
func (c *Controller) expireRemoteCrashes(now time.Time) {
	for replica, last := range c.remoteCrashes {
		if now.Sub(last.at) > crashMergeWindow {
			delete(c.remoteCrashes, replica)
		}
	}
}
