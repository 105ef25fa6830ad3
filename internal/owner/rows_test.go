package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// rendezvousOwnership assigns replicas to hosts by rendezvous hashing, as package
// orders does.
type rendezvousOwnership struct{ hosts []string }

func (r rendezvousOwnership) Owner(replica, _ string) (cluster.Member, bool) {
	return cluster.Member{ID: lease.Owner(replica, r.hosts)}, true
}

func (rendezvousOwnership) MayOrder(string) (int64, bool) { return 0, false }

// BenchmarkCandidates measures building all candidates of a data centre with 750
// replicas and 37 hosts, which happens at most once per candidatesMaxAge.
func BenchmarkCandidates(b *testing.B) {
	_, c := newFixture(b)
	owners := rendezvousOwnership{}
	for i := range 37 {
		owners.hosts = append(owners.hosts, fmt.Sprintf("host-%02d", i))
	}
	c.ownership = owners
	var listed []platform.BackendServer
	for i := range 750 {
		listed = append(listed, platform.BackendServer{
			ID: fmt.Sprintf("replica-%03d", i), Kind: platform.KindEngine, Model: "album", DataCentre: "plateau",
		})
	}
	for b.Loop() {
		c.routing.builtAt = time.Time{}
		c.Candidates(func() []platform.BackendServer { return listed })
	}
}

// Guards against stale owners in the cache: a dead member, a new replica and a
// refusal must each invalidate it at once.
func TestOwnerCacheInvalidation(t *testing.T) {
	_, c := newFixture(t)
	ownership := &rendezvousOwnership{hosts: []string{"near"}}
	c.ownership = ownership
	listed := []platform.BackendServer{{ID: "x", Kind: platform.KindEngine}}
	owner := func() string {
		c.routing.builtAt = time.Time{}
		candidates := c.Candidates(func() []platform.BackendServer { return listed })
		return candidates[len(candidates)-1].Owner
	}
	must.Eq(t, "near", owner())
	ownership.hosts = []string{"far-1"}
	must.Eq(t, "near", owner()) // nothing has invalidated the cache yet
	c.RecordRefusal("x")
	must.Eq(t, "far-1", owner())
	ownership.hosts = []string{"far-2"}
	c.members.(*fixture).members[1].State = cluster.MemberDead
	must.Eq(t, "far-2", owner())
	ownership.hosts = []string{"far-1"}
	listed = append(listed, platform.BackendServer{ID: "y", Kind: platform.KindEngine})
	must.Eq(t, "far-1", owner())
}
