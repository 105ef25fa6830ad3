package member_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"

	"github.com/sesamestand/sesamestand/internal/core/member"
)

// Guards against hosts that never agree again after packet loss, crashes,
// restarts, pauses, departures and partitions, against a running member that
// remains dead for other hosts, incarnations that decrease, and packets over
// the size limit.
func TestHostsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), hosts, rapid.IntRange(1, 3).Draw(t, "data centres"))
		if mismatch := n.waitForAgreement(time.Minute, nil); mismatch != "" {
			t.Fatal(mismatch)
		}
		n.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		versions := map[string]int64{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			fault(t, n, versions)
			n.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "run for ms")) * time.Millisecond)
		}
		n.partitioned = nil
		n.loss = min(n.loss, 0.2)
		if seed := n.hosts[0]; !seed.up { // hosts can only join through a running seed
			n.start(seed)
		}
		for _, h := range n.hosts { // stands for the next report of the weight store
			if h.up && versions["album"] > 0 {
				h.core.AnnounceVersion("album", versions["album"])
				break
			}
		}
		if mismatch := n.waitForAgreement(3*time.Minute, versions); mismatch != "" {
			t.Fatal(mismatch)
		}
	})
}

// fault applies one random fault or change.
func fault(t *rapid.T, n *network, versions map[string]int64) {
	h := n.hosts[rapid.IntRange(0, len(n.hosts)-1).Draw(t, "host")]
	switch kind := rapid.SampledFrom([]string{"kill", "restart", "pause", "partition", "heal", "quit", "announce"}).Draw(t, "fault"); {
	case kind == "restart":
		n.start(h)
	case kind == "partition":
		side := rapid.Uint64().Draw(t, "side")
		n.partitioned = func(from, to *simHost) bool { return n.side(from, side) != n.side(to, side) }
	case kind == "heal":
		n.partitioned = nil
	case !h.up:
	case kind == "kill":
		h.up = false
	case kind == "pause":
		h.pausedUntil = n.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause ms")) * time.Millisecond)
	case kind == "quit":
		n.execute(h, h.core.Shutdown())
		h.up = false
	case kind == "announce":
		version := int64(rapid.IntRange(1, 100).Draw(t, "version"))
		if h.core.AnnounceVersion("album", version) {
			versions["album"] = max(versions["album"], version)
		}
	}
}

func (n *network) side(h *simHost, mask uint64) bool {
	for i, other := range n.hosts {
		if other == h {
			return mask>>i&1 == 1
		}
	}
	return false
}

// Guards against members being declared dead by hosts of their own side when a
// partition heals, because the other side still reports them dead.
func TestHealedPartitionKeepsOwnSideAlive(t *testing.T) {
	n := newNetwork(7, 20, 2)
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
	n.partitioned = func(from, to *simHost) bool { return from.dc != to.dc }
	n.run(30 * time.Second)
	for _, row := range n.hosts[0].core.Rows() {
		must.Eq(t, row.DataCentre != n.hosts[0].dc, row.State == member.Dead, must.Sprint(row.ID))
	}
	n.onChange = func(observer *simHost, c member.Change) {
		if c.Row.State == member.Dead {
			t.Errorf("%s declared %s dead: %s", observer.id, c.Row.ID, c.Reason)
		}
	}
	n.partitioned = nil
	must.Eq(t, "", n.waitForAgreement(2*time.Minute, nil))
}

// Guards against a host that was paused declaring others dead when it resumes.
func TestPausedHostDoesNotSuspectOthers(t *testing.T) {
	n := newNetwork(3, 8, 1)
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
	paused := n.hosts[5]
	n.onChange = func(observer *simHost, c member.Change) {
		if c.Row.ID != paused.id && c.Row.State != member.Alive {
			t.Errorf("%s reports %s in state %v: %s", observer.id, c.Row.ID, c.Row.State, c.Reason)
		}
	}
	paused.pausedUntil = n.now.Add(20 * time.Second)
	n.run(15 * time.Second)
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
}

// Guards against a leaving host that is declared failed while it drains, and
// one that remains listed as leaving after its shutdown.
func TestLeavingHostIsSeenAsLeavingThenDead(t *testing.T) {
	n := newNetwork(5, 6, 1)
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
	h := n.hosts[2]
	h.core.Leave()
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
	n.run(30 * time.Second)
	must.Eq(t, "", n.disagreement(nil))
	must.True(t, h.core.Self().Leaving)
	n.execute(h, h.core.Shutdown())
	h.up = false
	must.Eq(t, "", n.waitForAgreement(time.Minute, nil))
}
