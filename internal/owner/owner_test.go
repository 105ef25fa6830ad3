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

func requireRefusal(t *testing.T, err error) *cluster.Refusal {
	t.Helper()
	var got *cluster.Refusal
	must.True(t, errors.As(err, &got), must.Sprint(err))
	return got
}

// Guards against new or queued requests reaching a replica that is leaving, and
// against running requests being aborted there.
func TestLeavingReplicaDrainsAndRefusesQueuedRequests(t *testing.T) {
	f, c := newFixture(t)
	var started, waiting []<-chan error
	for i := range 4 {
		started = append(started, startRun(c, fmt.Sprint("a", i), "running", false))
	}
	eventually(t, "four requests running", func() bool { return f.runningCount("running") == 4 })
	for i := range 3 {
		waiting = append(waiting, startRun(c, fmt.Sprint("b", i), "waiting", false))
	}
	eventually(t, "three requests queued", func() bool { return queued(c) == 3 })
	f.mu.Lock()
	f.replicas[0].Leaving = true
	f.mu.Unlock()
	c.refresh(time.Now())
	waiting = append(waiting, startRun(c, "late", "waiting", false))
	for _, result := range waiting {
		got := requireRefusal(t, <-result)
		must.Eq(t, cluster.ReasonDraining, got.Reason)
		must.Eq(t, cluster.OutcomeNotRun, got.Outcome)
	}
	close(f.release)
	for _, result := range started {
		must.NoError(t, <-result)
	}
	must.Eq(t, 0, f.maxConcurrent["waiting"])
}

// Guards against a suspected request sharing the replica with other requests.
func TestSuspectRequestRunsIsolated(t *testing.T) {
	f, c := newFixture(t)
	c.RecordCrash("suspect", "earlier", "elsewhere", false)
	before := startRun(c, "a", "before", false)
	eventually(t, "first request running", func() bool { return f.runningCount("before") == 1 })
	isolated := startRun(c, "b", "suspect", false)
	eventually(t, "suspected request queued", func() bool { return queued(c) == 1 })
	after := startRun(c, "c", "after", false)
	eventually(t, "last request queued", func() bool { return queued(c) == 2 })
	close(f.release)
	for _, result := range []<-chan error{before, isolated, after} {
		must.NoError(t, <-result)
	}
	must.Eq(t, 1, f.maxConcurrent["suspect"])     // nothing else ran with it
	must.Eq(t, suspect.Run, c.Verdict("suspect")) // cleared by the complete response
}

// Guards against a broken connection leaving a permanent suspicion, and against
// the suspicion from a real crash being withdrawn.
func TestCrashConfirmedByIncarnation(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f, c := newFixture(t)
		f.breakStreams = true
		got := requireRefusal(t, <-startRun(c, "a", "content", false))
		must.True(t, got.StreamBroken)
		must.Eq(t, cluster.OutcomeUnknown, got.Outcome)
		must.Eq(t, suspect.RunIsolated, c.Verdict("content"))
		if restarted {
			f.replicas[0].State.Incarnation++
		}
		c.refresh(time.Now().Add(crashConfirmDelay - time.Second))
		must.Eq(t, suspect.RunIsolated, c.Verdict("content"))
		c.refresh(time.Now().Add(crashConfirmDelay + time.Second))
		must.Eq(t, restarted, c.Verdict("content") == suspect.RunIsolated)
	}
}

// Guards against requests being admitted to a replica that this host does not
// own, or that serves another model, lacks the adapter or has too old weights.
func TestIneligibleReplicaRefusedAsNotRun(t *testing.T) {
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
		must.Eq(t, reason, requireRefusal(t, err).Reason)
		must.Eq(t, cluster.OutcomeNotRun, requireRefusal(t, err).Outcome)
	}
}

// Guards against unchanged rows being sent again, against the content of a failed
// message never being resent, and against calls to dead members.
func TestExchangeSendsChangesAndResendsAfterFailure(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	step := func() []*peerpb.ExchangeMessage {
		now = now.Add(500 * time.Millisecond)
		c.sendExchange(context.Background(), now)
		return f.drainSent("near")
	}
	must.Len(t, 2, step()[0].Loads) // the first message has all rows
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
	resent := step()[0]
	must.Len(t, 2, resent.Loads)
	must.Len(t, 1, resent.Suspicions)
	must.Eq(t, "content", resent.Suspicions[0].Fingerprint)
	must.Eq(t, 1, resent.Suspicions[0].SoloCrashes)
	now = now.Add(10 * time.Second)
	must.Len(t, 2, step()[0].Loads) // all rows again after FullExchangeInterval
	must.SliceEmpty(t, f.drainSent("dead"))
}

