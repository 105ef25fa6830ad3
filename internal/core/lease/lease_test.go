package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

var start = time.Unix(1_700_000_000, 0)

const term = 6 * time.Second

func record(t must.T, base int64, hosts ...string) []byte {
	data, err := Record{DataCentre: "yoff", BaseEpoch: base, Hosts: hosts, Proposer: hosts[0]}.Encode()
	must.NoError(t, err)
	return data
}

// history draws a stream of view records from competing hosts, and the current
// epoch after each record.
func history(t *rapid.T) (stream [][]byte, epochs []int64) {
	active := []int64{NoEpoch} // every epoch that was current, newest last
	for offset := range int64(rapid.IntRange(2, 30).Draw(t, "records")) {
		lag := min(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "lag"), len(active)-1)
		base := active[len(active)-1-lag]
		switch {
		case rapid.IntRange(0, 9).Draw(t, "bad") == 0:
			stream = append(stream, []byte("{"))
		default:
			stream = append(stream, record(t, base, fmt.Sprintf("host-%d", offset)))
			if lag == 0 {
				active = append(active, offset)
			}
		}
		epochs = append(epochs, active[len(active)-1])
	}
	return stream, epochs
}

func read(views *ViewTable, stream [][]byte, from int) {
	for offset := from; offset < len(stream); offset++ {
		_, _, _ = views.Apply(start, int64(offset), start, stream[offset])
	}
}

// Guards against readers that disagree on the view: one that read everything,
// one that started after records expired, and one that missed some records.
func TestReadersAgreeOnTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream, epochs := history(t)
		complete := NewViewTable()
		for offset := range stream {
			_, _, _ = complete.Apply(start, int64(offset), start, stream[offset])
			view, _, ok := complete.View("yoff")
			must.Eq(t, epochs[offset] != NoEpoch, ok)
			if ok {
				must.Eq(t, epochs[offset], view.Epoch)
			}
		}
		lagging := NewViewTable()
		stop := rapid.IntRange(0, len(stream)-1).Draw(t, "read before the gap")
		read(lagging, stream[:stop], 0)
		earliest := rapid.IntRange(stop, len(stream)).Draw(t, "earliest")
		lagging.SkipTo(int64(earliest))
		read(lagging, stream, earliest)
		if view, provisional, ok := lagging.View("yoff"); ok && !provisional {
			must.Eq(t, epochs[len(epochs)-1], view.Epoch)
		}
		// The next two views of hosts that know the current view confirm it.
		last := epochs[len(epochs)-1]
		for range 2 {
			stream = append(stream, record(t, last, "next"))
			last = int64(len(stream)) - 1
			read(lagging, stream, len(stream)-1)
		}
		view, provisional, ok := lagging.View("yoff")
		must.True(t, ok)
		must.False(t, provisional)
		must.Eq(t, last, view.Epoch)
	})
}

// Guards against a paused owner that sends orders after its lease expired, a
// new owner that sends orders before the former owner's lease expired, and a
// delayed response to a read that is treated as fresh.
func TestAuthorizeOrder(t *testing.T) {
	views := NewViewTable()
	authorizer := Authorizer{Views: views, Self: "a", LeaseTerm: term}
	check := func(at time.Duration, checked bool) Refusal {
		_, refusal := authorizer.AuthorizeOrder(start.Add(at), "replica", "yoff", checked)
		return refusal
	}
	must.Eq(t, NoView, check(0, true))
	_, _, _ = views.Apply(start, 0, start, record(t, NoEpoch, "b"))
	must.Eq(t, NotOwner, check(0, true))
	_, _, _ = views.Apply(start.Add(time.Second), 1, start, record(t, 0, "a"))
	must.Eq(t, "", check(time.Second, true))
	must.Eq(t, StaleRead, check(time.Second, false))
	authorizer.LastReadStart = start.Add(2 * time.Second)
	must.Eq(t, Handover, check(7*time.Second, false))
	authorizer.LastReadStart = start.Add(7 * time.Second)
	must.Eq(t, "", check(8*time.Second, false))
	permission, _ := authorizer.AuthorizeOrder(start.Add(8*time.Second), "replica", "yoff", false)
	must.Eq(t, start.Add(13*time.Second), permission.Deadline)
	must.Eq(t, 1, permission.Fence)
	must.Eq(t, StaleRead, check(13*time.Second, false))
	_, _, _ = views.Apply(start.Add(14*time.Second), 2, start, record(t, 1, "a", "b2"))
	authorizer.LastReadStart = start.Add(14 * time.Second)
	if Owner("replica", []string{"a", "b2"}) == "a" {
		must.Eq(t, "", check(14*time.Second, false), must.Sprint("an owner that remains the owner does not wait again"))
	}
	views.SkipTo(3)
	must.Eq(t, Provisional, check(14*time.Second, true))
}

