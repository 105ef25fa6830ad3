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

// Guards against a silent scorer that holds groups which need no score or have
// another scorer, against groups that stay unscored because a scorer restarts,
// and against a missing mark on unscored groups.
func TestSilentScorerHoldsOnlyGroupsThatNeedIt(t *testing.T) {
	n := newNet(t, "a")
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	var calls atomic.Int32
	scorer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 { // restarts
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
	t.Cleanup(func() { close(release); silent.Close(); scorer.Close() })
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	n.servers = []platform.BackendServer{
		{ID: "s1", Kind: platform.KindService, Service: "quiet", Addr: address(silent), DataCentre: "yoff"},
		{ID: "s2", Kind: platform.KindService, Service: "judge", Addr: address(scorer), DataCentre: "yoff"},
	}
	declared := func(name, scorer string, required bool) {
		n.trainers[name] = &declare.Trainer{Name: name, Model: "album", GroupSize: 2, StalenessBound: 2, Scorer: scorer, ScoreRequired: required}
	}
	declared("judged", "judge", false)
	declared("optional", "quiet", false)
	declared("held", "quiet", true)
	clients := map[string]*client{}
	for _, name := range []string{"held", "optional", "judged", "captions"} {
		clients[name] = &client{net: n, name: name, wanted: []GroupPrompt{{"g1", "p"}, {"g2", "q"}}}
		must.Eq(t, http.StatusOK, clients[name].submit(n.host("a")))
	}
	for _, name := range []string{"captions", "judged", "optional"} {
		clients[name].pullAll(n.host("a"))
	}
	must.Eq(t, 3, *clients["judged"].took[0].Samples[0].Score)
	must.False(t, clients["judged"].took[0].Unscored)
	must.Nil(t, clients["captions"].took[0].Samples[0].Score)
	must.True(t, clients["optional"].took[0].Unscored)
	must.Eq(t, http.StatusOK, clients["held"].pull(n.host("a"), 1))
	must.SliceEmpty(t, clients["held"].took)
}

// Guards against a leaving home that lets a waiting pull hang, keeps samples
// running, or goes on taking groups.
func TestDrainEndsWaitingPullsAndSamples(t *testing.T) {
	n := newNet(t, "a", "b")
	running := make(chan struct{}, 16)
	n.generate = func(ctx context.Context, _ cluster.Generation, _ func(engine.Chunk) error) error {
		running <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	home, _ := n.host("a").homeOf("captions")
	<-running
	status := make(chan int)
	go func() {
		var reply EpochReply
		status <- n.post(n.host(home.ID), c.name, operationPull, PullRequest{Epoch: c.epoch, WaitMs: 20000}, &reply)
	}()
	eventually(t, func() bool {
		h := n.host(home.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.wakes["captions"] != nil
	})
	n.setState(home.ID, cluster.MemberLeaving)
	n.host(home.ID).Drain()
	must.Eq(t, http.StatusConflict, <-status)
	eventually(t, func() bool {
		h := n.host(home.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.cancels) == 0
	})
	n.mu.Lock()
	n.generate = n.threeTokens
	n.mu.Unlock()
	must.Eq(t, http.StatusConflict, c.pull(n.host(home.ID), 1)) // the leaving host forwards
	c.pullAll(n.host(home.ID))
	must.Eq(t, []string{"g1"}, c.ids())
}

// Guards against complete samples that are run again when their home leaves,
// and against a group that comes twice because both homes had it.
func TestLeavingHomeHandsCompleteSamplesOver(t *testing.T) {
	testHandover(t, func(n *testNet, home string) {
		n.setState(home, cluster.MemberLeaving)
		n.host(home).Drain()
	})
}

// The same for a home that another member takes over from, for example after
// the member's restart.
func TestFormerHomeHandsCompleteSamplesOver(t *testing.T) {
	testHandover(t, func(n *testNet, home string) {
		other := map[string]string{"a": "b", "b": "a"}[home]
		n.setState(home, cluster.MemberLeaving) // without a drain, so that only the tick hands over
		eventually(n.t, func() bool {
			h := n.host(other)
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.home.Export("captions")) >= 2
		})
	})
}

func testHandover(t *testing.T, move func(n *testNet, home string)) {
	n := newNet(t, "a", "b")
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}, {"g2", "q"}, {"g3", "r"}}}
	c.submit(n.host("a"))
	home, _ := n.host("a").homeOf("captions")
	eventually(t, func() bool { // all groups are whole
		h := n.host(home.ID)
		h.mu.Lock()
		defer h.mu.Unlock()
		running, _, _ := h.home.Usage("captions")
		return running == 0 && len(h.home.Export("captions")) == 3
	})
	c.pull(n.host("a"), 1)
	n.mu.Lock()
	n.generate = func(ctx context.Context, _ cluster.Generation, _ func(engine.Chunk) error) error {
		<-ctx.Done() // nothing may have to run again
		return ctx.Err()
	}
	n.mu.Unlock()
	move(n, home.ID)
	c.pullAll(n.host("a"))
	must.Len(t, 3, c.took)
	must.SliceContainsAll(t, []string{"g1", "g2", "g3"}, c.ids())
}

