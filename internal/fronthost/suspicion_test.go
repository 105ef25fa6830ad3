package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
)

// crashTest is a cluster whose servers crash under each request.
type crashTest struct {
	*testCluster
	crashed map[string]bool // guarded by testCluster.mu
}

func newCrashTest(t *testing.T, servers int) *crashTest {
	c := &crashTest{testCluster: newTestCluster(t, 1), crashed: make(map[string]bool)}
	c.calls = func(id string) *backend.Response {
		c.crashed[id] = true
		return nil
	}
	c.streams = func(_ context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.crashed[target.ID] = true
		return brokenStream()
	}
	for i := range servers {
		c.register(fmt.Sprintf("app-%02d", i), testApp)
	}
	return c
}

// forward sends the request with a deadline.
func (c *crashTest) forward(h *hostHandle) *Refusal {
	_, refusal := h.Forward(context.Background(), Caller{}, testRequest("/score/x"), h.Config().Match(testHost, "/score/x"), time.Now().Add(2*time.Second))
	return refusal
}

// Guards against retries, resumed streams and requests at the same time that crash more
// servers after their content has crashed enough of them.
func TestCrashingContentIsNotSentAgain(t *testing.T) {
	limit := suspect.Defaults().CrashesToRefuse
	t.Run("at once", func(t *testing.T) {
		c := newCrashTest(t, 20)
		c.scores = func(target backend.Target, _ *backend.Request) *backend.Response { return c.calls(target.ID) }
		h := c.startHost("a")
		must.NotNil(t, c.forward(h)) // three attempts
		must.EqOp(t, cluster.ReasonCrashInducing, c.forward(h).Reason)
		must.MapLen(t, limit, c.crashed)
	})
	t.Run("concurrent", func(t *testing.T) {
		c := newCrashTest(t, 20)
		c.scores = func(target backend.Target, _ *backend.Request) *backend.Response { return c.calls(target.ID) }
		h := c.startHost("a")
		h.suspectOnce("/score/x")
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() { must.NotNil(t, c.forward(h)) })
		}
		calls.Wait()
		must.MapLen(t, limit-1, c.crashed)
	})
	t.Run("published during the request", func(t *testing.T) {
		c := newCrashTest(t, 20)
		var h *hostHandle
		c.scores = func(target backend.Target, _ *backend.Request) *backend.Response {
			for range limit - 1 {
				h.suspectOnce("/score/x")
			}
			return c.calls(target.ID)
		}
		h = c.startHost("a")
		must.EqOp(t, cluster.OutcomeUnknown, c.forward(h).Outcome)
		must.MapLen(t, 1, c.crashed)
	})
	t.Run("stream", func(t *testing.T) {
		c := newCrashTest(t, 20)
		h := c.startHost("a")
		h.suspectOnce("/live/x")
		end := h.Stream(context.Background(), Caller{}, testRequest("/live/x"), h.Config().Match(testHost, "/live/x"), time.Now().Add(2*time.Second), 0, false, &streamCaller{})
		must.EqOp(t, cluster.OutcomeUnknown, end.Refusal.Outcome)
		must.MapLen(t, limit-1, c.crashed)
	})
}

// suspectOnce records a crash of a server of another host by the content of testRequest.
func (h *hostHandle) suspectOnce(uri string) {
	route := h.Config().Match(testHost, uri)
	h.mu.Lock()
	defer h.mu.Unlock()
	fingerprint := suspect.Fingerprint(route.Name, http.MethodPost+" "+uri, "", 0, 0)
	h.suspects.RecordCrash(fingerprint, fmt.Sprint("other-", time.Now().UnixNano()), false, time.Now())
}

