package owner

import (
	"context"
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
	// membersPerInterval is the number of members that get a summary each
	// interval. More members get summaries in proportion less often, because
	// the bytes that a host sends grow with their number.
	membersPerInterval = 12
	// remoteEvery is the number of intervals between summaries to another data
	// centre, whose replicas are only used when the own ones are full.
	remoteEvery = 4
	// exchangeTimeout bounds one call.
	exchangeTimeout = 2 * time.Second
	// loadStep is the change of a load, as a share of the limit, that is worth
	// a new row.
	loadStep = 0.05
)

// exchangeState is what was sent to whom.
type exchangeState struct {
	turn    int
	targets map[string]*target
	// foreign holds rows received from other data centres that were not yet
	// passed on in the own one.
	foreign map[string]*peerpb.LoadRow
}

// target is one member that gets summaries.
type target struct {
	sent     map[string]*peerpb.LoadRow
	fullAt   time.Time
	busy     bool
	marks    map[string]suspect.Mark // changes not yet sent
	foreign  map[string]*peerpb.LoadRow
	versions map[string]int64
}

func newExchangeState() exchangeState {
	return exchangeState{targets: make(map[string]*target), foreign: make(map[string]*peerpb.LoadRow)}
}

// Exchange merges another host's rows, suspicions and versions.
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
		c.rows.received[row.Replica] = receivedRow{row: row, from: in.Host, at: now}
		if remote {
			c.exchange.foreign[row.Replica] = row
		}
	}
	for _, mark := range in.Suspicions {
		c.suspects.Merge(suspect.Mark{
			Fingerprint: mark.Fingerprint, Crashes: int(mark.Crashes),
			SoloCrashes: int(mark.SoloCrashes), Cleared: mark.Cleared,
		}, now)
	}
	c.mu.Unlock()
	if c.versions != nil {
		for model, version := range in.Versions {
			c.versions.Announce(model, version)
		}
	}
	return &peerpb.ExchangeMessage{Host: self.ID}, nil
}

// sendExchange sends summaries to the members whose turn it is.
func (c *Controller) sendExchange(ctx context.Context, now time.Time) {
	self := c.members.Self()
	local, remote := destinations(self, c.members.All())
	own := c.ownRows()
	versions := c.newestVersions()

	c.mu.Lock()
	c.exchange.turn++
	turn := c.exchange.turn
	live := make(map[string]bool)
	for _, m := range append(local, remote...) {
		live[m.ID] = true
		if c.exchange.targets[m.ID] == nil {
			c.exchange.targets[m.ID] = &target{marks: make(map[string]suspect.Mark), foreign: make(map[string]*peerpb.LoadRow)}
		}
	}
	for id := range c.exchange.targets {
		if !live[id] {
			delete(c.exchange.targets, id)
		}
	}
	changes := c.suspects.Changes()
	for _, m := range local {
		t := c.exchange.targets[m.ID]
		for id, row := range c.exchange.foreign {
			t.foreign[id] = row
		}
		for _, mark := range changes {
			t.marks[mark.Fingerprint] = mark
		}
	}
	clear(c.exchange.foreign)
	type send struct {
		member  cluster.Member
		message *peerpb.ExchangeMessage
		target  *target
	}
	var sends []send
	plan := func(members []cluster.Member, stride int, withMarks bool) {
		for i, m := range members {
			t := c.exchange.targets[m.ID]
			if t.busy || (i+turn)%stride != 0 {
				continue
			}
			if message := c.summary(t, own, versions, withMarks, now); message != nil {
				message.Host = self.ID
				t.busy = true
				sends = append(sends, send{m, message, t})
			}
		}
	}
	plan(local, 1+len(local)/membersPerInterval, true)
	plan(remote, remoteEvery, false)
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
func (c *Controller) summary(t *target, own []*peerpb.LoadRow, versions map[string]int64, withMarks bool,
	now time.Time) *peerpb.ExchangeMessage {
	message := &peerpb.ExchangeMessage{}
	full := now.Sub(t.fullAt) >= c.config.FullInterval
	if full {
		t.fullAt, t.sent, t.versions = now, nil, nil
	}
	if t.sent == nil {
		t.sent = make(map[string]*peerpb.LoadRow)
	}
	for _, row := range own {
		if last := t.sent[row.Replica]; last == nil || differs(last, row) {
			message.Loads = append(message.Loads, row)
			t.sent[row.Replica] = row
		}
	}
	for _, row := range t.foreign {
		message.Loads = append(message.Loads, row)
	}
	clear(t.foreign)
	if withMarks {
		if full {
			for _, mark := range c.suspects.All() {
				t.marks[mark.Fingerprint] = mark
			}
		}
		for _, mark := range t.marks {
			message.Suspicions = append(message.Suspicions, &peerpb.Suspicion{
				Fingerprint: mark.Fingerprint, Crashes: int32(mark.Crashes),
				SoloCrashes: int32(mark.SoloCrashes), Cleared: mark.Cleared,
			})
		}
		clear(t.marks)
	}
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

// differs reports whether a row changed enough to be sent again.
func differs(last, row *peerpb.LoadRow) bool {
	if last.Healthy != row.Healthy || last.Version != row.Version || last.Limit != row.Limit {
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
		rows = append(rows, &peerpb.LoadRow{
			Replica: id, Running: int32(load.Running), Queued: int32(load.Queued), Limit: int32(load.Limit),
			WaitMs: float64(load.Wait) / float64(time.Millisecond), Version: replica.State.Version,
			Healthy: replica.Healthy && !replica.Leaving && !now.Before(c.out[id]),
		})
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
