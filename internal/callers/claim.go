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

// claimant is the connection of the running attempt of a request.
type claimant struct {
	attempt    int64
	superseded chan struct{}
}

// Claim registers an attempt of a request that this host is home to, and tells
// when a newer attempt superseded it.
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
		// The router releases or completes first; when its host died, the
		// attempt may have reached a backend server.
		c.release(req.RequestId, grant.Attempt, true)
		return nil
	}
}

// claim registers an attempt and returns the channel that is closed when a
// newer one supersedes it.
func (c *Controller) claim(id, fingerprint string) (flight.Grant, <-chan struct{}) {
	c.homeMu.Lock()
	defer c.homeMu.Unlock()
	now := time.Now()
	grant := c.home.Claim(id, fingerprint, c.unsure(id, now), now)
	if grant.Conflict || grant.Replayed {
		return grant, nil
	}
	if old, ok := c.claims[id]; ok {
		close(old.superseded)
		c.recorder.Count("attempts_superseded_total")
	}
	current := claimant{attempt: grant.Attempt, superseded: make(chan struct{})}
	c.claims[id] = current
	return grant, current.superseded
}

func (c *Controller) release(id string, attempt int64, reached bool) {
	c.homeMu.Lock()
	defer c.homeMu.Unlock()
	c.home.Release(id, attempt, reached, time.Now())
	c.forget(id, attempt)
}

// forget removes the connection of an attempt that ended. The caller holds the lock.
func (c *Controller) forget(id string, attempt int64) {
	if c.claims[id].attempt == attempt {
		delete(c.claims, id)
	}
}

// Complete records the answer of an attempt before it is delivered, or its end
// without one.
func (c *Controller) Complete(_ context.Context, req *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	if req.Query {
		c.homeMu.Lock()
		defer c.homeMu.Unlock()
		now := time.Now()
		return &peerpb.CompleteReply{Reached: c.home.Reached(req.RequestId, c.unsure(req.RequestId, now), now)}, nil
	}
	if req.Released {
		c.release(req.RequestId, req.Attempt, req.Reached)
		return &peerpb.CompleteReply{Accepted: true}, nil
	}
	c.homeMu.Lock()
	defer c.homeMu.Unlock()
	accepted := c.home.Complete(req.RequestId, req.Attempt, req.Answer, time.Now())
	c.forget(req.RequestId, req.Attempt)
	return &peerpb.CompleteReply{Accepted: accepted}, nil
}