// Guards against requests with suspected content that wait although a server has answered
// one of them, and against a hedge that crashes another server.
func TestSuspectedContentRunsOnceAtATime(t *testing.T) {
	c := newTestCluster(t, 1)
	for i := range 5 {
		c.register(fmt.Sprintf("app-%d", i), testApp)
	}
	h := c.startHost("a")
	h.suspectOnce("/live/x")
	var mu sync.Mutex
	running, most := 0, 0
	c.streams = func(_ context.Context, target backend.Target, s *backend.Stream) backend.RunEnd {
		mu.Lock()
		running++
		most = max(most, running)
		first := most == 1
		mu.Unlock()
		if first {
			time.Sleep(100 * time.Millisecond)
			must.EqOp(t, 1, h.sendsOf("/live/x"))
		}
		mu.Lock()
		running--
		mu.Unlock()
		s.OnHeaders(headOf(target))
		return backend.RunEnd{Complete: true}
	}
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			end := h.Stream(context.Background(), Caller{}, testRequest("/live/x"), h.Config().Match(testHost, "/live/x"), time.Now().Add(5*time.Second), 0, false, &streamCaller{})
			must.Nil(t, end.Refusal)
		})
	}
	calls.Wait()
	must.EqOp(t, 0, h.sendsOf("/live/x"))
	h.suspectOnce("/score/x")
	f, _, cancel := h.newForwarding(context.Background(), Caller{}, testRequest("/score/x"), h.Config().Match(testHost, "/score/x"), time.Time{})
	defer cancel()
	must.False(t, f.mayHedge())
}

// sendsOf returns how many sends of the content of testRequest are under way.
func (h *hostHandle) sendsOf(uri string) int {
	route := h.Config().Match(testHost, uri)
	h.mu.Lock()
	defer h.mu.Unlock()
	sends := h.contentSends[suspect.Fingerprint(route.Name, http.MethodPost+" "+uri, "", 0, 0)]
	if sends == nil {
		return 0
	}
	return sends.count
}

// Guards against a caller that retries at another host before that host can know of the
// crash, against a suspicion that is lost while the store is away, and against an answer
// that waits for the store.
func TestSuspicionIsPublishedBeforeTheAnswer(t *testing.T) {
	c := newCrashTest(t, 20)
	a, b := c.startHost("a"), c.startHost("b")
	once := func(h *hostHandle) {
		_, refusal := h.Forward(context.Background(), Caller{}, testRequest("/once/x"), h.Config().Match(testHost, "/once/x"), time.Now().Add(2*time.Second))
		must.NotNil(t, refusal)
	}
	a.view.setLatency(100 * time.Millisecond)
	once(a)
	must.EqOp(t, 1, c.storedSuspicions())
	c.waitUntil("the other host knows of the crash", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.suspects.All()) == 1
	})
	a.view.setLatency(0)
	a.view.setCut(true)
	began := time.Now()
	once(a)
	must.Less(t, time.Second, time.Since(began))
	time.Sleep(publishSuspicionTimeout + 100*time.Millisecond) // until the first append has failed
	must.EqOp(t, 1, c.storedSuspicions())
	a.view.setCut(false)
	c.waitUntil("the suspicion is stored", func() bool { return c.storedSuspicions() == 2 })
}

// storedSuspicions returns how many suspicions the control partition has.
func (c *testCluster) storedSuspicions() int {
	listing, err := c.store.ListNewest(context.Background(), workPartition(controlPartition), "")
	must.NoError(c.t, err)
	n := 0
	for _, r := range listing.Records {
		if isSuspicionKey(r.Key) {
			n++
		}
	}
	return n
}

// lapsingBackends is a client whose requests are held up until their permission expires.
type lapsingBackends struct{ Backends }

var errLapsed = fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, backend.ErrExpired)

func (lapsingBackends) Call(context.Context, backend.Target, *backend.Request, time.Duration) (*backend.Response, error) {
	return nil, errLapsed
}

func (lapsingBackends) Stream(context.Context, backend.Target, *backend.Stream) backend.RunEnd {
	return backend.RunEnd{Err: errLapsed}
}

// Guards against a lapse of permission that counts as a crash of the server, and against a
// run with an unknown outcome that counts as not run.
func TestLapseOfPermissionIsNoCrash(t *testing.T) {
	c := newTestCluster(t, 1)
	c.register("app-a", testApp)
	h := c.newEntryHost("a")
	h.backends = lapsingBackends{h.backends}
	c.start(h)
	_, refusal := h.Forward(context.Background(), Caller{}, testRequest("/once/x"), h.Config().Match(testHost, "/once/x"), time.Now().Add(time.Second))
	must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
	end := h.Stream(context.Background(), Caller{}, testRequest("/live-once/x"), h.Config().Match(testHost, "/live-once/x"), time.Now().Add(time.Second), 0, false, &streamCaller{})
	must.EqOp(t, cluster.OutcomeUnknown, end.Refusal.Outcome)
	h.mu.Lock()
	defer h.mu.Unlock()
	must.Len(t, 0, h.suspects.All())
	must.EqOp(t, schedule.Broken, runOutcome(backend.RunEnd{Err: errLapsed}))
}
