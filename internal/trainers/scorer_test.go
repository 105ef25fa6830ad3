package trainers

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// startRawScorer starts a scorer that answers with text.
func startRawScorer(t *testing.T, answer func(*http.Request) (string, rawserver.End)) platform.BackendServer {
	t.Helper()
	server, err := rawserver.Listen(answer)
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return platform.BackendServer{ID: "scorer", Kind: platform.KindService, Service: "scores", DataCentre: "yoff", Addr: server.Addr()}
}

// Guards against rewards from an answer that ended at any byte of its head or its body,
// or that was followed by something else.
func TestCutScoresAreNotTakenForWhole(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", "{\"scores\":[0.5,0.25]}\n"
	host := newTestNet(t, "a").host("a")
	var text atomic.Pointer[string]
	server := startRawScorer(t, func(*http.Request) (string, rawserver.End) { return *text.Load(), rawserver.Close })
	call := func(answer string) ([]float64, error) {
		text.Store(&answer)
		return host.callScorer(context.Background(), server, []byte("{}"))
	}
	for framing, whole := range map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
	} {
		for cut := range len(whole) {
			scores, err := call(whole[:cut])
			must.Error(t, err, must.Sprintf("%s cut after %d bytes", framing, cut))
			must.SliceEmpty(t, scores)
		}
		scores, err := call(whole)
		must.NoError(t, err)
		must.Eq(t, []float64{0.5, 0.25}, scores)
	}
	_, err := call(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s{}", head, len(body)+2, body))
	must.Error(t, err)
}
