package callers

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// activeClaim is the running attempt of a request ID at its coordinator.
type activeClaim struct {
	attempt    int64
	superseded chan struct{} // closed when a newer attempt supersedes this one
}

// Claim registers an attempt of a request that this host coordinates. It keeps
// the stream open and sends an event when a newer attempt supersedes this one.
func (c *Controller) Claim(req *peerpb.ClaimRequest, stream grpc.ServerStreamingServer[peerpb.ClaimEvent]) error {
	grant, superseded := c.claim(req.RequestId, req.Fingerprint)
	if grant.Conflict {
		return status.Error(codes.InvalidArgument, "the request ID was used for other content")
	}
	event := &peerpb.ClaimEvent{
		Kind: peerpb.ClaimEvent_KIND_GRANTED, Attempt: grant.Attempt, EarlierReached: grant.EarlierReached,
	}
	if grant.Replayed {
		event.Kind, event.Answer = peerpb.ClaimEvent_KIND_REPLAY, grant.Replay
		return stream.Send(event)
	}
	if err := stream.Send(event); err != nil {
		c.release(req.RequestId, grant.Attempt, false)
		return err
	}
	select {
	case <-superseded:
		return stream.Send(&peerpb.ClaimEvent{Kind: peerpb.ClaimEvent_KIND_SUPERSEDED, Attempt: grant.Attempt})
	case <-stream.Context().Done():
		// A router reports the end of its attempt before it closes the stream,
		// so that this release has no effect. If the router's host failed
		// instead, the attempt may have reached a backend server.
		c.release(req.RequestId, grant.Attempt, true)
		return nil
	}
}

// claim registers an attempt. It returns the channel that is closed when a newer
// attempt supersedes it, or nil for a conflict or a replayed response.
func (c *Controller) claim(id, fingerprint string) (flight.Grant, <-chan struct{}) {
	c.coordinatorMu.Lock()
	defer c.coordinatorMu.Unlock()
	now := time.Now()
	grant := c.coordinator.Claim(id, fingerprint, c.historyIncomplete(id, now), now)
	if grant.Conflict || grant.Replayed {
		return grant, nil
	}
	if old, ok := c.claims[id]; ok {
		close(old.superseded)
		c.recorder.Count("attempts_superseded_total")
	}
	current := activeClaim{attempt: grant.Attempt, superseded: make(chan struct{})}
	c.claims[id] = current
	return grant, current.superseded
}

// release ends an attempt without a response. Set reached if it reached, or may
// have reached, a backend server.
func (c *Controller) release(id string, attempt int64, reached bool) {
	c.coordinatorMu.Lock()
	defer c.coordinatorMu.Unlock()
	c.coordinator.Release(id, attempt, reached, time.Now())
	c.removeClaim(id, attempt)
}

// removeClaim removes the claim of an attempt that ended, unless a newer attempt
// replaced it. The caller must hold coordinatorMu.
func (c *Controller) removeClaim(id string, attempt int64) {
	if c.claims[id].attempt == attempt {
		delete(c.claims, id)
	}
}

// Complete records the response of an attempt before it is delivered, or the end
// of an attempt without a response. If Query is set, it only reports whether an
// attempt under the request ID reached, or may have reached, a backend server.
func (c *Controller) Complete(_ context.Context, req *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	if req.Query {
		c.coordinatorMu.Lock()
		defer c.coordinatorMu.Unlock()
		now := time.Now()
		return &peerpb.CompleteReply{Reached: c.coordinator.Reached(req.RequestId, c.historyIncomplete(req.RequestId, now), now)}, nil
	}
	if req.Released {
		c.release(req.RequestId, req.Attempt, req.Reached)
		return &peerpb.CompleteReply{Accepted: true}, nil
	}
	c.coordinatorMu.Lock()
	defer c.coordinatorMu.Unlock()
	accepted := c.coordinator.Complete(req.RequestId, req.Attempt, req.Answer, time.Now())
	c.removeClaim(req.RequestId, req.Attempt)
	return &peerpb.CompleteReply{Accepted: accepted}, nil
}
