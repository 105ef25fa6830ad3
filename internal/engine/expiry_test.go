package engine

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// Guards against a request that reaches an engine after it expired, on a new connection and
// on one that was used before; against an expiry that outlives its request; and against a
// request without its workspace's name.
func TestExpiredRequestIsNotSent(t *testing.T) {
	var mu sync.Mutex
	var names []string
	addr, _ := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		names = append(names, r.Header.Get(workspace.Header))
		writeEvents(w, `{"request_id":"r","index":0,"token":"a","finish_reason":"stop"}`, "[DONE]")
	})
	client := NewClient(Config{})
	stream := func(name string, expires time.Time) error {
		return client.Stream(context.Background(), addr, GenerateRequest{RequestID: "r", Workspace: name, Expires: expires}, func(Chunk) error { return nil })
	}
	requireFailure(t, stream("late", boottime.Now()), FailureExpired, 0)
	must.NoError(t, stream("a", boottime.Now().Add(time.Hour)))
	requireFailure(t, stream("late", boottime.Now().Add(-time.Second)), FailureExpired, 0)
	must.NoError(t, stream("b", boottime.Now().Add(time.Hour)))
	must.NoError(t, stream("c", time.Time{}))
	mu.Lock()
	defer mu.Unlock()
	must.Eq(t, []string{"a", "b", "c"}, names)
}
