package owner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	// exchangeBytesPerSecond is the rate limit on the exchange messages that a
	// host sends. With many members, each of them gets messages less often. The
	// budget of a host for all control traffic is 9 KB/s.
	exchangeBytesPerSecond = 4096
	// messageOverhead is the number of bytes that HTTP/2 and gRPC add to a small
	// message and its response, with compressed headers.
	messageOverhead = 60
	// remoteExchangeRounds is the number of rounds between exchanges with another
	// data centre. They are less frequent than local ones because replicas of
	// other data centres are used only when the local ones are full.
	remoteExchangeRounds = 4
	// maxRemoteRows limits how many replicas with free capacity one message
	// reports to another data centre. maxForwardedRows limits how many rows from
	// other data centres one message forwards. Without these limits, the rows of
	// 15 other data centres would leave too little of the byte budget for local
	// rows.
	maxRemoteRows    = 4
	maxForwardedRows = 8
	// exchangeTimeout bounds one Exchange call.
	exchangeTimeout = 2 * time.Second
	// loadChangeThreshold is the change of a replica's load, as a fraction of its
	// concurrency limit, above which its row is sent again.
	loadChangeThreshold = 0.05
)

// exchangeState holds the rate limiter of the exchange and, for each member,
// what was sent to it.
type exchangeState struct {
	round      int
	nextLocal  int     // index of the local member that the next round starts with
	byteBudget float64 // tokens of the rate limiter, in bytes
	refilledAt time.Time
	targets    map[string]*target
	// toForward holds rows received from other data centres that are not yet
	// queued for the members of the local one.
	toForward map[uint64]*peerpb.LoadRow
}

// target is the exchange state of one member that messages are sent to.
type target struct {
	sent       map[uint64]*peerpb.LoadRow   // last row sent of each replica, by hash of its ID
	fullSentAt time.Time                    // time of the last message with all rows
	inFlight   bool                         // a call is in flight; there is at most one
	suspicions map[string]suspect.Suspicion // changes not yet sent, by fingerprint
	toForward  map[uint64]*peerpb.LoadRow   // rows from other data centres, by hash of the replica's ID
	versions   map[string]int64             // weight versions last sent, by model
}

func newExchangeState() exchangeState {
	return exchangeState{targets: make(map[string]*target), toForward: make(map[uint64]*peerpb.LoadRow)}
}

// Exchange implements peer.ExchangeHandler. It merges another host's load rows,
// suspicions and weight versions. The reply has the newest versions of the models
// in the message.
func (c *Controller) Exchange(_ context.Context, in *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	now := time.Now()
	self := c.members.Self()
	remote := false
	for _, m := range c.members.All() {
		if m.ID == in.Host {
			remote = m.DataCentre != self.DataCentre
		}
	}
	c.mu.Lock()
	for _, row := range in.Loads {
		c.routing.store(row, now)
		if remote {
			c.exchange.toForward[row.ReplicaHash] = row
		}
	}
	for _, suspicion := range in.Suspicions {
		c.suspects.Merge(suspect.Suspicion{
			Fingerprint: suspicion.Fingerprint, Crashes: int(suspicion.Crashes),
			IsolatedCrashes: int(suspicion.SoloCrashes), Cleared: suspicion.Cleared,
		}, remote, now)
	}
	c.mu.Unlock()
	reply := &peerpb.ExchangeMessage{Host: self.ID}
	if c.versions != nil && len(in.Versions) > 0 {
		reply.Versions = make(map[string]int64, len(in.Versions))
		for model, version := range in.Versions {
			c.versions.Announce(model, version)
			reply.Versions[model] = c.versions.Newest(model)
		}
	}
	return reply, nil
}

// outgoingExchange is one message to be sent to one member.
type outgoingExchange struct {
	member  cluster.Member
	message *peerpb.ExchangeMessage
	target  *target
}

// sendExchange runs one round of the exchange: it sends messages to the members
// that planExchanges selects, and waits for the calls to end.
func (c *Controller) sendExchange(ctx context.Context, now time.Time) {
	local, remote := destinations(c.members.Self(), c.members.All())
	own, versions := c.ownRows(), c.newestVersions()

	c.mu.Lock()
	c.updateTargets(local, remote)
	c.exchange.round++
	c.exchange.refill(now)
	outgoing := c.planExchanges(local, own, versions, true, now)
	outgoing = append(outgoing, c.planExchanges(c.remoteRecipients(remote), own, versions, false, now)...)
	c.mu.Unlock()

	var calls sync.WaitGroup
	for _, o := range outgoing {
		calls.Go(func() {
			err := c.callExchange(ctx, o.member, o.message)
			c.mu.Lock()
			defer c.mu.Unlock()
			o.target.inFlight = false
			if err != nil {
				o.target.fullSentAt = time.Time{} // the next message has all rows again
				klog.V(2).InfoS("exchange failed", "member", o.member.ID, "err", err)
			}
		})
	}
	calls.Wait()
}

