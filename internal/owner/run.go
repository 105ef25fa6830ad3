package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/admit"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// Run implements peer.RunHandler. It runs a generation for the router of another
// host and streams the chunks, or a refusal, back to it.
func (c *Controller) Run(req *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.RunChunk]) error {
	err := c.RunLocal(stream.Context(), req, func(chunk engine.Chunk) error {
		return stream.Send(&peerpb.RunChunk{
			RequestId: chunk.RequestID, Index: int32(chunk.Index), Token: chunk.Token,
			WeightVersion: chunk.WeightVersion, FinishReason: chunk.FinishReason,
		})
	})
	var refusal *cluster.Refusal
	if errors.As(err, &refusal) {
		return stream.Send(&peerpb.RunChunk{RequestId: req.RequestId, Refusal: &peerpb.Refusal{
			Outcome: string(refusal.Outcome), Reason: string(refusal.Reason), Message: refusal.Message,
			BackendServer: refusal.BackendServer, Crashed: refusal.StreamBroken,
		}})
	}
	return err
}

// RunLocal admits a generation, runs it on the engine and calls sink for each
// chunk. Except under PolicyBaseline, a generation with Solo set or with suspected
// content runs isolated, that is, without other requests on the replica.
//
// RunLocal returns nil after the chunk with the finish reason, a
// *cluster.Refusal, the error of sink, or the error of ctx. If ctx ends before
// the engine was contacted, it returns a refusal with the outcome "not-run".
func (c *Controller) RunLocal(ctx context.Context, req *peerpb.RunRequest, sink func(engine.Chunk) error) error {
	replica, refusal := c.checkReplica(req)
	if refusal != nil {
		return c.refuse(req, refusal)
	}
	isolated := req.Solo
	switch c.Verdict(req.Fingerprint) {
	case suspect.Refuse:
		return c.refuse(req, notRun(cluster.ReasonCrashInducing, req.Replica,
			"requests with this content crashed backend servers before"))
	case suspect.RunIsolated:
		isolated = true
	}
	if c.config.Policy == PolicyBaseline {
		isolated = false
	}
	id, err := c.awaitAdmission(ctx, req, isolated)
	if err != nil {
		var refusal *cluster.Refusal
		if errors.As(err, &refusal) {
			return c.refuse(req, refusal)
		}
		return err
	}
	expires, refusal := c.readmit(req)
	if refusal != nil {
		c.releaseUnsent(id)
		return c.refuse(req, refusal)
	}
	return c.runOnEngine(ctx, id, replica, req, isolated, expires, sink)
}

// checkReplica returns the replica if this host owns it and it can serve the
// request, and a refusal otherwise.
func (c *Controller) checkReplica(req *peerpb.RunRequest) (cluster.Replica, *cluster.Refusal) {
	replica, ok := c.ownedReplica(req.Replica)
	if !ok {
		c.refresh(time.Now())
		replica, ok = c.ownedReplica(req.Replica)
	}
	switch {
	case !ok:
		return replica, notRun(cluster.ReasonNotOwner, req.Replica, "this host does not own the replica")
	case replica.Leaving:
		return replica, notRun(cluster.ReasonDraining, req.Replica, "the replica is leaving")
	case replica.Healthy && replica.State.Model != req.Model:
		return replica, notRun(cluster.ReasonNoReplica, req.Replica, "the replica runs another model")
	case req.Adapter != "" && !slices.Contains(replica.State.Adapters, req.Adapter):
		return replica, notRun(cluster.ReasonNoReplica, req.Replica, "the adapter is not loaded")
	case replica.State.Version < req.MinVersion:
		return replica, notRun(cluster.ReasonNoReplica, req.Replica, fmt.Sprintf(
			"the replica runs weight version %d; %d is needed", replica.State.Version, req.MinVersion))
	}
	return replica, nil
}

func (c *Controller) ownedReplica(id string) (cluster.Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.replicas[id]
	return r, ok
}

