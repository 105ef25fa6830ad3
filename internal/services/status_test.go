package services

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a response with a status that is none, which reaches the caller or says
// something about its server.
func TestResponseWithAnInvalidStatusIsNoResponse(t *testing.T) {
	rawserver.CheckInvalidStatuses(t, "", "receipt", func(addr string) error {
		c := newClient("", httpapi.NewBodyBudget(account.Unlimited()), func(platform.BackendServer, string, *http.Response, time.Time) {
			t.Error("the response is observed")
		})
		call := &request{id: "r", method: http.MethodPost, uri: "/p", header: http.Header{}}
		response, reached, err := c.sendOnce(context.Background(), platform.BackendServer{ID: "s1", Addr: addr}, call, "key", time.Time{})
		must.Nil(t, response)
		must.True(t, reached)
		return err
	})
}