// updateTargets creates a target for each new member and removes those of
// members that are no longer destinations. It queues rows to forward for local
// targets and changed suspicions for all of them. The caller must hold c.mu.
func (c *Controller) updateTargets(local, remote []cluster.Member) {
	live := make(map[string]bool)
	for _, m := range append(slices.Clone(local), remote...) {
		live[m.ID] = true
		if c.exchange.targets[m.ID] == nil {
			c.exchange.targets[m.ID] = &target{suspicions: make(map[string]suspect.Suspicion), toForward: make(map[uint64]*peerpb.LoadRow)}
		}
	}
	for id := range c.exchange.targets {
		if !live[id] {
			delete(c.exchange.targets, id)
		}
	}
	changes := c.suspects.Changes()
	for _, m := range local {
		maps.Copy(c.exchange.targets[m.ID].toForward, c.exchange.toForward)
	}
	for id := range live {
		for _, suspicion := range changes {
			c.exchange.targets[id].suspicions[suspicion.Fingerprint] = suspicion
		}
	}
	clear(c.exchange.toForward)
}

// remoteRecipients returns the members of other data centres that are sent a
// message in this round: all of them once every remoteExchangeRounds, and
// otherwise those with unsent suspicions. The caller must hold c.mu.
func (c *Controller) remoteRecipients(remote []cluster.Member) []cluster.Member {
	if c.exchange.round%remoteExchangeRounds == 0 {
		return remote
	}
	return slices.DeleteFunc(remote, func(m cluster.Member) bool {
		return len(c.exchange.targets[m.ID].suspicions) == 0
	})
}

// planExchanges builds the messages that the rate limit allows now. A round
// starts after the last local member that the previous one reached, so that the
// rate limit does not starve any of them. Suspicions are exempt from the rate
// limit: a host that does not have them may send a crash-inducing request to
// another engine. The caller must hold c.mu.
func (c *Controller) planExchanges(members []cluster.Member, own []*peerpb.LoadRow, versions map[string]int64, isLocal bool,
	now time.Time) []outgoingExchange {
	var outgoing []outgoingExchange
	self, first := c.members.Self().ID, c.exchange.nextLocal
	for i := range members {
		m := members[(first+i)%len(members)]
		t := c.exchange.targets[m.ID]
		if t.inFlight || c.exchange.byteBudget <= 0 && len(t.suspicions) == 0 {
			continue
		}
		if isLocal {
			c.exchange.nextLocal = (first + i + 1) % len(members)
		}
		message := c.buildMessage(t, own, versions, isLocal, now)
		if message == nil {
			continue
		}
		message.Host = self
		t.inFlight = true
		c.exchange.byteBudget -= float64(proto.Size(message) + messageOverhead)
		outgoing = append(outgoing, outgoingExchange{m, message, t})
	}
	return outgoing
}

// refill adds the byte budget for the time since the last call. The burst size
// is the budget of two seconds.
func (e *exchangeState) refill(now time.Time) {
	if e.refilledAt.IsZero() {
		e.byteBudget = 2 * exchangeBytesPerSecond
	} else {
		e.byteBudget += now.Sub(e.refilledAt).Seconds() * exchangeBytesPerSecond
	}
	e.byteBudget = min(e.byteBudget, 2*exchangeBytesPerSecond)
	e.refilledAt = now
}

// newestVersions returns the newest weight version of each declared model, or
// nil if weight versions are not exchanged.
func (c *Controller) newestVersions() map[string]int64 {
	set, _ := c.configs.Current()
	if c.versions == nil || set == nil {
		return nil
	}
	versions := make(map[string]int64, len(set.Models))
	for model := range set.Models {
		if version := c.versions.Newest(model); version > 0 {
			versions[model] = version
		}
	}
	return versions
}

