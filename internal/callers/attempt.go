package callers

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// coordinatorTimeout limits a call to a request coordinator. A coordinator that
// does not respond must not block requests: they run without a claim, on the
// assumption that an earlier attempt may have reached a backend server.
const coordinatorTimeout = time.Second

// claimedAttempt is an attempt of a caller's request that this host claimed at the
// request coordinator.
type claimedAttempt struct {
	c     *Controller
	id    string // request ID, qualified by the caller's workspace
	grant flight.Grant
	// superseded is closed when a newer attempt supersedes this one. It is nil if
	// the coordinator is unreachable or replayed a recorded response.
	superseded             <-chan struct{}
	client                 peerpb.PeerClient // nil if this host is the coordinator
	coordinatorUnreachable bool              // the request runs without a claim
	cancel                 context.CancelFunc
}

// claimAttempt registers an attempt at the request coordinator of this data
// centre. It returns errConflict if the request ID was used with different
// content.
func (c *Controller) claimAttempt(ctx context.Context, id, fingerprint string) (*claimedAttempt, error) {
	self := c.members.Self()
	coordinator := findCoordinator(id, self.DataCentre, c.members.All())
	a := &claimedAttempt{c: c, id: id, cancel: func() {}}
	if coordinator.ID == self.ID || coordinator.ID == "" {
		a.grant, a.superseded = c.claim(id, fingerprint)
		if a.grant.Conflict {
			return nil, errConflict
		}
		return a, nil
	}
	err := a.claimRemotely(ctx, coordinator, fingerprint)
	if status.Code(err) == codes.InvalidArgument {
		return nil, errConflict
	}
	if err != nil {
		klog.InfoS("request coordinator did not respond, running the request without a claim", "request_id", id, "home", coordinator.ID, "err", err)
		c.recorder.Count("homes_unreachable_total")
		a.coordinatorUnreachable = true
		a.grant = flight.Grant{EarlierReached: true}
	}
	return a, nil
}

var errConflict = &cluster.Refusal{
	Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBadRequest,
	Message: "the request ID was used for other content",
}

// claimRemotely claims the attempt at another host. The claim stream stays open
// until a.cancel is called, so that the coordinator can report that a newer
// attempt superseded this one.
func (a *claimedAttempt) claimRemotely(ctx context.Context, coordinator cluster.Member, fingerprint string) error {
	client, err := a.c.peers.Client(coordinator.PeerAddr)
	if err != nil {
		return err
	}
	ctx, a.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(coordinatorTimeout, a.cancel)
	stream, err := client.Claim(ctx, &peerpb.ClaimRequest{
		RequestId: a.id, Fingerprint: fingerprint, Holder: a.c.members.Self().ID,
	})
	if err != nil {
		return err
	}
	event, err := stream.Recv()
	if err != nil {
		return err
	}
	if !timer.Stop() {
		return context.DeadlineExceeded
	}
	a.client = client
	a.grant = flight.Grant{Attempt: event.Attempt, EarlierReached: event.EarlierReached}
	if event.Kind == peerpb.ClaimEvent_KIND_REPLAY {
		a.grant.Replayed, a.grant.Replay = true, event.Answer
		return nil
	}
	superseded := make(chan struct{})
	a.superseded = superseded
	go func() {
		if event, err := stream.Recv(); err == nil && event.Kind == peerpb.ClaimEvent_KIND_SUPERSEDED {
			close(superseded)
		}
	}()
	return nil
}

// complete records the complete response at the coordinator and reports whether
// it may be delivered. It may also be delivered if the coordinator does not
// respond, because the caller can recognize duplicates by the request ID.
func (a *claimedAttempt) complete(ctx context.Context, response []byte) bool {
	reply, err := a.report(ctx, &peerpb.CompleteRequest{RequestId: a.id, Attempt: a.grant.Attempt, Answer: response})
	return err != nil || reply.Accepted
}

// release ends the attempt without a response. Set reached if the attempt
// reached, or may have reached, a backend server.
func (a *claimedAttempt) release(ctx context.Context, reached bool) {
	_, err := a.report(context.WithoutCancel(ctx), &peerpb.CompleteRequest{
		RequestId: a.id, Attempt: a.grant.Attempt, Released: true, Reached: reached,
	})
	if err != nil {
		klog.V(1).InfoS("failed to release the attempt at the request coordinator", "request_id", a.id, "err", err)
	}
}

// report sends the end of the attempt to the coordinator.
func (a *claimedAttempt) report(ctx context.Context, req *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	switch {
	case a.coordinatorUnreachable:
		return &peerpb.CompleteReply{Accepted: true}, nil
	case a.client == nil:
		return a.c.Complete(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	return a.client.Complete(ctx, req)
}
