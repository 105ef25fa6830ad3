package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// BenchmarkAddedTime reports the p50 and p99 latency of complete responses of one
// token: directly from the engine, through the host that owns the replica,
// through another host, and through another host with a request ID supplied by
// the caller, which adds the claim at the request coordinator. The differences
// are the latency added by the entry hosts. Requests are sent one at a time.
func BenchmarkAddedTime(b *testing.B) {
	e := engined.New(engined.Config{ID: "e", Model: "album", Version: 1, TokenTime: 100 * time.Microsecond})
	addr, err := e.Start("127.0.0.1:0")
	must.NoError(b, err)
	defer func() { _ = e.Close() }()
	f := newFixture(b, 0, "")
	f.replicas = append(f.replicas, cluster.Replica{
		BackendServer: platform.BackendServer{
			ID: "replica-0", Kind: platform.KindEngine, Model: "album", Addr: addr, DataCentre: "plateau",
		},
		State: engine.State{Model: "album", Version: 1, Incarnation: 1}, Healthy: true,
	})
	for range 3 {
		f.addHost(b, "plateau", "")
	}
	client := engine.NewClient(engine.Config{})
	direct := func(id string) error {
		return client.Stream(context.Background(), addr, engine.GenerateRequest{
			RequestID: id, Model: "album", Prompt: "proof", MaxTokens: 1,
		}, func(engine.Chunk) error { return nil })
	}
	through := func(h *testHost, withRequestID bool) func(string) error {
		return func(id string) error {
			body, _ := json.Marshal(map[string]any{"model": "album", "prompt": "proof", "max_tokens": 1})
			req, _ := http.NewRequest(http.MethodPost, h.server.URL, strings.NewReader(string(body)))
			if withRequestID {
				req.Header.Set("Request-Id", id)
			}
			response, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			var decoded map[string]any
			return json.NewDecoder(response.Body).Decode(&decoded)
		}
	}
	for _, path := range []struct {
		name string
		call func(string) error
	}{
		{"direct", direct},
		{"owner", through(f.hosts[0], false)},
		{"other host", through(f.hosts[1], false)},
		{"other host with request ID", through(f.hosts[1], true)},
	} {
		b.Run(path.name, func(b *testing.B) {
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				start := time.Now()
				must.NoError(b, path.call(fmt.Sprint(path.name, b.N, "-", start.UnixNano(), i)))
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "us/p50")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "us/p99")
		})
	}
}