func (c *Controller) callExchange(ctx context.Context, m cluster.Member, message *peerpb.ExchangeMessage) error {
	client, err := c.peers.Client(m.PeerAddr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c.recorder.Add("exchange_sent_bytes_total", int64(proto.Size(message)))
	_, err = client.Exchange(ctx, message)
	return err
}

// buildMessage returns a message with what was not yet sent to the target, and
// records it as sent. It returns nil if there is nothing to send. Once every
// FullExchangeInterval it includes all rows, and all suspicions for local
// targets. The caller must hold c.mu.
func (c *Controller) buildMessage(t *target, own []*peerpb.LoadRow, versions map[string]int64, isLocal bool,
	now time.Time) *peerpb.ExchangeMessage {
	message := &peerpb.ExchangeMessage{}
	full := now.Sub(t.fullSentAt) >= c.config.FullExchangeInterval
	if full {
		t.fullSentAt, t.sent, t.versions = now, nil, nil
	}
	if t.sent == nil {
		t.sent = make(map[uint64]*peerpb.LoadRow)
	}
	if !isLocal {
		own = rowsForRemote(own, t.sent)
	}
	for _, row := range own {
		if last := t.sent[row.ReplicaHash]; last == nil || rowChanged(last, row) {
			message.Loads = append(message.Loads, row)
			t.sent[row.ReplicaHash] = row
		}
	}
	forwarded := 0
	for hash, row := range t.toForward {
		if forwarded++; forwarded > maxForwardedRows {
			break
		}
		message.Loads = append(message.Loads, row)
		delete(t.toForward, hash)
	}
	if isLocal && full {
		for _, suspicion := range c.suspects.All() {
			t.suspicions[suspicion.Fingerprint] = suspicion
		}
	}
	for _, suspicion := range t.suspicions {
		message.Suspicions = append(message.Suspicions, &peerpb.Suspicion{
			Fingerprint: suspicion.Fingerprint, Crashes: int32(suspicion.Crashes),
			SoloCrashes: int32(suspicion.IsolatedCrashes), Cleared: suspicion.Cleared,
		})
	}
	clear(t.suspicions)
	for model, version := range versions {
		if t.versions[model] < version {
			if message.Versions == nil {
				message.Versions = make(map[string]int64)
			}
			message.Versions[model] = version
		}
	}
	t.versions = versions
	if len(message.Loads)+len(message.Suspicions)+len(message.Versions) == 0 {
		return nil
	}
	return message
}

// rowsForRemote returns the rows to send to another data centre: those of the
// replicas with the most free capacity, and those sent earlier, whose replicas
// may be full by now. Routers there do not need the other rows, because they use
// remote replicas only for their free capacity.
func rowsForRemote(own []*peerpb.LoadRow, sent map[uint64]*peerpb.LoadRow) []*peerpb.LoadRow {
	headroom := func(row *peerpb.LoadRow) int32 { return row.Limit - row.Running - row.Queued }
	byHeadroom := slices.Clone(own)
	slices.SortStableFunc(byHeadroom, func(a, b *peerpb.LoadRow) int { return cmp.Compare(headroom(b), headroom(a)) })
	var rows []*peerpb.LoadRow
	for i, row := range byHeadroom {
		if sent[row.ReplicaHash] != nil || i < maxRemoteRows && row.Healthy && headroom(row) > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// rowChanged reports whether a row differs enough from the last one sent to be
// sent again.
func rowChanged(last, row *peerpb.LoadRow) bool {
	if last.Healthy != row.Healthy || last.Model != row.Model || last.Version != row.Version || last.Limit != row.Limit {
		return true
	}
	change := float64(last.Running + last.Queued - row.Running - row.Queued)
	return max(change, -change) > loadChangeThreshold*float64(row.Limit)
}

// ownRows returns the load rows of the replicas that this host owns.
func (c *Controller) ownRows() []*peerpb.LoadRow {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]*peerpb.LoadRow, 0, len(c.replicas))
	for _, id := range c.admit.Replicas() {
		replica, ok := c.replicas[id]
		if !ok {
			continue
		}
		load, _ := c.admit.Load(id, now)
		row := &peerpb.LoadRow{
			ReplicaHash: c.routing.hash(id), Running: int32(load.Running), Queued: int32(load.Queued),
			Limit: int32(load.Limit), Version: replica.State.Version,
			Healthy: replica.Healthy && !replica.Leaving && !now.Before(c.excludedUntil[id]),
		}
		if replica.State.Model != replica.Model {
			row.Model = replica.State.Model
		}
		rows = append(rows, row)
	}
	return rows
}

// destinations returns the live members of the local data centre, and one live
// member of each other data centre. The latter is chosen by rendezvous hashing,
// which spreads the hosts of this data centre over those of the other one.
func destinations(self cluster.Member, all []cluster.Member) (local, remote []cluster.Member) {
	indexes := make(map[string]int)
	highestHashes := make(map[string]uint64)
	for _, m := range all {
		if m.ID == self.ID || m.State == cluster.MemberDead {
			continue
		}
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
			continue
		}
		h := xxhash.Sum64String(self.ID + "\x00" + m.ID)
		index, known := indexes[m.DataCentre]
		switch {
		case !known:
			indexes[m.DataCentre], highestHashes[m.DataCentre] = len(remote), h
			remote = append(remote, m)
		case h > highestHashes[m.DataCentre]:
			remote[index], highestHashes[m.DataCentre] = m, h
		}
	}
	return local, remote
}
