package services

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a call that reaches its server after it was given up, because the kernel
// went on to send what it had buffered.
func TestAbandonedCallIsNotSentLater(t *testing.T) {
	must.ErrorIs(t, rawserver.Abandon(func(ctx context.Context, addr string) {
		c := newClient("", httpapi.NewBodyBudget(account.Unlimited()), func(platform.BackendServer, string, *http.Response, time.Time) {})
		call := &request{id: "r", method: http.MethodPost, uri: "/p", header: http.Header{}, body: make([]byte, 32<<20)}
		_, _, _ = c.sendOnce(ctx, platform.BackendServer{ID: "s1", Addr: addr}, call, "key", time.Time{})
	}), syscall.ECONNRESET)
}
