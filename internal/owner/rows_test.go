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

// rendezvous owns replicas as the orders role decides it.
type rendezvous struct{ hosts []string }

func (r rendezvous) Owner(replica, _ string) (cluster.Member, bool) {
	return cluster.Member{ID: lease.Owner(replica, r.hosts)}, true
}

func (rendezvous) MayOrder(string) (int64, bool) { return 0, false }

// BenchmarkRows measures the building of all candidates of a data centre of
// 750 replicas and 37 hosts, which happens at most every rowsRefresh.
func BenchmarkRows(b *testing.B) {
	_, c := newFixture(b)
	owners := rendezvous{}
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
		c.rows.builtAt = time.Time{}
		c.Candidates(func() []platform.BackendServer { return listed })
	}
}

// Guards against owners that are asked for only once: a dead member, a new
// replica and a refusal each have to show at once.
func TestOwnersFollowMembersListAndRefusals(t *testing.T) {
	_, c := newFixture(t)
	asked := &rendezvous{hosts: []string{"near"}}
	c.ownership = asked
	listed := []platform.BackendServer{{ID: "x", Kind: platform.KindEngine}}
	owner := func() string {
		c.rows.builtAt = time.Time{}
		rows := c.Candidates(func() []platform.BackendServer { return listed })
		return rows[len(rows)-1].Owner
	}
	must.Eq(t, "near", owner())
	asked.hosts = []string{"far-1"}
	must.Eq(t, "near", owner()) // nothing hints at a change yet
	c.RecordRefusal("x")
	must.Eq(t, "far-1", owner())
	asked.hosts = []string{"far-2"}
	c.members.(*fixture).members[1].State = cluster.MemberDead
	must.Eq(t, "far-2", owner())
	asked.hosts = []string{"far-1"}
	listed = append(listed, platform.BackendServer{ID: "y", Kind: platform.KindEngine})
	must.Eq(t, "far-1", owner())
}
