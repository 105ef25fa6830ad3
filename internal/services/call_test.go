package services

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/testlog"
)

// Guards against a call that runs again when it is repeated at the same host or
// at another one, and against an incomplete response to the repeated call.
func TestRepeatedCallGetsTheFirstAnswer(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a, b := env.start("a"), env.start("b")
	key := newKey(t)
	first := a.post(key)
	must.Eq(t, 201, first.Code)
	must.Eq(t, "12 trays", backend.body)
	for _, h := range []*host{a, b, b} {
		again := h.post(key)
		must.Eq(t, 201, again.Code)
		must.Eq(t, first.Body.String(), again.Body.String())
		must.Eq(t, "1", again.Header().Get("Receipt"))
		must.Eq(t, "true", again.Header().Get("Sesamestand-Replayed"))
	}
	must.Eq(t, 1, backend.count(key))
}

// Guards against a call that runs twice because it arrives at all hosts
// concurrently while the log loses and refuses appends.
func TestConcurrentCallsRunOnce(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	hosts := []*host{env.start("a"), env.start("b"), env.start("c")}
	env.log.InjectFaults(testlog.LoseResponse, testlog.LoseRequest, testlog.LoseResponse, testlog.Refuse, testlog.LoseResponse)
	var group sync.WaitGroup
	for range 20 {
		key := newKey(t)
		for i := range 6 {
			group.Go(func() {
				response := hosts[i%3].post(key)
				if response.Code != 201 {
					must.Eq(t, 0, strings.Count(response.Body.String(), "receipt"))
				}
			})
		}
	}
	group.Wait()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for key, n := range backend.calls {
		must.Eq(t, 1, n, must.Sprint(key))
	}
	must.Greater(t, 0, len(backend.calls))
}

// Guards against "not-run" for a call that another host ran before it stopped,
// and for a call whose response from the backend server was lost.
func TestStoppedOriginatorAndLostAnswerAreUnknown(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a, b := env.start("a"), env.start("b")
	key := newKey(t)
	must.Eq(t, 201, a.post(key).Code)
	a.stop()
	must.Eq(t, "unknown other-author", outcome(b.post(key)))
	a = env.start("a") // a new incarnation without the state of the previous one
	must.Eq(t, "unknown other-author", outcome(a.post(key)))
	must.Eq(t, 1, backend.count(key))

	env.servers = nil
	env.server("s2", "here", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	key = newKey(t)
	must.Eq(t, "unknown backend-server-failed", outcome(a.post(key)))
	must.Eq(t, "unknown backend-server-failed", outcome(a.post(key)))
	must.Eq(t, "unknown other-author", outcome(b.post(key)))
}

// Guards against a call that runs although it was refused during a log outage,
// and against a host that does not serve calls again after the outage.
func TestLogOutageRefusesCallsAsNotRun(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a := env.start("a")
	key := newKey(t)
	env.log.SetUnavailable(true)
	must.Eq(t, "not-run log-unavailable", outcome(a.post(key)))
	fresh := env.startUnready("b")
	env.waitUntil("new keys are issued after the start of the new host", func() bool { return outcome(fresh.post(newKey(t))) == "not-run log-unavailable" })
	must.Eq(t, 201, a.do(http.MethodGet, "/trays").Code)
	env.log.SetUnavailable(false)
	env.waitUntil("calls run again", func() bool { return a.post(key).Code == 201 })
	env.waitUntil("the new host serves calls", func() bool { return fresh.post(newKey(t)).Code == 201 })
	must.Eq(t, 1, backend.count(key))
}

// Guards against "not-run" during a log outage for a call that already ran at
// another host, whose intent the refusing host cannot read.
func TestLogOutageDoesNotHideExecutedCall(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a, c := env.start("a"), env.start("c")
	keys := []string{newKey(t), newKey(t)}
	for _, key := range keys {
		must.Eq(t, 201, a.post(key).Code)
	}
	env.log.Expire(platform.StreamIntent, int64(len(env.log.Records(platform.StreamIntent)))) // c has read them
	env.log.SetUnavailable(true)
	b := env.startUnready("b")
	response := b.post(keys[0])
	must.Eq(t, "receipt 1", response.Body.String())
	must.Eq(t, "true", response.Header().Get("Sesamestand-Replayed"))
	a.stop()
	must.Eq(t, "unknown", b.post(keys[1]).Header().Get("Sesamestand-Outcome"))
	env.mu.Lock()
	env.memberStates["a"] = cluster.MemberDead
	env.mu.Unlock()
	must.Eq(t, "unknown", b.post(keys[1]).Header().Get("Sesamestand-Outcome"))
	must.Eq(t, "unknown", c.post(keys[1]).Header().Get("Sesamestand-Outcome"))
	env.waitUntil("later keys are not affected", func() bool { return outcome(c.post(newKey(t))) == "not-run log-unavailable" })
	must.Eq(t, 1, backend.count(keys[0]))
}

// Guards against a key that cannot be used again after no connection to a backend
// server could be established: nothing was sent, so the caller may retry.
func TestUnreachableServerIsNotRunAndTheKeyStaysUsable(t *testing.T) {
	env := newTestEnv(t)
	gone := env.server("s1", "here", nil)
	gone.Close()
	a, b := env.start("a"), env.start("b")
	key := newKey(t)
	must.Eq(t, "not-run backend-server-failed", outcome(a.post(key)))
	backend := &countingServer{}
	env.server("s2", "there", backend.handle)
	env.waitUntil("the key runs at another host", func() bool { return b.post(key).Code == 201 })
	must.Eq(t, 1, backend.count(key))
}

// Guards against calls that run without a valid key.
func TestKeyValidation(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{}
	env.server("s1", "here", backend.handle)
	a := env.start("a")
	must.Eq(t, "not-run key-invalid", outcome(a.post("")))
	must.Eq(t, "not-run key-invalid", outcome(a.post(uuid.NewString())))
	must.Eq(t, "unknown key-expired", outcome(a.post(keyAt(time.Now().Add(-23*time.Hour)))))
	must.Eq(t, "unknown key-expired", outcome(a.post(keyAt(time.Now().Add(time.Minute)))))
	must.Eq(t, 0, backend.total)
	must.Len(t, 0, env.log.Records(platform.StreamIntent))
}

// keyAt returns a UUIDv7 with the given time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(at.UnixMilli() >> shift)
	}
	return id.String()
}

// Guards against a deadline that is ignored, and against "not-run" for a call
// that is running when the deadline passes.
func TestDeadlineOfARunningCallIsUnknown(t *testing.T) {
	env := newTestEnv(t)
	backend := &countingServer{delay: make(chan struct{})}
	env.server("s1", "here", backend.handle)
	a, b := env.start("a"), env.start("b")
	key := newKey(t)
	var group sync.WaitGroup
	var first *httptest.ResponseRecorder
	group.Go(func() { first = a.post(key, "Request-Timeout-Ms", "2000") })
	env.waitUntil("the call runs", func() bool { return backend.count(key) == 1 })
	must.Eq(t, "unknown deadline", outcome(b.post(key, "Request-Timeout-Ms", "50")))
	must.Eq(t, "unknown deadline", outcome(a.post(key, "Request-Timeout-Ms", "50")))
	group.Wait()
	must.Eq(t, "unknown deadline", outcome(first))
	close(backend.delay)
	env.waitUntil("the answer is stored", func() bool { return a.post(key, "Request-Timeout-Ms", "50").Code == 201 })
	must.Eq(t, 201, b.post(key).Code)
	must.Eq(t, 1, backend.count(key))
}
