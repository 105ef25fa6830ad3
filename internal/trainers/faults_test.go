package trainers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/platform"
)

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against an unresponsive scorer that blocks groups which need no score or
// have another scorer, against groups that stay unscored because a scorer
// restarts, and against unscored groups that are not reported as such.
func TestUnresponsiveScorerBlocksOnlyDependentGroups(t *testing.T) {
	n := newTestNet(t, "a")
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	var calls atomic.Int32
	scorer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 { // the scorer is restarting
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var request ScoreRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		reply := ScoreReply{}
		for _, tokens := range request.Samples {
			reply.Scores = append(reply.Scores, float64(len(tokens)))
		}
		_ = json.NewEncoder(w).Encode(reply)
	}))
	t.Cleanup(func() { close(release); unresponsive.Close(); scorer.Close() })
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	n.servers = []platform.BackendServer{
		{ID: "s1", Kind: platform.KindService, Service: "quiet", Addr: address(unresponsive), DataCentre: "yoff"},
		{ID: "s2", Kind: platform.KindService, Service: "judge", Addr: address(scorer), DataCentre: "yoff"},
	}
	declareTrainer := func(name, scorer string, required bool) {
		n.declare(name, declare.Trainer{Model: "album", GroupSize: 2, StalenessBound: 2, Scorer: scorer, ScoreRequired: required})
	}
	declareTrainer("judged", "judge", false)
	declareTrainer("optional", "quiet", false)
	declareTrainer("held", "quiet", true)
	clients := map[string]*client{}
	for _, name := range []string{"held", "optional", "judged", "captions"} {
		clients[name] = &client{net: n, name: name, outstanding: []GroupPrompt{{"g1", "p"}, {"g2", "q"}}}
		must.Eq(t, http.StatusOK, clients[name].submit(n.host("a")))
	}
	for _, name := range []string{"captions", "judged", "optional"} {
		clients[name].pullAll(n.host("a"))
	}
	must.Eq(t, 3, *clients["judged"].received[0].Samples[0].Score)
	must.False(t, clients["judged"].received[0].Unscored)
	must.Nil(t, clients["captions"].received[0].Samples[0].Score)
	must.True(t, clients["optional"].received[0].Unscored)
	must.Eq(t, http.StatusOK, clients["held"].pull(n.host("a"), 1))
	must.SliceEmpty(t, clients["held"].received)
}

// Guards against a harness that changes declarations which the hosts are reading, so
// that they read half of a change or never notice it.
func TestTrainersDeclaredWhileHostsRunAreServed(t *testing.T) {
	n := newTestNet(t, "a", "b")
	for i := range 100 {
		name := fmt.Sprintf("late-%d", i)
		n.declare(name, declare.Trainer{Model: "album", GroupSize: 2, StalenessBound: 2})
		c := &client{net: n, name: name, outstanding: []GroupPrompt{{"g1", "p"}}}
		must.EqOp(t, http.StatusOK, c.submit(n.host("a")))
	}
}

