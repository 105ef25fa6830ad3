package trainers

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a response with a status that is none, whose body is taken for scores.
func TestResponseWithAnInvalidStatusHasNoScores(t *testing.T) {
	host := newTestNet(t, "a").host("a")
	rawserver.CheckInvalidStatuses(t, "", `{"scores":[0.5]}`, func(addr string) error {
		scores, err := host.callScorer(context.Background(), platform.BackendServer{ID: "scorer", Kind: platform.KindService, Service: "scores", DataCentre: "yoff", Addr: addr}, []byte("{}"))
		must.SliceEmpty(t, scores)
		return err
	})
}
