package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
)

func refusal(t *testing.T, err error) *cluster.Refusal {
	t.Helper()
	var got *cluster.Refusal
	must.True(t, errors.As(err, &got), must.Sprint(err))
	return got
}

// Guards against new or waiting work reaching a replica that is leaving, and
// against running work being cut off there.
func TestLeavingReplicaFinishesWhatRunsAndRefusesTheRest(t *testing.T) {
	f, c := newFixture(t)
	var started, waiting []<-chan error
	for i := range 4 {
		started = append(started, run(c, fmt.Sprint("a", i), "running", false))
	}
	eventually(t, "four run", func() bool { return f.count("running") == 4 })
	for i := range 3 {
		waiting = append(waiting, run(c, fmt.Sprint("b", i), "waiting", false))
	}
	eventually(t, "three wait", func() bool { return queued(c) == 3 })
	f.mu.Lock()
	f.replicas[0].Leaving = true
	f.mu.Unlock()
	c.refresh(time.Now())
	waiting = append(waiting, run(c, "late", "waiting", false))
	for _, result := range waiting {
		got := refusal(t, <-result)
		must.Eq(t, cluster.ReasonDraining, got.Reason)
		must.Eq(t, cluster.OutcomeNotRun, got.Outcome)
	}
	close(f.hold)
	for _, result := range started {
		must.NoError(t, <-result)
	}
	must.Eq(t, 0, f.most["waiting"])
}

// Guards against a suspect sharing the replica with other work.
func TestSuspectRunsAlone(t *testing.T) {
	f, c := newFixture(t)
	c.RecordCrash("suspect", "earlier", "elsewhere", false)
	before := run(c, "a", "before", false)
	eventually(t, "the first runs", func() bool { return f.count("before") == 1 })
	alone := run(c, "b", "suspect", false)
	eventually(t, "the suspect waits", func() bool { return queued(c) == 1 })
	after := run(c, "c", "after", false)
	eventually(t, "the last waits", func() bool { return queued(c) == 2 })
	close(f.hold)
	for _, result := range []<-chan error{before, alone, after} {
		must.NoError(t, <-result)
	}
	must.Eq(t, 1, f.most["suspect"])
	must.Eq(t, suspect.Run, c.Verdict("suspect")) // its whole answer cleared it
}

// Guards against a cut connection marking content for good, and against a real
// crash being forgiven.
func TestCrashIsConfirmedByTheIncarnation(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f, c := newFixture(t)
		f.broken = true
		got := refusal(t, <-run(c, "a", "content", false))
		must.True(t, got.Crashed)
		must.Eq(t, cluster.OutcomeUnknown, got.Outcome)
		must.Eq(t, suspect.RunIsolated, c.Verdict("content"))
		if restarted {
			f.replicas[0].State.Incarnation++
		}
		c.refresh(time.Now().Add(confirmCrash - time.Second))
		must.Eq(t, suspect.RunIsolated, c.Verdict("content"))
		c.refresh(time.Now().Add(confirmCrash + time.Second))
		must.Eq(t, restarted, c.Verdict("content") == suspect.RunIsolated)
	}
}

// Guards against work that is admitted for replicas of other owners, for other
// models or with weights that are too old.
func TestWrongReplicaIsRefusedAsNotRun(t *testing.T) {
	_, c := newFixture(t)
	for _, tc := range []struct {
		reason cluster.Reason
		req    *peerpb.RunRequest
	}{
		{cluster.ReasonNotOwner, &peerpb.RunRequest{Replica: "other", Model: "album"}},
		{cluster.ReasonNoReplica, &peerpb.RunRequest{Replica: "r0", Model: "gallery"}},
		{cluster.ReasonNoReplica, &peerpb.RunRequest{Replica: "r0", Model: "album", Adapter: "studio"}},
		{cluster.ReasonNoReplica, &peerpb.RunRequest{Replica: "r0", Model: "album", MinVersion: 2}},
	} {
		reason, req := tc.reason, tc.req
		err := c.RunLocal(context.Background(), req, func(engine.Chunk) error { return nil })
		must.Eq(t, reason, refusal(t, err).Reason)
		must.Eq(t, cluster.OutcomeNotRun, refusal(t, err).Outcome)
	}
}

