package callers

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	// routeBlocks bounds the prefix blocks used for routing: 8 KiB of prompt.
	routeBlocks = 128
	// baselineAttempts is the number of attempts of the baseline policy.
	baselineAttempts = 3
	// maxShed is the number of owners that may refuse one request because of
	// load; asking more of them would only multiply an overload.
	maxShed = 3
)

// Generate runs a generation and calls sink for each chunk in index order.
func (c *Controller) Generate(ctx context.Context, gen cluster.Generation, sink func(engine.Chunk) error) error {
	return c.generate(ctx, gen, false, sink)
}

// run is the state of one generation.
type run struct {
	c           *Controller
	gen         cluster.Generation
	sink        func(engine.Chunk) error
	flight      *flight.Tracker
	fingerprint string
	blocks      []uint64
	tokens      []string
	shed        int
	sinkErr     error
}

// generate runs a generation. Reached says that an earlier attempt under its
// request ID reached a backend server, or may have.
func (c *Controller) generate(ctx context.Context, gen cluster.Generation, reached bool, sink func(engine.Chunk) error) error {
	if gen.RequestID == "" {
		gen.RequestID = newRequestID()
	}
	r := &run{
		c: c, gen: gen, sink: sink, flight: flight.New(c.budget, reached, c.config.ReplicaWaitTimeout),
		fingerprint: suspect.Fingerprint(gen.Model, gen.Adapter, gen.Prompt, gen.MaxTokens, gen.Temperature),
		blocks:      routeHashes(gen.Model, gen.Prompt),
	}
	c.mu.Lock()
	actions := r.flight.Begin(time.Now())
	c.mu.Unlock()
	for {
		action := actions[len(actions)-1]
		if action.Kind == flight.Finish {
			return r.result(ctx, action)
		}
		actions = r.attempt(ctx, action)
	}
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func routeHashes(model, prompt string) []uint64 {
	hashes := engine.PrefixHashes(model, prompt[:min(len(prompt), routeBlocks*engine.PrefixBlockBytes)])
	blocks := make([]uint64, 0, len(hashes))
	for _, text := range hashes {
		if block, err := strconv.ParseUint(text, 16, 64); err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// attempt chooses a replica, runs one attempt there and returns what follows.
func (r *run) attempt(ctx context.Context, action flight.Action) []flight.Action {
	if !pause(ctx, action.Delay) {
		return r.stop(flight.Failure{Reason: string(cluster.ReasonNoReplica), Message: "the caller left while no replica could serve"})
	}
	verdict := r.c.owner.Verdict(r.fingerprint)
	if verdict == suspect.Refuse {
		return r.ended(action.Attempt, flight.Failure{
			NonRetryable: true, Reason: string(cluster.ReasonCrashInducing),
			Message: "requests with this content crashed backend servers before",
		})
	}
	solo := verdict == suspect.RunIsolated
	chosen := r.choose(solo)
	if chosen == nil {
		return r.ended(action.Attempt, flight.Failure{
			NonRetryable: true, NoReplica: true, Reason: string(cluster.ReasonNoReplica),
			Message: fmt.Sprintf("no replica of model %q can take the request", r.gen.Model),
		})
	}
	sent := r.c.sent(chosen.Replica, r.blocks)
	finished := false
	err := r.c.call(ctx, chosen, r.request(ctx, chosen, solo), func(chunk engine.Chunk) error {
		var err error
		finished, err = r.chunk(action.Attempt, chunk)
		return err
	})
	r.c.done(sent)
	r.noteSuspicion(chosen, solo, finished, err)
	switch {
	case finished:
		return []flight.Action{{Kind: flight.Finish, Outcome: flight.Completed}}
	case r.sinkErr != nil || ctx.Err() != nil:
		return r.stop(flight.Failure{Reached: !isNotRun(err)})
	case err == nil:
		err = errors.New("the owner ended the stream without a finish reason")
	}
	return r.ended(action.Attempt, r.ending(action.Attempt, chosen, err))
}

func isNotRun(err error) bool {
	var refusal *cluster.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == cluster.OutcomeNotRun
}

// pause waits and reports whether ctx still holds.
func pause(ctx context.Context, delay time.Duration) bool {
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

// noteSuspicion records at once on this host what the owner on another host
// shares with the next exchange.
func (r *run) noteSuspicion(chosen *route.Candidate, solo, finished bool, err error) {
	var refusal *cluster.Refusal
	switch {
	case chosen.Owner == r.c.members.Self().ID:
	case finished:
		r.c.owner.ClearSuspicion(r.fingerprint, r.gen.RequestID)
	case errors.As(err, &refusal) && refusal.Crashed:
		r.c.owner.RecordCrash(r.fingerprint, r.gen.RequestID, chosen.Replica, solo)
	}
}

// errGap ends an attempt whose stream lost a chunk.
var errGap = errors.New("the stream lost a chunk")

// chunk delivers a chunk if the flight says so and reports whether the answer
// is whole.
func (r *run) chunk(attempt int, chunk engine.Chunk) (finished bool, err error) {
	if chunk.RequestID != r.gen.RequestID {
		return false, nil
	}
	if chunk.Index > r.flight.Delivered() {
		return false, errGap
	}
	for _, action := range r.flight.Chunk(attempt, chunk.Index, chunk.FinishReason != "", time.Now()) {
		switch action.Kind {
		case flight.Deliver:
			r.tokens = append(r.tokens, chunk.Token)
			if r.sinkErr = r.sink(chunk); r.sinkErr != nil {
				return false, r.sinkErr
			}
		case flight.Finish:
			finished = true
		}
	}
	return finished, nil
}

// ending translates the error of an attempt. An error that is not a refusal of
// the owner leaves open whether the request reached the engine.
func (r *run) ending(attempt int, chosen *route.Candidate, err error) flight.Failure {
	var refusal *cluster.Refusal
	if !errors.As(err, &refusal) {
		refusal = &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed, Message: err.Error(),
		}
	}
	ending := flight.Failure{
		Reached: refusal.Outcome != cluster.OutcomeNotRun, Crashed: refusal.Crashed, Replica: chosen.Replica,
		Reason: string(refusal.Reason), Message: refusal.Message,
	}
	switch refusal.Reason {
	case cluster.ReasonOverload, cluster.ReasonDeadline:
		r.shed++
		ending.NonRetryable = r.shed >= maxShed
	case cluster.ReasonNotOwner, cluster.ReasonNoReplica:
		r.c.owner.RecordRefusal(chosen.Replica)
	case cluster.ReasonCrashInducing:
		ending.NonRetryable = true
	}
	if r.c.config.Policy == PolicyBaseline {
		ending.NonRetryable = attempt >= baselineAttempts
	}
	return ending
}

func (r *run) ended(attempt int, ending flight.Failure) []flight.Action {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	actions := r.flight.AttemptFailed(attempt, ending, time.Now())
	if actions[len(actions)-1].Kind == flight.Attempt && ending.Reached {
		r.c.recorder.Count("retries_total")
	}
	return actions
}

func (r *run) stop(ending flight.Failure) []flight.Action {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.flight.Stop(ending)
}

// result turns the end of the flight into the error of Generate.
func (r *run) result(ctx context.Context, finish flight.Action) error {
	switch {
	case r.sinkErr != nil:
		return r.sinkErr
	case finish.Outcome == flight.Completed:
		return nil
	}
	refusal := &cluster.Refusal{
		Outcome: outcome(finish.Outcome), Reason: cluster.Reason(finish.Failure.Reason),
		Message: finish.Failure.Message, BackendServer: finish.Failure.Replica, Crashed: finish.Failure.Crashed,
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
