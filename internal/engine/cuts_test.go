package engine

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a stream of an engine that ends at any byte of its head or its body, or
// that is the text of something else, and that is taken for a complete answer.
func TestAnswersCutAtEachByteAreIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	var body, chunked strings.Builder
	for i, finish := range []string{"", "", "stop"} {
		event := fmt.Sprintf("data: {\"request_id\":\"r\",\"index\":%d,\"token\":\"a\",\"finish_reason\":%q}\n\n", i, finish)
		body.WriteString(event)
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(event), event)
	}
	whole := map[string]string{
		"length":        head + fmt.Sprintf("Content-Length: %d\r\n\r\n", body.Len()) + body.String(),
		"chunks":        head + "Transfer-Encoding: chunked\r\n\r\n" + chunked.String() + "0\r\n\r\n",
		"none":          head + "\r\n" + body.String(),
		"informational": "HTTP/1.1 103 Early Hints\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", body.Len()) + body.String(),
	}
	for framing, text := range whole {
		for end, how := range map[rawserver.End]string{rawserver.Close: "closed", rawserver.Reset: "reset"} {
			t.Run(framing+", "+how, func(t *testing.T) {
				var cut atomic.Int64
				server, err := rawserver.Listen(func(*http.Request) (string, rawserver.End) { return text[:cut.Load()], end })
				must.NoError(t, err)
				defer func() { _ = server.Close() }()
				for n := range len(text) {
					cut.Store(int64(n))
					indexes, err := runStreamWithin(server.Addr(), nil, 20*time.Second)
					for i, index := range indexes {
						must.EqOp(t, i, index)
					}
					if err == nil {
						must.SliceLen(t, 3, indexes, must.Sprintf("cut after %d bytes", n))
					} else {
						requireFailure(t, err, FailureBroken, len(indexes))
					}
				}
			})
		}
	}
	for name, text := range map[string]string{
		"empty":       "",
		"error text":  "no capacity\n\n",
		"error event": "event: error\ndata: {\"error\":\"no capacity\"}\n\ndata: [DONE]\n\n",
		"head":        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Listen(func(*http.Request) (string, rawserver.End) {
				return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text), rawserver.Close
			})
			must.NoError(t, err)
			defer func() { _ = server.Close() }()
			indexes, err := runStream(server.Addr(), nil)
			requireFailure(t, err, FailureBroken, 0)
			must.SliceEmpty(t, indexes)
		})
	}
}