// Guards against an announcement that does not reach the home, and against a
// sample over the bound that is given after it.
func TestAnnouncedVersionMakesOldSamplesStale(t *testing.T) {
	n := newNet(t, "a", "b")
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	var lost PullReply
	eventually(t, func() bool {
		n.post(n.host("a"), c.name, operationPull, PullRequest{Epoch: c.epoch, WaitMs: 100, Max: 1}, &lost)
		return len(lost.Groups) == 1
	})
	var newest WeightsReply
	must.Eq(t, http.StatusOK, n.post(n.host("b"), c.name, operationWeights, WeightsRequest{Version: 10}, &newest))
	must.Eq(t, 10, newest.Version)
	n.mu.Lock()
	n.engines = 10
	n.mu.Unlock()
	must.Eq(t, http.StatusConflict, c.pull(n.host("a"), 1))
	c.pullAll(n.host("a"))
	for _, s := range c.took[0].Samples {
		must.Eq(t, []int64{10}, s.Versions)
	}
}

// Guards against a trainer that is given samples over its bound because its
// home has not heard yet what another trainer of the model announced.
func TestAnnouncementReachesTheHomesOfAllTrainersOfTheModel(t *testing.T) {
	n := newNet(t, "a", "b", "c")
	for i := range 20 {
		name := fmt.Sprintf("trainer%d", i)
		n.trainers[name] = &declare.Trainer{Name: name, Model: "album"}
	}
	must.Eq(t, http.StatusOK, n.post(n.host("a"), "captions", operationWeights, WeightsRequest{Version: 10}, nil))
	for name := range n.trainers {
		home, _ := n.host("a").homeOf(name)
		must.Eq(t, 10, n.host(home.ID).versions.Newest("album"))
	}
}

// Guards against a trainer that waits for good for a prompt that crashes every
// backend server.
func TestRefusedPromptIsGivenWithoutSamples(t *testing.T) {
	n := newNet(t, "a")
	n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
		if g.Prompt == "poison" {
			return fmt.Errorf("run: %w", &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonCrashInducing})
		}
		return n.threeTokens(ctx, g, sink)
	}
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "poison"}, {"g2", "q"}}}
	c.submit(n.host("a"))
	c.pullAll(n.host("a"))
	must.Len(t, 2, c.took)
	for _, g := range c.took {
		must.Eq(t, g.ID == "g1", g.RefusalReason == string(cluster.ReasonCrashInducing) && len(g.Samples) == 0)
	}
}

// Guards against hedges on the replica of the late sample, against two samples
// with one seed, and against a hedge that is no faster than the late sample.
func TestLateSampleIsHedgedOnAnotherReplica(t *testing.T) {
	n := newNet(t, "a")
	n.trainers["captions"].Surplus = 0
	n.trainers["captions"].GroupSize = 10
	var mu sync.Mutex
	seeds, avoided := map[int64]bool{}, []string(nil)
	n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
		mu.Lock()
		late := len(seeds) == 0
		seeds[g.Seed] = true
		avoided = append(avoided, g.Avoid...)
		mu.Unlock()
		g.OnReplicaChosen(fmt.Sprintf("replica of %d", g.Seed))
		if late {
			<-ctx.Done()
			return ctx.Err()
		}
		return n.threeTokens(ctx, g, sink)
	}
	c := &client{net: n, name: "captions", wanted: []GroupPrompt{{"g1", "p"}}}
	c.submit(n.host("a"))
	c.pullAll(n.host("a"))
	must.Len(t, 1, avoided)
	must.MapLen(t, 11, seeds)
}

// Guards against refusals with a wrong status or outcome.
func TestRefusals(t *testing.T) {
	n := newNet(t, "a")
	host := New(Config{BodyBytes: 128, MaxGroups: 1}, n, view{n, n.members[0]}, n, view{n, n.members[0]}, n, n, n.host("a").recorder)
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
		host.ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathPrefix+c.path, strings.NewReader(c.body)))
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
