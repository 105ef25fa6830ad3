package trainers

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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

// Guards against bytes after the scores of one group that are taken for the scores of
// another.
func TestBytesAfterScoresAreNoScores(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
	host := newTestNet(t, "a").host("a")
	server := startRawScorer(t, func(*http.Request) (string, rawserver.End) {
		return head + `{"scores":[1]}` + head + `{"scores":[9]}`, rawserver.KeepOpen
	})
	var right, stray atomic.Int64
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 500 {
				scores, err := host.callScorer(context.Background(), server, []byte("{}"))
				switch {
				case err != nil:
				case scores[0] == 1:
					right.Add(1)
				default:
					stray.Add(1)
				}
			}
		})
	}
	workers.Wait()
	must.EqOp(t, 0, stray.Load())
	must.Greater(t, 0, right.Load())
}