// awaitAdmission enqueues a request and waits for its admission. It returns the
// ID of the request; for an admitted one, admit.Controller.Done must be called.
func (c *Controller) awaitAdmission(ctx context.Context, req *peerpb.RunRequest, isolated bool) (uint64, error) {
	now := time.Now()
	request := admit.Request{
		Replica: req.Replica, Trainer: req.Trainer, Share: c.trainerShare(req.Trainer), Isolated: isolated,
		MaxTokens: max(0, int(req.MaxTokens)-len(req.Delivered)),
	}
	if req.DeadlineMs > 0 {
		request.Deadline = now.Add(time.Duration(req.DeadlineMs) * time.Millisecond)
	}
	result := make(chan admit.Action, 1)
	c.mu.Lock()
	c.nextID++
	request.ID = c.nextID
	c.waiting[request.ID] = result
	request.Class, request.Priority = c.precedence(req, now)
	c.dispatch(c.admit.Enqueue(request, now))
	c.mu.Unlock()

	select {
	case action := <-result:
		c.recordTurn(req, action.Kind == admit.Start)
		return request.ID, c.admissionResult(req, action)
	case <-ctx.Done():
		c.cancelRequest(request.ID)
		c.recordTurn(req, false)
		return 0, notRun(cluster.ReasonDeadline, req.Replica, "the request ended while it waited")
	}
}

// admissionResult returns nil if the request was admitted, and the refusal
// otherwise.
func (c *Controller) admissionResult(req *peerpb.RunRequest, action admit.Action) error {
	c.recorder.Observe("queue_wait_seconds", action.Wait.Seconds())
	if action.Kind == admit.Start {
		return nil
	}
	switch action.Cause {
	case admit.CauseDeadline:
		return notRun(cluster.ReasonDeadline, req.Replica, "the deadline cannot be met at this replica")
	case admit.CauseLeaving:
		return notRun(cluster.ReasonDraining, req.Replica, "the replica is leaving")
	case admit.CauseUnknownReplica:
		return notRun(cluster.ReasonNotOwner, req.Replica, "this host does not own the replica")
	case admit.CauseUnhealthy:
		return notRun(cluster.ReasonNoReplica, req.Replica, "the replica is not healthy")
	default:
		return notRun(cluster.ReasonOverload, req.Replica, "the queue of the replica is full")
	}
}

// cancelRequest removes a request whose context ended, either from the queue or,
// if it was admitted at the same moment, from the running requests.
func (c *Controller) cancelRequest(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	now := time.Now()
	actions, waited := c.admit.Cancel(id, now)
	if !waited {
		actions = c.admit.Done(id, false, now)
	}
	c.dispatch(actions)
}

// trainerShare returns the trainer's declared weight in fair sharing, or 1 if
// the trainer is not declared.
func (c *Controller) trainerShare(trainer string) float64 {
	set, _ := c.configs.Current()
	if set == nil || set.Trainers[trainer] == nil {
		return 1
	}
	return set.Trainers[trainer].Share
}

// runOnEngine runs an admitted request on its engine and releases its slot at
// the end.
func (c *Controller) runOnEngine(ctx context.Context, id uint64, replica cluster.Replica, req *peerpb.RunRequest,
	isolated bool, expires time.Time, sink func(engine.Chunk) error) error {
	engineID := callerOf(req).QualifyID(req.RequestId)
	lastChunkAt := time.Now()
	err := c.engines.Stream(ctx, replica.Addr, engine.GenerateRequest{
		RequestID: engineID, Model: req.Model, Adapter: req.Adapter, Prompt: req.Prompt,
		Delivered: req.Delivered, MaxTokens: int(req.MaxTokens), Temperature: req.Temperature, Seed: req.Seed,
		Workspace: req.Workspace, Expires: expires,
	}, func(chunk engine.Chunk) error {
		gap := time.Since(lastChunkAt)
		c.mu.Lock()
		c.admit.ObserveToken(id, gap)
		c.mu.Unlock()
		// Excludes the time in sink, so that a slow caller does not count as a
		// slow engine.
		defer func() { lastChunkAt = time.Now() }()
		chunk.RequestID = req.RequestId // the engine's is engineID, which engine.Client checks
		return sink(chunk)
	})
	now := time.Now()
	c.mu.Lock()
	c.dispatch(c.admit.Done(id, err == nil, now))
	c.mu.Unlock()
	if err == nil {
		c.recordSuccess(replica, req, now)
		return nil
	}
	var failure *engine.StreamError
	if !errors.As(err, &failure) {
		return err
	}
	return c.recordFailure(ctx, replica, req, isolated, failure)
}

// refuse counts and logs a refusal and returns it as an error.
func (c *Controller) refuse(req *peerpb.RunRequest, refusal *cluster.Refusal) error {
	c.recorder.Count("owner_refusals_total", "reason", string(refusal.Reason))
	c.recorder.RecordDecision("admit", req.RequestId, "replica", req.Replica, "refused", refusal.Reason,
		"class", int(req.Class), "trainer", req.Trainer)
	return refusal
}

func notRun(reason cluster.Reason, replica, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message, BackendServer: replica}
}
