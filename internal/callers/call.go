package callers

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// chooseReplica selects a replica for the next attempt. An isolated attempt needs
// a replica that runs no other request meanwhile. chooseReplica returns nil if no
// replica can serve the request.
func (r *run) chooseReplica(isolated bool) *route.Candidate {
	c := r.c
	now := time.Now()
	candidates := c.owner.Candidates(c.inventory.BackendServers)
	self := c.members.Self()
	request := route.Request{
		Model: r.gen.Model, DataCentre: self.DataCentre, MinVersion: r.gen.MinVersion,
		NewestVersion: c.versions.Newest(r.gen.Model), Avoid: append(r.tracker.Avoid(), r.gen.Avoid...),
		Prefix: r.blocks, Isolated: isolated, Seed: xxhash.Sum64String(r.gen.RequestID),
	}
	if c.config.Policy == PolicyBaseline {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rotation.Choose(request, candidates)
	}
	work := c.spillWork(request, candidates)
	c.mu.Lock()
	corrected := c.pending.apply(candidates, self.ID, now)
	request.Spill = c.spillVerdict(work, now)
	c.mu.Unlock()
	var choice route.Choice
	c.owner.WithPrefixIndex(func(prefixes *route.PrefixIndex) {
		choice = route.Choose(request, corrected, prefixes, c.config.RoutingWeights, now)
	})
	c.recorder.Observe("route_decision_seconds", time.Since(now).Seconds())
	if choice.Chosen == nil {
		c.recorder.RecordDecision("route", r.gen.RequestID, "chosen", "", "removed", choice.Removed.String())
		return nil
	}
	if r.gen.OnReplicaChosen != nil {
		r.gen.OnReplicaChosen(choice.Chosen.Replica)
	}
	details := []any{"chosen", choice.Chosen.Replica, "owner", choice.Chosen.Owner,
		"solo", isolated, "resume", r.tracker.Delivered(), "removed", choice.Removed.String(), "scores", choice.Scores()}
	c.recorder.RecordDecision("route", r.gen.RequestID, append(details, c.placeDetails(request, choice.Chosen)...)...)
	return choice.Chosen
}

// recordSent records that a request is sent to a replica, for the prefix index
// and for the correction of load rows.
func (c *Controller) recordSent(replica string, blocks []uint64) *sentRequest {
	now := time.Now()
	c.owner.WithPrefixIndex(func(prefixes *route.PrefixIndex) { prefixes.RecordSent(replica, blocks, now) })
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending.recordStart(replica, now)
}

// recordEnd records that a request sent by this host has ended.
func (c *Controller) recordEnd(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended = time.Now()
}

// runRequest returns the message that asks the owner to run the next attempt.
func (r *run) runRequest(ctx context.Context, chosen *route.Candidate, isolated bool) *peerpb.RunRequest {
	req := &peerpb.RunRequest{
		RequestId: r.gen.RequestID, Replica: chosen.Replica, Model: r.gen.Model, Adapter: r.gen.Adapter,
		Prompt: r.gen.Prompt, Delivered: r.tokens, MaxTokens: int32(r.gen.MaxTokens),
		Temperature: r.gen.Temperature, Seed: r.gen.Seed, Class: int32(r.gen.Class), Trainer: r.gen.Trainer,
		Priority: r.gen.Priority, Solo: isolated, Fingerprint: r.fingerprint, MinVersion: r.gen.MinVersion,
		Workspace: r.gen.Caller.Workspace,
	}
	if r.gen.Caller.HasKey() {
		req.KeyHash = r.gen.Caller.Key[:]
	}
	if r.c.config.Policy == PolicyBaseline {
		req.Delivered = nil // restarts from index 0; the tracker drops chunks already delivered
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineMs = max(1, time.Until(deadline).Milliseconds())
	}
	return req
}

// callOwner runs an attempt through the owner of the chosen replica and calls
// sink for each chunk.
func (c *Controller) callOwner(ctx context.Context, chosen *route.Candidate, req *peerpb.RunRequest,
	sink func(engine.Chunk) error) error {
	if chosen.Owner == c.members.Self().ID {
		return c.owner.RunLocal(ctx, req, sink)
	}
	addr := c.peerAddr(chosen.Owner)
	if addr == "" {
		return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonNotOwner, Message: "the owner is not known"}
	}
	client, err := c.peers.Client(addr)
	if err != nil {
		return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonNoReplica, Message: err.Error()}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Run(ctx, req)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonNoReplica, Message: err.Error()}
	case err != nil:
		return err
	}
	// After the first chunk, an owner that sends nothing for twice the progress
	// timeout is treated like a stalled engine. Before the first chunk there is
	// no limit, because the request may be queued at the owner.
	var watchdog *time.Timer
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if refusal := message.Refusal; refusal != nil {
			return &cluster.Refusal{
				Outcome: cluster.Outcome(refusal.Outcome), Reason: cluster.Reason(refusal.Reason),
				Message: refusal.Message, BackendServer: refusal.BackendServer, StreamBroken: refusal.Crashed,
			}
		}
		if watchdog == nil {
			watchdog = time.AfterFunc(2*c.config.ProgressTimeout, cancel)
			defer watchdog.Stop()
		}
		watchdog.Stop()
		if err := sink(engine.Chunk{
			RequestID: message.RequestId, Index: int(message.Index), Token: message.Token,
			WeightVersion: message.WeightVersion, FinishReason: message.FinishReason,
		}); err != nil {
			return err
		}
		watchdog.Reset(2 * c.config.ProgressTimeout)
	}
}

// peerAddr returns the peer address of a member, or "" if it is unknown.
func (c *Controller) peerAddr(id string) string {
	for _, m := range c.members.All() {
		if m.ID == id {
			return m.PeerAddr
		}
	}
	return ""
}