// Guards against a leaving coordinator that lets a waiting pull hang, leaves
// samples running, or continues to accept groups.
func TestDrainEndsWaitingPullsAndSamples(t *testing.T) {
	n := newTestNet(t, "a", "b")
	running := make(chan struct{}, 16)
	n.generate = func(ctx context.Context, _ cluster.Generation, _ func(engine.Chunk) error) error {
		running <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	coordinator, _ := n.host("a").coordinatorOf("captions")
	<-running
	status := make(chan int)
	go func() {
		var reply EpochReply
		status <- n.post(n.host(coordinator.ID), c.name, operationPull, PullRequest{Epoch: c.epoch, WaitMs: 20000}, &reply)
	}()
	eventually(t, func() bool {
		h := n.host(coordinator.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.pullSignals["captions"] != nil
	})
	n.setState(coordinator.ID, cluster.MemberLeaving)
	n.host(coordinator.ID).Drain()
	must.Eq(t, http.StatusConflict, <-status)
	eventually(t, func() bool {
		h := n.host(coordinator.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.cancelSample) == 0
	})
	n.mu.Lock()
	n.generate = n.generateThreeTokens
	n.mu.Unlock()
	must.Eq(t, http.StatusConflict, c.pull(n.host(coordinator.ID), 1)) // the leaving host forwards the call
	c.pullAll(n.host(coordinator.ID))
	must.Eq(t, []string{"g1"}, c.ids())
}

// Guards against complete samples that are generated again when their coordinator
// leaves, and against a group that is delivered twice because both coordinators
// have it.
func TestLeavingCoordinatorHandsOverCompleteSamples(t *testing.T) {
	testHandover(t, func(n *testNet, coordinator string) {
		n.setState(coordinator, cluster.MemberLeaving)
		n.host(coordinator).Drain()
	})
}

// Guards against the same failures when another member becomes the coordinator
// without a drain, for example after that member's restart.
func TestReplacedCoordinatorHandsOverCompleteSamples(t *testing.T) {
	testHandover(t, func(n *testNet, coordinator string) {
		other := map[string]string{"a": "b", "b": "a"}[coordinator]
		n.setState(coordinator, cluster.MemberLeaving) // without a drain, so that only the tick triggers the handover
		eventually(n.t, func() bool {
			h := n.host(other)
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.coordinator.Export("captions")) >= 2
		})
	})
}

func testHandover(t *testing.T, move func(n *testNet, coordinator string)) {
	n := newTestNet(t, "a", "b")
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}, {"g2", "q"}, {"g3", "r"}}}
	c.submit(n.host("a"))
	coordinator, _ := n.host("a").coordinatorOf("captions")
	eventually(t, func() bool { // all groups are complete
		h := n.host(coordinator.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		running, _, _ := h.coordinator.Usage("captions")
		return running == 0 && len(h.coordinator.Export("captions")) == 3
	})
	c.pull(n.host("a"), 1)
	n.mu.Lock()
	n.generate = func(ctx context.Context, _ cluster.Generation, _ func(engine.Chunk) error) error {
		<-ctx.Done() // any sample that is generated again never completes
		return ctx.Err()
	}
	n.mu.Unlock()
	move(n, coordinator.ID)
	c.pullAll(n.host("a"))
	must.Len(t, 3, c.received)
	must.SliceContainsAll(t, []string{"g1", "g2", "g3"}, c.ids())
}

// Guards against an announcement that does not reach the coordinator, and against
// a sample beyond the staleness bound that is delivered after it.
func TestAnnouncedVersionMakesOldSamplesStale(t *testing.T) {
	n := newTestNet(t, "a", "b")
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	var discarded PullReply
	eventually(t, func() bool {
		n.post(n.host("a"), c.name, operationPull, PullRequest{Epoch: c.epoch, WaitMs: 100, Max: 1}, &discarded)
		return len(discarded.Groups) == 1
	})
	var newest WeightsReply
	must.Eq(t, http.StatusOK, n.post(n.host("b"), c.name, operationWeights, WeightsRequest{Version: 10}, &newest))
	must.Eq(t, 10, newest.Version)
	n.mu.Lock()
	n.engineVersion = 10
	n.mu.Unlock()
	must.Eq(t, http.StatusConflict, c.pull(n.host("a"), 1))
	c.pullAll(n.host("a"))
	for _, s := range c.received[0].Samples {
		must.Eq(t, []int64{10}, s.Versions)
	}
}

// Guards against a trainer that receives samples beyond its staleness bound
// because its coordinator has not received a version that another trainer of the
// model announced.
func TestAnnouncementReachesCoordinatorsOfAllTrainersOfTheModel(t *testing.T) {
	n := newTestNet(t, "a", "b", "c")
	for i := range 20 {
		name := fmt.Sprintf("trainer%d", i)
		n.declare(name, declare.Trainer{Model: "album"})
	}
	must.Eq(t, http.StatusOK, n.post(n.host("a"), "captions", operationWeights, WeightsRequest{Version: 10}, nil))
	set, _ := n.Current()
	for name := range set.Trainers {
		coordinator, _ := n.host("a").coordinatorOf(name)
		must.Eq(t, 10, n.host(coordinator.ID).versions.Newest("album"))
	}
}

// Guards against a trainer that waits forever for a prompt that no engine accepts.
func TestRefusedPromptIsDeliveredWithoutSamples(t *testing.T) {
	n := newTestNet(t, "a")
	n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
		if g.Prompt == "too large" {
			return fmt.Errorf("run: %w", &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonTooLarge})
		}
		return n.generateThreeTokens(ctx, g, sink)
	}
	c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "too large"}, {"g2", "q"}}}
	c.submit(n.host("a"))
	c.pullAll(n.host("a"))
	must.Len(t, 2, c.received)
	for _, g := range c.received {
		must.Eq(t, g.ID == "g1", g.RefusalReason == string(cluster.ReasonTooLarge) && len(g.Samples) == 0)
	}
}

