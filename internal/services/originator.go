package services

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	// originatorWait is the maximum time that one query waits for the result at
	// the originator.
	originatorWait = 2 * time.Second
	// originatorGrace is added to originatorWait to obtain the timeout of a query.
	originatorGrace = time.Second
	// maxOriginatorFailures is the number of consecutive failed queries after which
	// the outcome is reported as unknown. It is above one because a single failure
	// may only mean that the connection stopped responding.
	maxOriginatorFailures = 3
	// originatorRetryDelay is the time between a failed query and the next one.
	originatorRetryDelay = 50 * time.Millisecond
)

// queryOriginator gets the result of the active intent from its originator.
func (c *Controller) queryOriginator(ctx context.Context, key intent.Key, view intent.AttemptView) (*bufferedResponse, *cluster.Refusal) {
	for failures := 0; failures < maxOriginatorFailures; {
		reply, err := c.queryOriginatorOnce(ctx, key, view)
		switch {
		case ctx.Err() != nil:
			return nil, unknown(cluster.ReasonDeadline, "the deadline passed while host "+view.Originator.Host+" may run the call", "")
		case err != nil:
			klog.V(1).InfoS("query of the originator of an intent failed", "author", view.Originator.Host, "key", key.String(), "err", err)
			failures++
			sleep(ctx, originatorRetryDelay)
		case reply.GetState() == peerpb.IntentResultReply_STATE_DONE:
			a := responseFromResult(intent.Result{Status: int(reply.GetStatus()), Header: reply.GetHeaders(), Body: reply.GetBody()})
			a.replayed = true
			return a, nil
		case reply.GetState() == peerpb.IntentResultReply_STATE_NOT_RUN:
			return nil, notRun(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" gave the call up before it was sent")
		case reply.GetState() == peerpb.IntentResultReply_STATE_UNKNOWN:
			return nil, unknown(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" does not know the outcome", "")
		}
		// A reply without a state means that the call is still running.
	}
	return nil, unknown(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" may have run the call and does not answer", "")
}

func (c *Controller) queryOriginatorOnce(ctx context.Context, key intent.Key, view intent.AttemptView) (*peerpb.IntentResultReply, error) {
	ctx, cancel := context.WithTimeout(ctx, originatorWait+originatorGrace)
	defer cancel()
	for _, member := range c.members.All() {
		if member.ID != view.Originator.Host {
			continue
		}
		client, err := c.peers.Client(member.PeerAddr)
		if err != nil {
			return nil, err
		}
		return client.IntentResult(ctx, &peerpb.IntentResultRequest{
			Key: key.String(), Nonce: view.Nonce.String(), WaitMs: originatorWait.Milliseconds(),
		})
	}
	return nil, status.Error(codes.NotFound, "the originator is not a member")
}

// IntentResult returns the outcome of an intent of this host to another host. If
// the request has no nonce, it returns what this host knows about the key. A
// reply without a state means that the call is still running.
func (c *Controller) IntentResult(ctx context.Context, r *peerpb.IntentResultRequest) (*peerpb.IntentResultReply, error) {
	key, err := intent.ParseKey(r.GetKey())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	nonce, err := intent.ParseNonce(r.GetNonce())
	if err != nil && r.GetNonce() != "" {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	c.mu.Lock()
	var view intent.AttemptView
	if r.GetNonce() == "" {
		view = c.ledger.ByKey(key, time.Now())
	} else {
		view = c.ledger.ByNonce(key, nonce)
	}
	pending := c.attempts[view.ID]
	c.mu.Unlock()
	if pending != nil {
		wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, originatorWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-pending.done:
			view = pending.view
		case <-timer.C:
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
	switch view.Stage {
	case intent.StageDone:
		return &peerpb.IntentResultReply{
			State: peerpb.IntentResultReply_STATE_DONE, Status: int32(view.Result.Status),
			Headers: view.Result.Header, Body: view.Result.Body,
		}, nil
	case intent.StageAbandoned, intent.StageConflict:
		return &peerpb.IntentResultReply{State: peerpb.IntentResultReply_STATE_NOT_RUN}, nil
	case intent.StageUnknown:
		return &peerpb.IntentResultReply{State: peerpb.IntentResultReply_STATE_UNKNOWN}, nil
	}
	return &peerpb.IntentResultReply{}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
