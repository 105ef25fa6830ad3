package platform_test

import (
	"testing"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a response with a status that is none, which counts as an answer of the
// log or the weight store, or leaves its connection open for the next call.
func TestResponseWithAnInvalidStatusIsNoResponse(t *testing.T) {
	t.Run("log", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", `{"offset":0}`, func(addr string) error {
			_, err := platform.NewHTTPLog(addr, "").Append(t.Context(), "config", [][]byte{[]byte("x")})
			return err
		})
	})
	t.Run("host list", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", "[]", func(addr string) error {
			_, err := platform.NewHTTPHostList(addr, "").BackendServers(t.Context())
			return err
		})
	})
	t.Run("weights", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", "[1]", func(addr string) error {
			_, err := platform.NewHTTPWeightStore(addr, "").Versions(t.Context(), "m")
			return err
		})
	})
}
