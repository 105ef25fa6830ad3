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
	// askAllTimeout bounds the question to all hosts. It may end after the
	// caller's deadline, because a refusal without it could be untrue.
	askAllTimeout = 500 * time.Millisecond
	// maxAskingCalls bounds the calls for which all hosts are asked at once, so
	// that refusals under overload do not multiply the load. The others are
	// answered "unknown".
	maxAskingCalls = 128
	// maxQuestions bounds the questions of one round that are open at once.
	maxQuestions = 64
)

// deaths remembers when hosts were found dead. A host that died before a call's
// key was made cannot have run the call.
type deaths struct {
	members cluster.Members
	keep    time.Duration // longest life of a key

	mu    sync.Mutex
	since map[string]time.Time // by ID of a dead host
	alive map[string]cluster.Member
}

func newDeaths(members cluster.Members, keep time.Duration) *deaths {
	return &deaths{members: members, keep: keep, since: make(map[string]time.Time), alive: make(map[string]cluster.Member)}
}

// update reads the membership. A host that left the list counts as dead, and
// one that is first met dead may have died just now.
func (d *deaths) update(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool)
	for _, member := range d.members.All() {
		listed[member.ID] = true
		if member.State != cluster.MemberDead {
			d.alive[member.ID] = member
			delete(d.since, member.ID)
			continue
		}
		delete(d.alive, member.ID)
		if _, known := d.since[member.ID]; !known {
			d.since[member.ID] = now
		}
	}
	for id := range d.alive {
		if !listed[id] {
			d.since[id] = now
			delete(d.alive, id)
		}
	}
	for id, since := range d.since {
		if now.Sub(since) > d.keep && !listed[id] {
			delete(d.since, id)
		}
	}
}

// candidates returns the live hosts that can be asked about a key issued at the
// given time, and a dead host that may have run it, if there is one.
func (d *deaths) candidates(self string, issued time.Time) (ask []cluster.Member, dead string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, member := range d.alive {
		if id != self {
			ask = append(ask, member)
		}
	}
	for id, since := range d.since {
		if issued.Before(since) {
			dead = id
		}
	}
	return ask, dead
}

// askAll asks this host and all others what they know about a call. It returns
// the answer of the call, or a refusal when the call may have run, or neither
// when no host can have run it.
func (c *Controller) askAll(ctx context.Context, key intent.Key) (*answer, *cluster.Refusal) {
	now := time.Now()
	view := c.view(func(l *intent.Ledger) intent.View { return l.ByKey(key, now) })
	switch view.Stage {
	case intent.StageDone:
		a := stored(view.Result)
		a.replayed = true
		return a, nil
	case intent.StageAbandoned, intent.StageUnknown:
	default:
		return nil, unknown(cluster.ReasonDeadline, "the call may be running", "")
	}
	select {
	case c.asking <- struct{}{}:
		defer func() { <-c.asking }()
	default:
		return nil, unknown(cluster.ReasonOverload, "too many refused calls wait for the other hosts", "")
	}
	c.deaths.update(now)
	ask, dead := c.deaths.candidates(c.members.Self().ID, key.Time().Add(-c.config.ClockSkew))
	found, refusal := c.askMembers(ctx, key, ask)
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

// askMembers asks the hosts at the same time. A host that does not answer may
// have run the call.
func (c *Controller) askMembers(ctx context.Context, key intent.Key, members []cluster.Member) (found *answer, refusal *cluster.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askAllTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxQuestions)
	for _, member := range members {
		group.Go(func() error {
			reply, err := c.askMember(ctx, key, member)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				refusal = unknown(cluster.ReasonOtherOriginator, "host "+member.ID+" may have run the call and does not answer", "")
			case reply.GetState() == peerpb.IntentResultReply_STATE_DONE:
				found = stored(intent.Result{Status: int(reply.GetStatus()), Header: reply.GetHeaders(), Body: reply.GetBody()})
				found.replayed = true
			case reply.GetState() != peerpb.IntentResultReply_STATE_NOT_RUN:
				refusal = unknown(cluster.ReasonOtherOriginator, "host "+member.ID+" may have run the call", "")
			}
			return nil // the other hosts' answers still count
		})
	}
	_ = group.Wait()
	return found, refusal
}

func (c *Controller) askMember(ctx context.Context, key intent.Key, member cluster.Member) (*peerpb.IntentResultReply, error) {
	client, err := c.peers.Client(member.PeerAddr)
	if err != nil {
		return nil, err
	}
	return client.IntentResult(ctx, &peerpb.IntentResultRequest{Key: key.String()})
}
