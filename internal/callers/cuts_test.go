package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

const cutTokens = 3

// engineAnswer returns the answer of an engine to a completion.
func engineAnswer(framing string, req *engine.GenerateRequest) string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	var body, chunks strings.Builder
	for i := len(req.Delivered); i < req.MaxTokens; i++ {
		chunk := engine.Chunk{RequestID: req.RequestID, Index: i, Token: token(req.Prompt, i), WeightVersion: 1}
		if i == req.MaxTokens-1 {
			chunk.FinishReason = "length"
		}
		data, _ := json.Marshal(chunk)
		event := fmt.Sprintf("data: %s\n\n", data)
		body.WriteString(event)
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(event), event)
	}
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, body.Len(), body.String())
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
	}
	return head + "\r\n" + body.String()
}

// Guards against an answer of an engine that ends at any byte, or an error that another
// engine answers after it, and that reaches the caller as its whole answer.
func TestCutAnswersOfEnginesAreNotTakenForWhole(t *testing.T) {
	var mu sync.Mutex
	sends := make(map[string]int) // by prompt
	longest := 0
	answer := func(r *http.Request) (string, rawserver.End) {
		var req engine.GenerateRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil || req.RequestID == "" {
			return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", rawserver.Close
		}
		var framing string
		var cut, stream int
		if _, err := fmt.Sscanf(req.Prompt, "%s %d %d", &framing, &cut, &stream); err != nil {
			return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", rawserver.Close
		}
		mu.Lock()
		defer mu.Unlock()
		sends[req.Prompt]++
		text := engineAnswer(framing, &req)
		longest = max(longest, len(text))
		switch {
		case sends[req.Prompt] == 1 && cut < len(text):
			return text[:cut], rawserver.Close
		case sends[req.Prompt] == 2 && cut%2 == 0:
			const body = "failed\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n"
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body), rawserver.Close
		}
		return text, rawserver.Close
	}
	f := newFixture(t, 0, PolicyBaseline)
	for i := range 4 {
		server, err := rawserver.Listen(answer)
		must.NoError(t, err)
		t.Cleanup(func() { _ = server.Close() })
		f.replicas = append(f.replicas, cluster.Replica{
			BackendServer: platform.BackendServer{ID: fmt.Sprintf("replica-%d", i), Kind: platform.KindEngine, Model: "album", Addr: server.Addr(), DataCentre: "plateau"},
			State:         engine.State{Model: "album", Version: 1, Incarnation: 1}, Healthy: true,
		})
	}
	h := f.addHost(t, "plateau", "")
	for _, framing := range []string{"length", "chunks", "none"} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", framing, stream), func(t *testing.T) {
				complete := 0
				for cut := 0; cut == 0 || cut <= longest; cut++ {
					prompt := fmt.Sprintf("%s %d %d", framing, cut, map[bool]int{true: 1}[stream])
					got, err := h.post(context.Background(), "", prompt, cutTokens, stream)
					must.NoError(t, err)
					whole := completeText(prompt, cutTokens)
					if got.complete {
						must.EqOp(t, whole, got.text, must.Sprint(prompt))
						complete++
						continue
					}
					must.StrHasPrefix(t, got.text, whole, must.Sprint(prompt))
					must.NotEqOp(t, "", got.reason, must.Sprint(prompt))
				}
				must.Greater(t, 0, complete)
			})
		}
	}
}