// Guards against rows that are sent although nothing changed, against a member
// that missed a message staying behind, and against dead members being called.
func TestExchangeSendsChangesAndMakesUpForLosses(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	step := func() []*peerpb.ExchangeMessage {
		now = now.Add(500 * time.Millisecond)
		c.sendExchange(context.Background(), now)
		return f.take("near")
	}
	must.Len(t, 2, step()[0].Loads) // first contact: all rows
	must.SliceEmpty(t, step())
	f.replicas[1].State.Version, f.replicas[1].State.Model = 2, "gallery"
	c.refresh(now)
	changed := step()[0].Loads
	must.Len(t, 1, changed)
	must.Eq(t, "gallery", changed[0].Model)
	must.Eq(t, route.HashReplica("r1"), changed[0].ReplicaHash)
	c.RecordCrash("content", "a", "r9", true)
	f.fail["near"] = true
	must.SliceEmpty(t, step())
	f.fail["near"] = false
	made := step()[0]
	must.Len(t, 2, made.Loads)
	must.Len(t, 1, made.Suspicions)
	must.Eq(t, "content", made.Suspicions[0].Fingerprint)
	must.Eq(t, 1, made.Suspicions[0].SoloCrashes)
	now = now.Add(10 * time.Second)
	must.Len(t, 2, step()[0].Loads) // the full set now and then
	must.SliceEmpty(t, f.take("dead"))
}

// Guards against rows of other data centres that stay with the host that got
// them, that are passed on without end, or that go to several hosts there.
func TestRowsOfOtherDataCentresArePassedOnOnce(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	for range 2 * remoteEvery {
		now = now.Add(500 * time.Millisecond)
		c.sendExchange(context.Background(), now)
	}
	must.Eq(t, 1, min(1, len(f.take("far-1")))+min(1, len(f.take("far-2"))))
	f.take("near")
	_, err := c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "far-1", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y0"), Model: "gallery", Running: 3, Limit: 8, Healthy: true, Version: 1}},
	})
	must.NoError(t, err)
	c.sendExchange(context.Background(), now)
	must.Eq(t, route.HashReplica("y0"), f.take("near")[0].Loads[0].ReplicaHash)
	_, err = c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "near", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y1"), Limit: 8, Healthy: true}},
	})
	must.NoError(t, err)
	c.sendExchange(context.Background(), now)
	must.SliceEmpty(t, f.take("near"))
	rows := c.Candidates(func() []platform.BackendServer {
		return []platform.BackendServer{{ID: "y0", Kind: platform.KindEngine, DataCentre: "yoff", Model: "album"}}
	})
	must.Len(t, 1, rows)
	must.Eq(t, "gallery", rows[0].Model) // what it runs, not what it was started for
	must.True(t, rows[0].StateKnown)
	must.Eq(t, 3, rows[0].Running)
}

// Guards against cache events that are not read, read twice, or trusted over a
// gap or a restart of the engine.
func TestCacheEventsReachTheRouter(t *testing.T) {
	f, c := newFixture(t)
	f.replicas = f.replicas[:1]
	c.refresh(time.Now())
	depth := func() (found float64) {
		c.followCaches(context.Background())
		c.WithPrefixIndex(func(p *route.PrefixIndex) { found = p.Match([]uint64{1, 2}, time.Now())["r0"] })
		return found
	}
	f.events = []engine.CacheEvent{{Seq: 1, Stored: true, Prefix: "01"}, {Seq: 2, Stored: true, Prefix: "02"}}
	must.Eq(t, 2.0, depth())
	must.Eq(t, 2.0, depth())
	f.events = append(f.events, engine.CacheEvent{Seq: 3, Prefix: "02"})
	must.Eq(t, 1.0, depth())
	f.events = append(f.events, engine.CacheEvent{Seq: 5, Stored: true, Prefix: "03"})
	must.Eq(t, 0.5, depth())
	f.replicas[0].State.Incarnation, f.events = 2, nil
	c.refresh(time.Now())
	must.Eq(t, 0.0, depth())
}

