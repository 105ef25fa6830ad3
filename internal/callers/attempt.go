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

// homeTimeout bounds a call to a request's home. A home that does not answer
// must not hold requests up: without it the request runs as at a new home.
const homeTimeout = time.Second

// attempt is the claim of this host on one request ID.
type attempt struct {
	c     *Controller
	id    string
	grant flight.Grant
	// superseded is closed when a newer attempt replaced this one.
	superseded <-chan struct{}
	client     peerpb.PeerClient // nil when this host is the home
	homeless   bool              // the home did not answer
	cancel     context.CancelFunc
}

// claimAttempt asks the request's home for an attempt.
func (c *Controller) claimAttempt(ctx context.Context, id, fingerprint string) (*attempt, error) {
	self := c.members.Self()
	home := homeIn(id, self.DataCentre, c.members.All())
	a := &attempt{c: c, id: id, cancel: func() {}}
	if home.ID == self.ID || home.ID == "" {
		a.grant, a.superseded = c.claim(id, fingerprint)
		if a.grant.Conflict {
			return nil, errConflict
		}
		return a, nil
	}
	err := a.claimAt(ctx, home, fingerprint)
	if status.Code(err) == codes.InvalidArgument {
		return nil, errConflict
	}
	if err != nil {
		klog.InfoS("the request's home does not answer", "request_id", id, "home", home.ID, "err", err)
		c.recorder.Count("homes_unreachable_total")
		a.homeless = true
		a.grant = flight.Grant{EarlierReached: true}
	}
	return a, nil
}

var errConflict = &cluster.Refusal{
	Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBadRequest,
	Message: "the request ID was used for other content",
}

func (a *attempt) claimAt(ctx context.Context, home cluster.Member, fingerprint string) error {
	client, err := a.c.peers.Client(home.PeerAddr)
	if err != nil {
		return err
	}
	ctx, a.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(homeTimeout, a.cancel)
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

// complete records the whole answer at the home and reports whether it may be
// delivered. When the home is gone, it may: the caller tells copies apart by
// the request ID.
func (a *attempt) complete(ctx context.Context, answer []byte) bool {
	reply, err := a.report(ctx, &peerpb.CompleteRequest{RequestId: a.id, Attempt: a.grant.Attempt, Answer: answer})
	return err != nil || reply.Accepted
}

// release ends the attempt without an answer.
func (a *attempt) release(ctx context.Context, reached bool) {
	_, err := a.report(context.WithoutCancel(ctx), &peerpb.CompleteRequest{
		RequestId: a.id, Attempt: a.grant.Attempt, Released: true, Reached: reached,
	})
	if err != nil {
		klog.V(1).InfoS("release of an attempt failed", "request_id", a.id, "err", err)
	}
}

func (a *attempt) report(ctx context.Context, req *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	switch {
	case a.homeless:
		return &peerpb.CompleteReply{Accepted: true}, nil
	case a.client == nil:
		return a.c.Complete(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	return a.client.Complete(ctx, req)
}
