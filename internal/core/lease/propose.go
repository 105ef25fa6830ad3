package lease

import (
	"slices"
	"time"
)

const (
	// proposeDelay is how long membership and view must differ before the first
	// host proposes a view, and the time between the proposals of two hosts.
	proposeDelay = 2 * time.Second
	// proposalTimeout is how long a proposal may take to appear in the stream
	// before this host proposes again.
	proposalTimeout = 4 * time.Second
	// contestWindow is the time after this host's view became current within
	// which its replacement by another host's view counts as a sign that the two
	// hosts see different members.
	contestWindow = 30 * time.Second
	// maxContestedCount limits the exponential backoff to 32 s.
	maxContestedCount = 4
	// republishDivisor sets the age at which the newest view is written again,
	// as a fraction of the retention: Retention/republishDivisor.
	republishDivisor = 3
)

// Proposer decides when this host proposes a view of its data centre.
type Proposer struct {
	Self       string
	DataCentre string
	Retention  time.Duration

	mismatchSince  time.Time // when membership and view began to differ
	observedEpoch  int64     // of the view that mismatchSince refers to
	proposedAt     time.Time
	ownEpoch       int64 // newest view that this host proposed
	ownReadAt      time.Time
	contestedCount int // successive views of this host that were contested
}

// NewProposer returns a proposer that has not proposed a view.
func NewProposer(self, dataCentre string, retention time.Duration) *Proposer {
	return &Proposer{Self: self, DataCentre: dataCentre, Retention: retention, observedEpoch: NoEpoch - 1, ownEpoch: NoEpoch}
}

// Next returns the record to append now, if any, without its ID. live holds the
// sorted IDs of the live hosts of the data centre, without leaving ones.
func (p *Proposer) Next(now time.Time, views *ViewTable, live []string) (Record, bool) {
	view, provisional, known := views.View(p.DataCentre)
	epoch := NoEpoch
	if known {
		epoch = view.Epoch
	}
	p.observe(now, view, epoch)
	rank := slices.Index(live, p.Self)
	outdated := known && (provisional || p.Retention > 0 && now.Sub(view.Time) > p.Retention/republishDivisor)
	if rank < 0 || !outdated && known && slices.Equal(view.Hosts, live) {
		p.mismatchSince = time.Time{}
		return Record{}, false
	}
	if p.mismatchSince.IsZero() {
		p.mismatchSince = now
	}
	wait := proposeDelay * time.Duration(1+rank)
	if p.contestedCount > 0 {
		wait += proposeDelay << p.contestedCount
	}
	if now.Sub(p.mismatchSince) < wait || !p.proposedAt.IsZero() && now.Sub(p.proposedAt) < proposalTimeout {
		return Record{}, false
	}
	p.proposedAt = now
	return Record{DataCentre: p.DataCentre, BaseEpoch: epoch, Hosts: slices.Clone(live), Proposer: p.Self}, true
}

// observe handles a new view. If another host's view soon replaces this host's
// and leaves this host out, the two hosts see different members, and this host
// waits longer before it proposes again.
func (p *Proposer) observe(now time.Time, view View, epoch int64) {
	if epoch == p.observedEpoch {
		return
	}
	if p.observedEpoch == p.ownEpoch && p.ownEpoch != NoEpoch && view.Proposer != p.Self {
		if now.Sub(p.ownReadAt) < contestWindow && !slices.Contains(view.Hosts, p.Self) {
			p.contestedCount = min(p.contestedCount+1, maxContestedCount)
		} else {
			p.contestedCount = 0
		}
	}
	if view.Proposer == p.Self {
		p.ownEpoch, p.ownReadAt = epoch, now
	}
	p.observedEpoch = epoch
	p.mismatchSince = time.Time{}
	p.proposedAt = time.Time{}
}
