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
	// authorWait is how long one question waits at the author for the result.
	authorWait = 2 * time.Second
	// authorGrace is added to authorWait before the question counts as unanswered.
	authorGrace = time.Second
	// authorFailures is the number of unanswered questions in a row after which
	// the outcome is unknown. One connection may have gone silent.
	authorFailures = 3
	// authorPause is the time between two questions after a failure.
	authorPause = 50 * time.Millisecond
)

// askAuthor gets the result of the intent in force from its author.
func (c *Controller) askAuthor(ctx context.Context, key intent.Key, view intent.View) (*answer, *cluster.Refusal) {
	for failures := 0; failures < authorFailures; {
		reply, err := c.askOnce(ctx, key, view)
		switch {
		case ctx.Err() != nil:
			return nil, unknown(cluster.ReasonDeadline, "the deadline passed while host "+view.Originator.Host+" may run the call", "")
		case err != nil:
			klog.V(1).InfoS("author of an intent did not answer", "author", view.Originator.Host, "key", key.String(), "err", err)
			failures++
			sleep(ctx, authorPause)
		case reply.GetState() == peerpb.IntentResultReply_STATE_DONE:
			a := stored(intent.Result{Status: int(reply.GetStatus()), Header: reply.GetHeaders(), Body: reply.GetBody()})
			a.replayed = true
			return a, nil
		case reply.GetState() == peerpb.IntentResultReply_STATE_NOT_RUN:
			return nil, notRun(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" gave the call up before it was sent")
		case reply.GetState() == peerpb.IntentResultReply_STATE_UNKNOWN:
			return nil, unknown(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" does not know the outcome", "")
		}
		// Without a state the call is still running.
	}
	return nil, unknown(cluster.ReasonOtherOriginator, "host "+view.Originator.Host+" may have run the call and does not answer", "")
}

func (c *Controller) askOnce(ctx context.Context, key intent.Key, view intent.View) (*peerpb.IntentResultReply, error) {
	ctx, cancel := context.WithTimeout(ctx, authorWait+authorGrace)
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
			Key: key.String(), Nonce: view.Nonce.String(), WaitMs: authorWait.Milliseconds(),
		})
	}
	return nil, status.Error(codes.NotFound, "the author is not a member")
}

// IntentResult tells another host what became of an intent of this host's, or,
// without a nonce, what this host knows about the key. A reply without a state
// says that the call is still running.
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
	var view intent.View
	if r.GetNonce() == "" {
		view = c.ledger.ByKey(key, time.Now())
	} else {
		view = c.ledger.ByNonce(key, nonce)
	}
	waiting := c.calls[view.ID]
	c.mu.Unlock()
	if waiting != nil {
		wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, authorWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-waiting.done:
			view = waiting.view
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
