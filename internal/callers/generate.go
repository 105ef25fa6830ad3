package callers

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// maxRouteBlocks is the maximum number of prefix blocks used for routing. They
	// cover 8 KiB of prompt.
	maxRouteBlocks = 128
	// baselineAttempts is the maximum number of attempts of the baseline policy.
	baselineAttempts = 3
	// maxLoadRefusals is the number of refusals because of load after which a
	// request is refused. Further attempts would amplify an overload.
	maxLoadRefusals = 3
)

// Generate implements cluster.Generator.
func (c *Controller) Generate(ctx context.Context, gen cluster.Generation, sink func(engine.Chunk) error) error {
	return c.generate(ctx, gen, false, sink)
}

// run is the state of one generation.
type run struct {
	c            *Controller
	gen          cluster.Generation
	sink         func(engine.Chunk) error
	tracker      *flight.Tracker
	fingerprint  string   // identifies content that may crash engines; empty if it cannot
	blocks       []uint64 // hashes of the prompt's prefix blocks
	tokens       []string // delivered tokens
	loadRefusals int      // refusals because of load or the deadline
	sinkErr      error
}

// generate runs a generation and calls sink for each chunk in index order. Set
// reached if an earlier attempt under the request ID reached, or may have
// reached, a backend server.
func (c *Controller) generate(ctx context.Context, gen cluster.Generation, reached bool, sink func(engine.Chunk) error) error {
	if gen.RequestID == "" {
		gen.RequestID = newRequestID()
	}
	r := &run{
		c: c, gen: gen, sink: sink, tracker: flight.New(c.budget, reached, c.config.ReplicaWaitTimeout),
		blocks: prefixBlocks(gen.Model, gen.Prompt),
	}
	// Samples of trainers do not crash engines: one under which engines crashed is
	// still owed, and the samples of its group have the same content.
	if gen.Class < declare.ClassTraining {
		content := suspect.Fingerprint(gen.Model, gen.Adapter, gen.Prompt, gen.MaxTokens, gen.Temperature)
		r.fingerprint = suspect.InWorkspace(gen.Caller.Workspace, content)
	}
	c.mu.Lock()
	actions := r.tracker.Begin(time.Now())
	c.mu.Unlock()
	for {
		// The last action starts an attempt or finishes the request. Attempts have
		// ended when their actions are returned, so that no Cancel needs handling.
		action := actions[len(actions)-1]
		if action.Kind == flight.Finish {
			return r.result(ctx, action)
		}
		actions = r.runAttempt(ctx, action)
	}
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// prefixBlocks returns the chained hashes of the prompt's prefix blocks, shortest
// prefix first.
func prefixBlocks(model, prompt string) []uint64 {
	hashes := engine.PrefixHashes(model, prompt[:min(len(prompt), maxRouteBlocks*engine.PrefixBlockBytes)])
	blocks := make([]uint64, 0, len(hashes))
	for _, text := range hashes {
		if block, err := strconv.ParseUint(text, 16, 64); err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// runAttempt selects a replica, runs one attempt there and returns the next
// actions.
func (r *run) runAttempt(ctx context.Context, action flight.Action) []flight.Action {
	if !sleep(ctx, action.Delay) {
		return r.stop(flight.Failure{Reason: string(cluster.ReasonNoReplica), Message: "the caller left while no replica could serve"})
	}
	if _, refusal := r.c.gate.Readmit(r.gen.Caller, r.gen.RequestID); refusal != nil {
		return r.reportFailure(action.Attempt, flight.Failure{
			NonRetryable: true, Reason: string(refusal.Reason), Message: refusal.Message,
		})
	}
	verdict := r.c.owner.Verdict(r.fingerprint)
	if verdict == suspect.Refuse {
		return r.reportFailure(action.Attempt, flight.Failure{
			NonRetryable: true, Reason: string(cluster.ReasonCrashInducing),
			Message: "requests with this content crashed backend servers before",
		})
	}
	isolated := verdict == suspect.RunIsolated
	chosen := r.chooseReplica(isolated)
	if chosen == nil {
		return r.reportFailure(action.Attempt, flight.Failure{
			NonRetryable: true, NoReplica: true, Reason: string(cluster.ReasonNoReplica),
			Message: fmt.Sprintf("no replica of model %q can take the request", r.gen.Model),
		})
	}
	sent := r.c.recordSent(chosen.Replica, r.blocks)
	finished := false
	err := r.c.callOwner(ctx, chosen, r.runRequest(ctx, chosen, isolated), func(chunk engine.Chunk) error {
		var err error
		finished, err = r.handleChunk(action.Attempt, chunk)
		return err
	})
	r.c.recordEnd(sent)
	r.updateSuspicion(chosen, isolated, finished, err)
	switch {
	case finished:
		return []flight.Action{{Kind: flight.Finish, Outcome: flight.Completed}}
	case r.sinkErr != nil || ctx.Err() != nil:
		return r.stop(flight.Failure{Reached: !isNotRun(err)})
	case err == nil:
		err = errors.New("the owner ended the stream without a finish reason")
	}
	return r.reportFailure(action.Attempt, r.attemptFailure(action.Attempt, chosen, err))
}

func isNotRun(err error) bool {
	var refusal *cluster.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == cluster.OutcomeNotRun
}

// sleep waits for the delay. It returns false if ctx ended meanwhile.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// updateSuspicion records the effect of an attempt at a remote owner on the
// suspicion of the request's content. The owner sends the same change to this host
// only with the next periodic exchange; until then, this host would act on
// outdated suspicions.
func (r *run) updateSuspicion(chosen *route.Candidate, isolated, finished bool, err error) {
	var refusal *cluster.Refusal
	switch {
	case chosen.Owner == r.c.members.Self().ID:
	case finished:
		r.c.owner.ClearSuspicion(r.fingerprint, r.gen.RequestID)
	case errors.As(err, &refusal) && refusal.StreamBroken:
		r.c.owner.RecordCrash(r.fingerprint, r.gen.RequestID, chosen.Replica, isolated)
	}
}

// errMissingChunk ends an attempt whose stream skipped a chunk index.
var errMissingChunk = errors.New("the stream lost a chunk")

// handleChunk passes a chunk to the sink if the tracker asks to deliver it. It
// reports whether the generation is complete. Chunks of other requests are
// ignored.
func (r *run) handleChunk(attempt int, chunk engine.Chunk) (finished bool, err error) {
	if chunk.RequestID != r.gen.RequestID {
		return false, nil
	}
	if chunk.Index > r.tracker.Delivered() {
		return false, errMissingChunk
	}
	for _, action := range r.tracker.Chunk(attempt, chunk.Index, chunk.FinishReason != "", time.Now()) {
		switch action.Kind {
		case flight.Deliver:
			r.tokens = append(r.tokens, chunk.Token)
			r.sinkErr = r.sink(chunk)
		case flight.Finish:
			finished = true // also if the sink failed: the tracker has no further actions
		}
	}
	return finished, r.sinkErr
}

// attemptFailure converts the error of an attempt. After an error that is not a
// refusal by the owner, the request may have reached the engine.
func (r *run) attemptFailure(attempt int, chosen *route.Candidate, err error) flight.Failure {
	var refusal *cluster.Refusal
	if !errors.As(err, &refusal) {
		refusal = &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed, Message: err.Error(),
		}
	}
	failure := flight.Failure{
		Reached: refusal.Outcome != cluster.OutcomeNotRun, Crashed: refusal.StreamBroken, Replica: chosen.Replica,
		Reason: string(refusal.Reason), Message: refusal.Message,
	}
	switch refusal.Reason {
	case cluster.ReasonOverload, cluster.ReasonDeadline:
		r.loadRefusals++
		failure.NonRetryable = r.loadRefusals >= maxLoadRefusals
	case cluster.ReasonNotOwner, cluster.ReasonNoReplica:
		r.c.owner.RecordRefusal(chosen.Replica)
	case cluster.ReasonCrashInducing:
		failure.NonRetryable = true
	case cluster.ReasonNoPermission:
		// The owner may not have read yet that the key was added.
		failure.NonRetryable, failure.NoReplica = true, true
	}
	if r.c.config.Policy == PolicyBaseline {
		failure.NonRetryable = attempt >= baselineAttempts
	}
	return failure
}

// reportFailure reports the failure to the tracker and returns the next actions.
func (r *run) reportFailure(attempt int, failure flight.Failure) []flight.Action {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	actions := r.tracker.AttemptFailed(attempt, failure, time.Now())
	if actions[len(actions)-1].Kind == flight.Attempt && failure.Reached {
		r.c.recorder.Count("retries_total")
	}
	return actions
}

// stop finishes the request without another attempt.
func (r *run) stop(failure flight.Failure) []flight.Action {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.tracker.Stop(failure)
}

// result converts the final action of the tracker into the error of Generate.
func (r *run) result(ctx context.Context, finish flight.Action) error {
	switch {
	case r.sinkErr != nil:
		return r.sinkErr
	case finish.Outcome == flight.Completed:
		return nil
	}
	refusal := &cluster.Refusal{
		Outcome: outcome(finish.Outcome), Reason: cluster.Reason(finish.Failure.Reason),
		Message: finish.Failure.Message, BackendServer: finish.Failure.Replica, StreamBroken: finish.Failure.Crashed,
	}
	if refusal.Reason == cluster.ReasonNoPermission {
		refusal.RetryAfter = access.RetryAfter
	}
	if ctx.Err() != nil {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return ctx.Err()
		}
		refusal.Reason, refusal.Message = cluster.ReasonDeadline, "the request's deadline passed"
	}
	r.c.recorder.Count("refusals_total", "reason", string(refusal.Reason), "outcome", string(refusal.Outcome))
	return refusal
}

func outcome(o flight.Outcome) cluster.Outcome {
	switch o {
	case flight.NotRun:
		return cluster.OutcomeNotRun
	case flight.Partial:
		return cluster.OutcomePartial
	default:
		return cluster.OutcomeUnknown
	}
}
