package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// BenchmarkLocality reports the share of prompt blocks that engines found in
// their prefix caches. Requests with 64 shared prefixes of 8 blocks are sent
// through three hosts, at about half of the capacity, to 8 engines whose caches
// hold 16 prefixes each. Run it with -benchtime 1x.
func BenchmarkLocality(b *testing.B) {
	for _, policy := range []string{"", PolicyBaseline} {
		b.Run("policy="+policy, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(locality(b, policy), "hits/block")
			}
		})
	}
}

func locality(b *testing.B, policy string) float64 {
	const engines, prefixes, blocks, requests = 8, 64, 8, 1500
	f := newFixture(b, 0, "")
	var servers []*engined.Server
	for i := range engines {
		e := engined.New(engined.Config{
			ID: fmt.Sprint(i), Model: "album", Version: 1, MaxBatch: 8, TokenTime: 2 * time.Millisecond, BatchSlope: 0.05,
			PrefillPerBlock: 2 * time.Millisecond, CacheBlocks: 16 * blocks, CacheEventDelay: 500 * time.Millisecond,
			CacheEventLossShare: 0.02, Lengths: engined.Lengths{Mean: 16},
		})
		addr, err := e.Start("127.0.0.1:0")
		must.NoError(b, err)
		servers = append(servers, e)
		b.Cleanup(func() { _ = e.Close() })
		f.replicas = append(f.replicas, cluster.Replica{
			BackendServer: platform.BackendServer{
				ID: fmt.Sprintf("replica-%d", i), Kind: platform.KindEngine, Model: "album", Addr: addr, DataCentre: "plateau",
			},
			State: engine.State{Model: "album", Version: 1, Incarnation: 1}, Healthy: true,
		})
	}
	for range 3 {
		f.addHost(b, "plateau", policy)
	}
	random := rand.New(rand.NewPCG(3, 4))
	zipf := rand.NewZipf(random, 1.1, 4, prefixes-1)
	var calls sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(2500*time.Microsecond)))
		prefix := fmt.Sprintf("%-*s", blocks*engine.PrefixBlockBytes, fmt.Sprint("album ", zipf.Uint64()))
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_ = f.hosts[i%3].controller.Generate(ctx, cluster.Generation{
				RequestID: fmt.Sprint(i), Model: "album", Prompt: prefix + strings.Repeat(fmt.Sprint(i), 4), Seed: int64(i),
			}, func(engine.Chunk) error { return nil })
		})
	}
	calls.Wait()
	for _, h := range f.hosts {
		h.stop()
	}
	hits, total := 0, 0
	for _, e := range servers {
		for _, r := range e.Journal().Requests {
			hits += r.CachedBlocks
			total += blocks
		}
	}
	return float64(hits) / float64(total)
}
