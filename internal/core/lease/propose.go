package lease

import (
	"slices"
	"time"
)

const (
	// proposeDelay is how long membership and view must differ, and the time
	// between the turns of two hosts.
	proposeDelay = 2 * time.Second
	// settleTime is how long a proposal may take to show up in the stream
	// before this host proposes again.
	settleTime = 4 * time.Second
	// contestedWithin is the time in which another host's view replaces this
	// host's view when the two see different members.
	contestedWithin = 30 * time.Second
	// maxContested bounds the doubling of the delay to 32 s.
	maxContested = 4
	// republishShare is the part of the retention after which the newest view
	// is written again.
	republishShare = 3
)

// Proposer decides when this host proposes a view of its data centre.
type Proposer struct {
	Self       string
	DataCentre string
	Retention  time.Duration

	differsSince time.Time
	basis        int64 // epoch that differsSince refers to
	proposedAt   time.Time
	ownEpoch     int64 // newest view that this host proposed
	ownReadAt    time.Time
	contested    int
}

// NewProposer returns a proposer that has proposed nothing yet.
func NewProposer(self, dataCentre string, retention time.Duration) *Proposer {
	return &Proposer{Self: self, DataCentre: dataCentre, Retention: retention, basis: NoEpoch - 1, ownEpoch: NoEpoch}
}

// Next returns the record to append now, without its ID, if any. Live holds
// the sorted IDs of the live hosts of the data centre, without leaving ones.
func (p *Proposer) Next(now time.Time, b *ViewTable, live []string) (Record, bool) {
	view, provisional, known := b.View(p.DataCentre)
	epoch := NoEpoch
	if known {
		epoch = view.Epoch
	}
	p.observe(now, view, epoch)
	rank := slices.Index(live, p.Self)
	outdated := known && (provisional || p.Retention > 0 && now.Sub(view.Time) > p.Retention/republishShare)
	if rank < 0 || !outdated && known && slices.Equal(view.Hosts, live) {
		p.differsSince = time.Time{}
		return Record{}, false
	}
	if p.differsSince.IsZero() {
		p.differsSince = now
	}
	wait := proposeDelay * time.Duration(1+rank)
	if p.contested > 0 {
		wait += proposeDelay << p.contested
	}
	if now.Sub(p.differsSince) < wait || !p.proposedAt.IsZero() && now.Sub(p.proposedAt) < settleTime {
		return Record{}, false
	}
	p.proposedAt = now
	return Record{DataCentre: p.DataCentre, BaseEpoch: epoch, Hosts: slices.Clone(live), Proposer: p.Self}, true
}

// observe notices a new view. When another host's view replaces this host's
// soon after, the two hosts see different members, and this host waits longer
// before it proposes again.
func (p *Proposer) observe(now time.Time, view View, epoch int64) {
	if epoch == p.basis {
		return
	}
	if p.basis == p.ownEpoch && p.ownEpoch != NoEpoch && view.Proposer != p.Self {
		if now.Sub(p.ownReadAt) < contestedWithin && !slices.Contains(view.Hosts, p.Self) {
			p.contested = min(p.contested+1, maxContested)
		} else {
			p.contested = 0
		}
	}
	if view.Proposer == p.Self {
		p.ownEpoch, p.ownReadAt = epoch, now
	}
	p.basis = epoch
	p.differsSince = time.Time{}
	p.proposedAt = time.Time{}
}
