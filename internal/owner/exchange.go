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
	// exchangeBytesPerSecond bounds what a host sends in summaries, by sending
	// them less often when there are many members. A host may use 9 KB/s for
	// all control traffic.
	exchangeBytesPerSecond = 4096
	// messageOverhead is what HTTP/2 and gRPC add to a small message and its
	// answer, in bytes, with compressed headers.
	messageOverhead = 60
	// remoteEvery is the number of intervals between summaries to another data
	// centre, whose replicas are only used when the own ones are full.
	remoteEvery = 4
	// maxRemote is the number of replicas with room that another data centre
	// is told of at a time, and maxForeign the number of rows of other data
	// centres in one summary. Without a bound, the rows of 15 other data
	// centres would crowd out those of the own one.
	maxRemote  = 4
	maxForeign = 8
	// exchangeTimeout bounds one call.
	exchangeTimeout = 2 * time.Second
	// loadStep is the change of a load, as a share of the limit, that is worth
	// a new row.
	loadStep = 0.05
)

// exchangeState is what was sent to whom.
type exchangeState struct {
	turn    int
	next    int     // local member to begin with
	allowed float64 // bytes that may be sent now
	at      time.Time
	targets map[string]*target
	// foreign holds rows received from other data centres that were not yet
	// passed on in the own one.
	foreign map[uint64]*peerpb.LoadRow
}

// target is one member that gets summaries.
type target struct {
	sent     map[uint64]*peerpb.LoadRow
	fullAt   time.Time
	busy     bool
	marks    map[string]suspect.Suspicion // changes not yet sent
	foreign  map[uint64]*peerpb.LoadRow
	versions map[string]int64
}

func newExchangeState() exchangeState {
	return exchangeState{targets: make(map[string]*target), foreign: make(map[uint64]*peerpb.LoadRow)}
}

