package services

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	// queryAllTimeout bounds the query of all hosts. The query is not cut off at the
	// caller's deadline, because without its result "not-run" could be wrong.
	queryAllTimeout = 500 * time.Millisecond
	// maxQueryingCalls bounds the number of calls for which all hosts are queried
	// concurrently, so that refusals under overload do not multiply the load. Calls
	// beyond it are refused with the outcome "unknown".
	maxQueryingCalls = 128
	// maxConcurrentQueries bounds the concurrent queries for one call.
	maxConcurrentQueries = 64
)

// hostLiveness records when hosts were found dead. A host that died before a
// call's key was issued cannot have run the call.
type hostLiveness struct {
	members      cluster.Members
	keyRetention time.Duration // maximum age of a key

	mu        sync.Mutex
	deadSince map[string]time.Time // by ID of a dead host
	alive     map[string]cluster.Member
}

func newHostLiveness(members cluster.Members, keyRetention time.Duration) *hostLiveness {
	return &hostLiveness{members: members, keyRetention: keyRetention, deadSince: make(map[string]time.Time), alive: make(map[string]cluster.Member)}
}

// update reads the membership. A host that is no longer a member counts as dead.
// A host that is dead when first seen is recorded as dead since now, because it
// may have died just before.
func (l *hostLiveness) update(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]bool)
	for _, member := range l.members.All() {
		present[member.ID] = true
		if member.State != cluster.MemberDead {
			l.alive[member.ID] = member
			delete(l.deadSince, member.ID)
			continue
		}
		delete(l.alive, member.ID)
		if _, known := l.deadSince[member.ID]; !known {
			l.deadSince[member.ID] = now
		}
	}
	for id := range l.alive {
		if !present[id] {
			l.deadSince[id] = now
			delete(l.alive, id)
		}
	}
	for id, since := range l.deadSince {
		if now.Sub(since) > l.keyRetention && !present[id] {
			delete(l.deadSince, id)
		}
	}
}

// candidates returns the live hosts to query about a key issued at the given
// time, and the ID of a dead host that may have run the call, or "".
func (l *hostLiveness) candidates(self string, issued time.Time) (live []cluster.Member, dead string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, member := range l.alive {
		if id != self {
			live = append(live, member)
		}
	}
	for id, since := range l.deadSince {
		if issued.Before(since) {
			dead = id
		}
	}
	return live, dead
}

// queryAllHosts queries the ledger of this host and all other hosts about a call.
// It returns the response of the call, or a refusal if the call may have run, or
// neither if no host can have run it.
func (c *Controller) queryAllHosts(ctx context.Context, key intent.Key) (*bufferedResponse, *cluster.Refusal) {
	now := time.Now()
	view := c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.ByKey(key, now) })
	switch view.Stage {
	case intent.StageDone:
		a := responseFromResult(view.Result)
		a.replayed = true
		return a, nil
	case intent.StageAbandoned, intent.StageUnknown:
	default:
		return nil, unknown(cluster.ReasonDeadline, "the call may be running", "")
	}
	select {
	case c.querySlots <- struct{}{}:
		defer func() { <-c.querySlots }()
	default:
		return nil, unknown(cluster.ReasonOverload, "too many refused calls wait for the other hosts", "")
	}
	c.liveness.update(now)
	live, dead := c.liveness.candidates(c.members.Self().ID, key.Time().Add(-c.config.ClockSkew))
	found, refusal := c.queryMembers(ctx, key, live)
	switch {
	case found != nil:
		return found, nil
	case view.Stage == intent.StageUnknown:
		return nil, view.Refusal
	case refusal == nil && dead != "":
		refusal = unknown(cluster.ReasonOtherOriginator, "host "+dead+", which is dead, may have run the call", "")
	}
	return nil, refusal
}

// queryMembers queries the hosts concurrently. A host that does not reply may
// have run the call.
func (c *Controller) queryMembers(ctx context.Context, key intent.Key, members []cluster.Member) (found *bufferedResponse, refusal *cluster.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryAllTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, member := range members {
		group.Go(func() error {
			reply, err := c.queryMember(ctx, key, member)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				refusal = unknown(cluster.ReasonOtherOriginator, "host "+member.ID+" may have run the call and does not answer", "")
			case reply.GetState() == peerpb.IntentResultReply_STATE_DONE:
				found = responseFromResult(intent.Result{Status: int(reply.GetStatus()), Header: reply.GetHeaders(), Body: reply.GetBody()})
				found.replayed = true
			case reply.GetState() != peerpb.IntentResultReply_STATE_NOT_RUN:
				refusal = unknown(cluster.ReasonOtherOriginator, "host "+member.ID+" may have run the call", "")
			}
			return nil // the replies of the other hosts are still used
		})
	}
	_ = group.Wait()
	return found, refusal
}

func (c *Controller) queryMember(ctx context.Context, key intent.Key, member cluster.Member) (*peerpb.IntentResultReply, error) {
	client, err := c.peers.Client(member.PeerAddr)
	if err != nil {
		return nil, err
	}
	return client.IntentResult(ctx, &peerpb.IntentResultRequest{Key: key.String()})
}