// Guards against control traffic that grows with the square of the hosts, and
// against members that never get their turn because of the bound. The size is
// that of a data centre in two years.
func TestExchangeStaysWithinItsBytes(t *testing.T) {
	f, c := newFixture(t)
	f.members = f.members[:1]
	for i := range 36 {
		id := fmt.Sprintf("host-%02d", i)
		f.members = append(f.members, cluster.Member{ID: id, DataCentre: "plateau", PeerAddr: id})
	}
	for i := range 20 {
		r := f.replicas[0]
		r.ID = fmt.Sprintf("replica-%02d", i)
		f.replicas = append(f.replicas, r)
	}
	now := time.Now()
	const seconds = 60
	for i := range 2 * seconds {
		now = now.Add(500 * time.Millisecond)
		for j := range f.replicas {
			f.replicas[j].State.Version = int64(i) // every row changes all the time
		}
		c.refresh(now)
		c.sendExchange(context.Background(), now)
	}
	bytes := int64(0)
	for _, total := range c.recorder.Totals() {
		if total.Name == "exchange_sent_bytes_total" {
			bytes = total.Value
		}
	}
	must.Less(t, int64((seconds+3)*exchangeBytesPerSecond), bytes)
	fewest, most := seconds, 0
	for _, m := range f.members[1:] {
		n := len(f.take(m.PeerAddr))
		fewest, most = min(fewest, n), max(most, n)
	}
	t.Logf("%d bytes/s; a member got between %d and %d summaries in %d s", bytes/seconds, fewest, most, seconds)
	must.GreaterEq(t, 10, fewest)
	must.LessEq(t, fewest+1, most)
}

// Guards against content that crashed engines here being unknown in other data
// centres, to which its caller may turn next, and the other way round.
func TestSuspicionsReachOtherDataCentres(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	suspects := func(messages []*peerpb.ExchangeMessage) (found []string) {
		for _, message := range messages {
			for _, mark := range message.Suspicions {
				found = append(found, mark.Fingerprint)
			}
		}
		return found
	}
	c.RecordCrash("own", "a", "r9", false)
	_, err := c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "far-1", Suspicions: []*peerpb.Suspicion{{Fingerprint: "theirs", Crashes: 1}},
	})
	must.NoError(t, err)
	must.Eq(t, suspect.RunIsolated, c.Verdict("theirs"))
	c.sendExchange(context.Background(), now)
	must.Eq(t, []string{"own", "theirs"}, sorted(suspects(f.take("near"))))
	must.SliceContains(t, suspects(append(f.take("far-1"), f.take("far-2")...)), "own")
}

func sorted(texts []string) []string {
	slices.Sort(texts)
	return texts
}

// Guards against every waiting request trying a replica whose owner still
// starts, and against the replica staying out once its row says otherwise.
func TestRefusedReplicaIsLeftAloneUntilItsRowComes(t *testing.T) {
	_, c := newFixture(t)
	servers := func() []platform.BackendServer {
		return []platform.BackendServer{{ID: "y0", Kind: platform.KindEngine, DataCentre: "yoff", Model: "album"}}
	}
	must.False(t, c.Candidates(servers)[0].StateKnown)
	eventually(t, "the refusal counts", func() bool {
		c.RecordRefusal("y0")
		out := c.Candidates(servers)[0]
		return out.StateKnown && !out.Healthy
	})
	_, err := c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "far-1", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y0"), Limit: 8, Healthy: true}},
	})
	must.NoError(t, err)
	eventually(t, "the row counts", func() bool { return c.Candidates(servers)[0].Healthy })
}
