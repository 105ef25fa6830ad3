package services

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

const wholeReceipt = "the whole receipt"

var receiptAnswers = map[string]string{
	"length":        fmt.Sprintf("HTTP/1.1 201 Created\r\nReceipt: 1\r\nContent-Length: %d\r\n\r\n%s", len(wholeReceipt), wholeReceipt),
	"chunks":        fmt.Sprintf("HTTP/1.1 201 Created\r\nReceipt: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n%s\r\nd\r\n%s\r\n0\r\nSum: 1\r\n\r\n", wholeReceipt[:4], wholeReceipt[4:]),
	"informational": fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 Created\r\nReceipt: 1\r\nContent-Length: %d\r\n\r\n%s", len(wholeReceipt), wholeReceipt),
	"none":          "HTTP/1.1 201 Created\r\nReceipt: 1\r\n\r\n" + wholeReceipt,
}

// startRaw adds backend servers of the service orders that answer with text.
func (env *testEnv) startRaw(n int, answer func(r *http.Request) (text string, end rawserver.End)) {
	for i := range n {
		server, err := rawserver.Listen(answer)
		must.NoError(env.t, err)
		env.t.Cleanup(func() { _ = server.Close() })
		env.mu.Lock()
		env.servers = append(env.servers, platform.BackendServer{
			ID: fmt.Sprintf("raw-%d", i), Kind: platform.KindService, Service: "orders", DataCentre: "here", Addr: server.Addr(),
		})
		env.mu.Unlock()
	}
}

// Guards against an answer that ends at any byte of its head or its body and that the
// caller gets as whole.
func TestCutAnswersOfServersAreNotTakenForWhole(t *testing.T) {
	for framing, text := range receiptAnswers {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %t", framing, repeatable), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				var mu sync.Mutex
				sent, cut := 0, 0
				env.startRaw(4, func(*http.Request) (string, rawserver.End) {
					mu.Lock()
					defer mu.Unlock()
					if sent++; sent > 1 {
						return text, rawserver.Close
					}
					if framing == "none" {
						return text[:cut], rawserver.Reset // without a length only a reset shows that a body is cut
					}
					return text[:cut], rawserver.Close
				})
				h := env.start("a")
				answered := 0
				for n := range len(text) {
					mu.Lock()
					sent, cut = 0, n
					mu.Unlock()
					var status int
					var body string
					if repeatable {
						w := h.do(http.MethodGet, "/search")
						status, body = w.Code, w.Body.String()
					} else {
						w := h.post(newKey(t))
						status, body = w.Code, w.Body.String()
					}
					if status == http.StatusCreated {
						must.EqOp(t, wholeReceipt, body, must.Sprintf("cut after %d bytes", n))
						answered++
						continue
					}
					must.GreaterEq(t, 500, status, must.Sprintf("cut after %d bytes: %s", n, body))
				}
				must.EqOp(t, repeatable, answered > 0)
			})
		}
	}
}

// Guards against an answer with neither a length nor a body, which is that of a server
// that ended after its head, and that the caller gets as whole.
func TestAnswerWithoutLengthAndBodyIsLost(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"neither":            {"HTTP/1.1 201 Created\r\nReceipt: 1\r\n\r\n", http.StatusBadGateway},
		"switches protocols": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody", http.StatusBadGateway},
		"length":             {"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", http.StatusCreated},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", http.StatusNoContent},
		"chunks":             {"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusCreated},
		"body":               {receiptAnswers["none"], http.StatusCreated},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startRaw(1, func(*http.Request) (string, rawserver.End) { return test.text, rawserver.Close })
			h := env.start("a")
			for _, status := range []int{h.do(http.MethodGet, "/search").Code, h.post(newKey(t)).Code} {
				must.EqOp(t, test.status, status)
			}
		})
	}
}