// Guards against a group that is given up, or generated late, because engines crashed
// under its samples.
func TestGroupUnderWhichEnginesCrashedIsStillDelivered(t *testing.T) {
	const crashes = 40
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, "a")
		var calls atomic.Int64
		var failed, served atomic.Int64 // in nanoseconds of the bubble's clock
		n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
			if calls.Add(1) <= crashes {
				failed.Store(time.Now().UnixNano())
				return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonCrashInducing}
			}
			served.CompareAndSwap(0, time.Now().UnixNano())
			return n.generateThreeTokens(ctx, g, sink)
		}
		c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "sound"}}}
		c.submit(n.host("a"))
		c.pullAll(n.host("a"))
		must.Len(t, 1, c.received)
		must.EqOp(t, "", c.received[0].RefusalReason)
		must.Positive(t, len(c.received[0].Samples))
		must.LessEq(t, time.Second+50*time.Millisecond, time.Duration(served.Load()-failed.Load()))
	})
}

// Guards against a hedge on the replica of the straggler, against two samples with
// the same seed, against a hedge of a sample that is not late, and against a group
// that waits for a straggler although its hedge completed.
func TestStragglerIsHedgedOnAnotherReplica(t *testing.T) {
	// The clock of the bubble stands still while a sample runs, so that only the
	// sample that blocks is late, however busy the machine is.
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, "a")
		captions := n.declared("captions")
		captions.Surplus, captions.GroupSize = 0, 10
		n.declare("captions", captions)
		var mu sync.Mutex
		seeds, avoided, straggler := map[int64]bool{}, []string(nil), ""
		n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
			replica := fmt.Sprintf("replica of %d", g.Seed)
			mu.Lock()
			first := len(seeds) == 0
			if first {
				straggler = replica
			}
			seeds[g.Seed] = true
			avoided = append(avoided, g.Avoid...)
			mu.Unlock()
			g.OnReplicaChosen(replica)
			if first {
				<-ctx.Done()
				return ctx.Err()
			}
			time.Sleep(20 * time.Millisecond) // a straggler takes 1.5 times as long
			return n.generateThreeTokens(ctx, g, sink)
		}
		c := &client{net: n, name: "captions", outstanding: []GroupPrompt{{"g1", "p"}}}
		c.submit(n.host("a"))
		c.pullAll(n.host("a"))
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		must.Eq(t, []string{straggler}, avoided)
		must.MapLen(t, 11, seeds)
	})
}

// Guards against refusals with a wrong status, outcome or reason.
func TestRefusals(t *testing.T) {
	n := newTestNet(t, "a")
	host := New(Config{MaxBodyBytes: 128, MaxGroups: 1}, n, hostView{n, n.members[0]}, n, hostView{n, n.members[0]}, n, n, n.host("a").limits, n.host("a").recorder)
	t.Cleanup(host.stop)
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{"captions/groups", `{"groups":[{"id":"g1"}]}`, http.StatusOK},
		{"captions/groups", `{"epoch":"x","groups":[]}`, http.StatusConflict},
		{"captions/groups", `{"groups":[{"id":""}]}`, http.StatusBadRequest},
		{"captions/groups", `{`, http.StatusBadRequest},
		{"captions/groups", strings.Repeat(" ", 129), http.StatusRequestEntityTooLarge},
		{"captions/other", `{}`, http.StatusNotFound},
		{"retouch/groups", `{}`, http.StatusNotFound},
		{"retouch/weights", `{}`, http.StatusNotFound},
	} {
		w := httptest.NewRecorder()
		host.ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathPrefix+c.path, strings.NewReader(c.body)))
		must.Eq(t, c.status, w.Code, must.Sprint(c.path, c.body))
		if c.status >= 400 && c.status != http.StatusConflict {
			must.Eq(t, string(cluster.OutcomeNotRun), w.Header().Get(httpapi.HeaderOutcome))
		}
	}
	c := &client{net: n, name: "captions"}
	must.Eq(t, http.StatusConflict, c.submit(host))
	var refused httpapi.RefusalBody
	full := n.post(host, "captions", operationGroups, GroupsRequest{Epoch: c.epoch, Groups: []GroupPrompt{{"g2", "p"}}}, &refused)
	must.Eq(t, http.StatusTooManyRequests, full)
	must.Eq(t, cluster.ReasonOverload, refused.Error.Reason)
}
