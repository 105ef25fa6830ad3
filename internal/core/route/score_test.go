package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func highest(request Request, prefixes *PrefixIndex, candidates ...Candidate) string {
	request.Model, request.DataCentre = "album", "plateau"
	choice := Choose(request, candidates, prefixes, DefaultWeights(), time.Unix(1000, 0))
	return choice.Best[0].Candidate.Replica
}

// Guards against a scorer without effect or with the wrong sign.
func TestScorers(t *testing.T) {
	plain := candidate("a", "plateau", func(c *Candidate) { c.Running = 4 })
	with := func(change func(*Candidate)) Candidate {
		return candidate("b", "plateau", func(c *Candidate) { c.Running = 4; change(c) })
	}
	none := NewPrefixIndex()
	must.Eq(t, "b", highest(Request{}, none, plain, with(func(c *Candidate) { c.Running = 1 })))
	must.Eq(t, "a", highest(Request{}, none, plain, with(func(c *Candidate) { c.Running, c.Pending = 1, 6 })))
	must.Eq(t, "b", highest(Request{}, none, plain, with(func(c *Candidate) { c.Pending = -3 })))
	must.Eq(t, "a", highest(Request{NewestVersion: 5}, none, plain, with(func(c *Candidate) { c.Version = 4 })))
	must.Eq(t, "a", highest(Request{}, none, plain, with(func(c *Candidate) { c.Limit = 4 })))
	sent := NewPrefixIndex()
	sent.RecordSent("b", []uint64{1, 2}, time.Unix(1000, 0))
	request := Request{Prefix: []uint64{1, 2, 3}}
	must.Eq(t, "b", highest(request, sent, plain, with(func(*Candidate) {})))
	// A cached prefix does not compensate for a much higher load.
	must.Eq(t, "a", highest(request, sent, plain, with(func(c *Candidate) { c.Running = 16 })))
	full := func(c *Candidate) { c.Running = 8 }
	must.Eq(t, "near", highest(Request{}, none, candidate("near", "plateau", full), candidate("far", "yoff", full)))
}

// Guards against routers that disagree on the preferred replica of a prefix,
// and against one replica being preferred for all prefixes.
func TestPreferredReplicasAgreeAndSpread(t *testing.T) {
	candidates := fleet(20)
	counts := make(map[string]int)
	for prefix := range uint64(2000) {
		request := Request{Model: "album", DataCentre: "plateau", Prefix: []uint64{mix(prefix, 1)}}
		eligible, _ := filter(request, candidates)
		first, second := preferred(request, eligible)
		must.NotEq(t, first.Replica, second.Replica)
		counts[first.Replica]++
	}
	must.MapLen(t, 20, counts)
	for replica, n := range counts {
		must.Between(t, 50, n, 150, must.Sprint(replica))
	}
}
