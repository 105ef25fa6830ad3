package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

const (
	goodputEngines  = 4
	goodputDeadline = time.Second
	goodputTokens   = 32                   // mean length of a response
	goodputBatch    = 8                    // maximum batch size
	goodputStep     = 5 * time.Millisecond // time per token in a batch of one
	goodputSlope    = 0.05                 // relative growth of that time with each further request
)

// goodputCapacity returns the number of requests per second that the engines
// complete with full batches.
func goodputCapacity() float64 {
	step := goodputStep.Seconds() * (1 + goodputSlope*(goodputBatch-1))
	return goodputEngines * goodputBatch / step / goodputTokens
}

// BenchmarkGoodput loads two hosts for ten seconds with 1, 2 and 4 times the
// capacity of their four engines. It reports the goodput, that is, the requests
// completed within the deadline as a share of the capacity, and their p99
// latency. The first four seconds are warm-up. Run it with -benchtime 1x.
func BenchmarkGoodput(b *testing.B) {
	for _, policy := range []string{"", PolicyBaseline} {
		for _, factor := range []float64{1, 2, 4} {
			b.Run(fmt.Sprintf("policy=%s/load=%gx", policy, factor), func(b *testing.B) {
				for range b.N {
					good, p99 := goodput(b, policy, factor)
					b.ReportMetric(good, "goodput/capacity")
					b.ReportMetric(p99.Seconds()*1000, "ms/p99")
				}
			})
		}
	}
}

func goodput(b *testing.B, policy string, factor float64) (share float64, p99 time.Duration) {
	f := &fixture{set: &declare.Set{}}
	for i := range goodputEngines {
		e := engined.New(engined.Config{
			ID: fmt.Sprint(i), Model: "album", Version: 1, MaxBatch: goodputBatch, TokenTime: goodputStep,
			BatchSlope: goodputSlope, Lengths: engined.Lengths{Mean: goodputTokens},
		})
		addr, err := e.Start("127.0.0.1:0")
		must.NoError(b, err)
		b.Cleanup(func() { _ = e.Close() })
		f.replicas = append(f.replicas, cluster.Replica{
			BackendServer: platform.BackendServer{
				ID: fmt.Sprintf("replica-%d", i), Kind: platform.KindEngine, Model: "album", Addr: addr, DataCentre: "plateau",
			},
			State: engine.State{Model: "album", Version: 1, Incarnation: 1}, Healthy: true,
		})
	}
	for range 2 {
		f.addHost(b, "plateau", policy)
	}
	const warmUp, measured = 4 * time.Second, 6 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var times []time.Duration
	var calls sync.WaitGroup
	start := time.Now()
	next := start
	for i := 0; time.Since(start) < warmUp+measured; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / (factor * goodputCapacity()) * float64(time.Second)))
		time.Sleep(time.Until(next))
		calls.Go(func() {
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), goodputDeadline)
			defer cancel()
			err := f.hosts[i%2].controller.Generate(ctx, cluster.Generation{
				RequestID: fmt.Sprint("request-", i), Model: "album", Prompt: fmt.Sprint("prompt ", i),
				Seed: int64(i), Class: declare.ClassInteractive,
			}, func(engine.Chunk) error { return nil })
			if err == nil && began.Sub(start) > warmUp {
				mu.Lock()
				defer mu.Unlock()
				times = append(times, time.Since(began))
			}
		})
	}
	calls.Wait()
	for _, h := range f.hosts {
		h.stop()
	}
	return summarize(times, measured.Seconds()*goodputCapacity())
}

func summarize(times []time.Duration, capacity float64) (share float64, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return float64(len(times)) / capacity, times[len(times)*99/100]
}