// Guards against a lease that outlives its term because the monotonic clock
// stopped while the machine was suspended.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	must.Eq(t, time.Second, elapsed(now, later))
	wallOnly := now.Round(0).Add(time.Minute) // wall clock after the machine resumes
	must.Eq(t, time.Minute, elapsed(now, wallOnly))
	must.Greater(t, term, elapsed(now, now.Round(0).Add(-time.Minute)))
}

// Guards against a host that restarts under the same name and sends orders
// while its earlier process may still hold a lease under the same view.
func TestRestartedOwnerWaitsForLeaseExpiry(t *testing.T) {
	authorizer := Authorizer{Views: NewViewTable(), Self: "a", LeaseTerm: term}
	_, _, _ = authorizer.Views.Apply(start, 0, start, record(t, NoEpoch, "a"))
	authorizer.RecordRead(start, start)
	_, refusal := authorizer.AuthorizeOrder(start.Add(time.Second), "replica", "yoff", false)
	must.Eq(t, Handover, refusal)
	authorizer.RecordRead(start.Add(term), start.Add(term))
	_, refusal = authorizer.AuthorizeOrder(start.Add(term+2*time.Second), "replica", "yoff", false)
	must.Eq(t, "", refusal)
}

// Guards against all hosts proposing at once, against no proposal when the
// first host does not act, and against a view that expires from the log.
func TestProposersAreStaggered(t *testing.T) {
	views := NewViewTable()
	live := []string{"a", "b"}
	first := NewProposer("a", "yoff", 30*time.Minute)
	second := NewProposer("b", "yoff", 30*time.Minute)
	proposals := func(p *Proposer, until time.Duration) (at time.Duration, r Record) {
		for ; at <= until; at += 100 * time.Millisecond {
			if r, ok := p.Next(start.Add(at), views, live); ok {
				return at, r
			}
		}
		return -1, r
	}
	at, r := proposals(first, 10*time.Second)
	must.Eq(t, 2*time.Second, at)
	must.Eq(t, live, r.Hosts)
	must.Eq(t, NoEpoch, r.BaseEpoch)
	at, _ = proposals(second, 10*time.Second)
	must.Eq(t, 4*time.Second, at)
	_, _, _ = views.Apply(start, 0, start, record(t, NoEpoch, live...))
	at, _ = proposals(NewProposer("a", "yoff", 30*time.Minute), 9*time.Minute)
	must.Eq(t, -1, at)
	at, r = proposals(NewProposer("a", "yoff", 30*time.Minute), 11*time.Minute)
	must.Greater(t, 10*time.Minute, at)
	must.Eq(t, 0, r.BaseEpoch)
}

// Guards against a replica changing its owner although the owner is still live.
func TestOwnersChangeOnlyForReplicasOfRemovedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{3}`), 2, 12, rapid.ID).Draw(t, "hosts")
		removed := hosts[0]
		for i := range 50 {
			replica := fmt.Sprint("replica-", i)
			before := Owner(replica, hosts)
			after := ActingOwner(replica, hosts, hosts[1:])
			must.True(t, before == after || before == removed)
		}
		must.Eq(t, "only", ActingOwner("replica", []string{removed}, []string{"only"}))
	})
}