// Exchange merges another host's rows, suspicions and versions, and answers
// with the newest versions of the models that the message names.
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
		c.rows.put(row, now)
		if remote {
			c.exchange.foreign[row.ReplicaHash] = row
		}
	}
	for _, mark := range in.Suspicions {
		c.suspects.Merge(suspect.Suspicion{
			Fingerprint: mark.Fingerprint, Crashes: int(mark.Crashes),
			IsolatedCrashes: int(mark.SoloCrashes), Cleared: mark.Cleared,
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

// send is one message to one member.
type send struct {
	member  cluster.Member
	message *peerpb.ExchangeMessage
	target  *target
}

// sendExchange sends summaries to the members whose turn it is.
func (c *Controller) sendExchange(ctx context.Context, now time.Time) {
	local, remote := destinations(c.members.Self(), c.members.All())
	own, versions := c.ownRows(), c.newestVersions()

	c.mu.Lock()
	c.updateTargets(local, remote)
	c.exchange.turn++
	c.exchange.earn(now)
	sends := c.plan(local, own, versions, true, now)
	sends = append(sends, c.plan(c.remoteTurn(remote), own, versions, false, now)...)
	c.mu.Unlock()

	var calls sync.WaitGroup
	for _, s := range sends {
		calls.Go(func() {
			err := c.sendTo(ctx, s.member, s.message)
			c.mu.Lock()
			defer c.mu.Unlock()
			s.target.busy = false
			if err != nil {
				s.target.fullAt = time.Time{} // send everything next time
				klog.V(2).InfoS("exchange failed", "member", s.member.ID, "err", err)
			}
		})
	}
	calls.Wait()
}

// updateTargets keeps one target per destination and gives them what is to be
// passed on. The caller holds the lock.
func (c *Controller) updateTargets(local, remote []cluster.Member) {
	live := make(map[string]bool)
	for _, m := range append(slices.Clone(local), remote...) {
		live[m.ID] = true
		if c.exchange.targets[m.ID] == nil {
			c.exchange.targets[m.ID] = &target{marks: make(map[string]suspect.Suspicion), foreign: make(map[uint64]*peerpb.LoadRow)}
		}
	}
	for id := range c.exchange.targets {
		if !live[id] {
			delete(c.exchange.targets, id)
		}
	}
	changes := c.suspects.Changes()
	for _, m := range local {
		maps.Copy(c.exchange.targets[m.ID].foreign, c.exchange.foreign)
	}
	for id := range live {
		for _, mark := range changes {
			c.exchange.targets[id].marks[mark.Fingerprint] = mark
		}
	}
	clear(c.exchange.foreign)
}

// remoteTurn returns the members of other data centres that get a summary now:
// all of them now and then, and otherwise those that miss suspicions. The
// caller holds the lock.
func (c *Controller) remoteTurn(remote []cluster.Member) []cluster.Member {
	if c.exchange.turn%remoteEvery == 0 {
		return remote
	}
	return slices.DeleteFunc(remote, func(m cluster.Member) bool {
		return len(c.exchange.targets[m.ID].marks) == 0
	})
}

// plan builds the messages that may be sent now, beginning with another member
// each time. Suspicions do not wait for the allowance: a host that does not
// know them may crash another engine. The caller holds the lock.
func (c *Controller) plan(members []cluster.Member, own []*peerpb.LoadRow, versions map[string]int64, near bool,
	now time.Time) []send {
	var sends []send
	self, first := c.members.Self().ID, c.exchange.next
	for i := range members {
		m := members[(first+i)%len(members)]
		t := c.exchange.targets[m.ID]
		if t.busy || c.exchange.allowed <= 0 && len(t.marks) == 0 {
			continue
		}
		if near {
			c.exchange.next = (first + i + 1) % len(members)
		}
		message := c.summary(t, own, versions, near, now)
		if message == nil {
			continue
		}
		message.Host = self
		t.busy = true
		c.exchange.allowed -= float64(proto.Size(message) + messageOverhead)
		sends = append(sends, send{m, message, t})
	}
	return sends
}

// earn adds the allowance for the time since the last call, up to that of two
// seconds.
func (e *exchangeState) earn(now time.Time) {
	if e.at.IsZero() {
		e.allowed = 2 * exchangeBytesPerSecond
	} else {
		e.allowed += now.Sub(e.at).Seconds() * exchangeBytesPerSecond
	}
	e.allowed = min(e.allowed, 2*exchangeBytesPerSecond)
	e.at = now
}

// newestVersions returns the newest weight version of each declared model.
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

func (c *Controller) sendTo(ctx context.Context, m cluster.Member, message *peerpb.ExchangeMessage) error {
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

// summary builds what a target does not have yet, or returns nil. The caller
// holds the lock.
func (c *Controller) summary(t *target, own []*peerpb.LoadRow, versions map[string]int64, near bool,
	now time.Time) *peerpb.ExchangeMessage {
	message := &peerpb.ExchangeMessage{}
	full := now.Sub(t.fullAt) >= c.config.FullExchangeInterval
	if full {
		t.fullAt, t.sent, t.versions = now, nil, nil
	}
	if t.sent == nil {
		t.sent = make(map[uint64]*peerpb.LoadRow)
	}
	if !near {
		own = spare(own, t.sent)
	}
	for _, row := range own {
		if last := t.sent[row.ReplicaHash]; last == nil || differs(last, row) {
			message.Loads = append(message.Loads, row)
			t.sent[row.ReplicaHash] = row
		}
	}
	passed := 0
	for hash, row := range t.foreign {
		if passed++; passed > maxForeign {
			break
		}
		message.Loads = append(message.Loads, row)
		delete(t.foreign, hash)
	}
	if near && full {
		for _, mark := range c.suspects.All() {
			t.marks[mark.Fingerprint] = mark
		}
	}
	for _, mark := range t.marks {
		message.Suspicions = append(message.Suspicions, &peerpb.Suspicion{
			Fingerprint: mark.Fingerprint, Crashes: int32(mark.Crashes),
			SoloCrashes: int32(mark.IsolatedCrashes), Cleared: mark.Cleared,
		})
	}
	clear(t.marks)
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

// spare returns the rows for another data centre: the replicas with the most
// room, and those sent before, which may have none any more. Others are of no
// use there.
func spare(own []*peerpb.LoadRow, sent map[uint64]*peerpb.LoadRow) []*peerpb.LoadRow {
	room := func(row *peerpb.LoadRow) int32 { return row.Limit - row.Running - row.Queued }
	sorted := slices.Clone(own)
	slices.SortStableFunc(sorted, func(a, b *peerpb.LoadRow) int { return cmp.Compare(room(b), room(a)) })
	var rows []*peerpb.LoadRow
	for i, row := range sorted {
		if sent[row.ReplicaHash] != nil || i < maxRemote && row.Healthy && room(row) > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// differs reports whether a row changed enough to be sent again.
func differs(last, row *peerpb.LoadRow) bool {
	if last.Healthy != row.Healthy || last.Model != row.Model || last.Version != row.Version || last.Limit != row.Limit {
		return true
	}
	change := float64(last.Running + last.Queued - row.Running - row.Queued)
	return max(change, -change) > loadStep*float64(row.Limit)
}

// ownRows returns the rows of the replicas that this host owns.
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
		load, _ := c.admit.Load(id)
		row := &peerpb.LoadRow{
			ReplicaHash: c.rows.hash(id), Running: int32(load.Running), Queued: int32(load.Queued),
			Limit: int32(load.Limit), Version: replica.State.Version,
			Healthy: replica.Healthy && !replica.Leaving && !now.Before(c.out[id]),
		}
		if replica.State.Model != replica.Model {
			row.Model = replica.State.Model
		}
		rows = append(rows, row)
	}
	return rows
}

// destinations returns the live members of the own data centre, and one live
// member of each other data centre, chosen by rendezvous hash so that the
// hosts of this data centre spread over those of the other.
func destinations(self cluster.Member, all []cluster.Member) (local, remote []cluster.Member) {
	best := make(map[string]int)
	highest := make(map[string]uint64)
	for _, m := range all {
		if m.ID == self.ID || m.State == cluster.MemberDead {
			continue
		}
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
			continue
		}
		h := xxhash.Sum64String(self.ID + "\x00" + m.ID)
		at, known := best[m.DataCentre]
		switch {
		case !known:
			best[m.DataCentre], highest[m.DataCentre] = len(remote), h
			remote = append(remote, m)
		case h > highest[m.DataCentre]:
			remote[at], highest[m.DataCentre] = m, h
		}
	}
	return local, remote
}