// Guards against rows from other data centres that are not forwarded to local
// members or are forwarded more than once, and against messages to more than one
// host of another data centre.
func TestRemoteRowsForwardedOnce(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	for range 2 * remoteExchangeRounds {
		now = now.Add(500 * time.Millisecond)
		c.sendExchange(context.Background(), now)
	}
	must.Eq(t, 1, min(1, len(f.drainSent("far-1")))+min(1, len(f.drainSent("far-2"))))
	f.drainSent("near")
	_, err := c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "far-1", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y0"), Model: "gallery", Running: 3, Limit: 8, Healthy: true, Version: 1}},
	})
	must.NoError(t, err)
	c.sendExchange(context.Background(), now)
	must.Eq(t, route.HashReplica("y0"), f.drainSent("near")[0].Loads[0].ReplicaHash)
	_, err = c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "near", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y1"), Limit: 8, Healthy: true}},
	})
	must.NoError(t, err)
	c.sendExchange(context.Background(), now)
	must.SliceEmpty(t, f.drainSent("near"))
	candidates := c.Candidates(func() []platform.BackendServer {
		return []platform.BackendServer{{ID: "y0", Kind: platform.KindEngine, DataCentre: "yoff", Model: "album"}}
	})
	must.Len(t, 1, candidates)
	must.Eq(t, "gallery", candidates[0].Model) // the model that it serves, not the one in the host list
	must.True(t, candidates[0].StateKnown)
	must.Eq(t, 3, candidates[0].Running)
}

// Guards against cache events that are not read or are applied twice, and
// against cached prefixes that keep their full weight after a gap in the events
// or outlive a restart of the engine.
func TestCacheEventsUpdatePrefixIndex(t *testing.T) {
	f, c := newFixture(t)
	f.replicas = f.replicas[:1]
	c.refresh(time.Now())
	depth := func() (found float64) {
		c.readCacheEvents(context.Background())
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

// Guards against control traffic of a data centre that grows with the square of
// the number of hosts, and against members that are starved by the rate limit.
// The test has the size expected of a data centre in two years.
func TestExchangeStaysWithinByteBudget(t *testing.T) {
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
			f.replicas[j].State.Version = int64(i) // every row changes in every round
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
		n := len(f.drainSent(m.PeerAddr))
		fewest, most = min(fewest, n), max(most, n)
	}
	t.Logf("%d bytes/s; each member received between %d and %d messages in %d s", bytes/seconds, fewest, most, seconds)
	must.GreaterEq(t, 10, fewest)
	must.LessEq(t, fewest+1, most)
}

// Guards against suspicions that are not exchanged between data centres in both
// directions: the caller of a crash-inducing request may send it to another
// data centre next.
func TestSuspicionsReachOtherDataCentres(t *testing.T) {
	f, c := newFixture(t)
	now := time.Now()
	fingerprints := func(messages []*peerpb.ExchangeMessage) (found []string) {
		for _, message := range messages {
			for _, suspicion := range message.Suspicions {
				found = append(found, suspicion.Fingerprint)
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
	must.Eq(t, []string{"own", "theirs"}, sorted(fingerprints(f.drainSent("near"))))
	must.SliceContains(t, fingerprints(append(f.drainSent("far-1"), f.drainSent("far-2")...)), "own")
}

func sorted(values []string) []string {
	slices.Sort(values)
	return values
}

// Guards against every waiting request trying a replica whose owner is still
// starting, and against the replica staying excluded after a row reported it
// healthy.
func TestRefusedReplicaExcludedUntilRowReceived(t *testing.T) {
	_, c := newFixture(t)
	servers := func() []platform.BackendServer {
		return []platform.BackendServer{{ID: "y0", Kind: platform.KindEngine, DataCentre: "yoff", Model: "album"}}
	}
	must.False(t, c.Candidates(servers)[0].StateKnown)
	eventually(t, "the replica to be unhealthy after the refusal", func() bool {
		c.RecordRefusal("y0")
		candidate := c.Candidates(servers)[0]
		return candidate.StateKnown && !candidate.Healthy
	})
	_, err := c.Exchange(context.Background(), &peerpb.ExchangeMessage{
		Host: "far-1", Loads: []*peerpb.LoadRow{{ReplicaHash: route.HashReplica("y0"), Limit: 8, Healthy: true}},
	})
	must.NoError(t, err)
	eventually(t, "the replica to be healthy after the row", func() bool { return c.Candidates(servers)[0].Healthy })
}
