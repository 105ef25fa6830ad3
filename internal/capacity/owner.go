package capacity

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/sesamestand/sesamestand/internal/core/admit"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	ownedReplicas         = 20 // owned by one daemon
	replicasPerDataCentre = 750
	summariesPerSecond    = 2    // to each peer, with one summary per interval of 500 ms
	exchangeLimit         = 4096 // limit in B/s that internal/owner enforces on its sends
	messageOverhead       = 60   // bytes of HTTP/2 and gRPC framing per message, as assumed by internal/owner
	requestsPerSecond     = 29   // at one daemon
	requestSeconds        = 20   // duration of a request of several hundred tokens
)

// loadSummary returns a load summary message with a changed row for each replica.
func loadSummary(replicas int) *peerpb.ExchangeMessage {
	message := &peerpb.ExchangeMessage{Host: "entry-123"}
	for i := range replicas {
		message.Loads = append(message.Loads, &peerpb.LoadRow{ReplicaHash: route.HashReplica(fmt.Sprintf("engine-%d", i)),
			Running: int32(20 + i%10), Queued: int32(i % 3), Limit: 32, Version: 100_000, Healthy: true})
	}
	return message
}

// exchange measures the size of one load summary by the number of changed rows
// in it. It also measures the bytes and the processor time per second by the
// number of peers, when each peer gets a summary of all owned replicas in every
// interval and the sender's limit is not applied.
func exchange() ([]Series, error) {
	size := Series{Role: "owner", Name: "one load summary", Variable: "changed rows", Unit: "B", Target: ownedReplicas}
	for _, rows := range []int{5, 10, 20, 40} {
		size.X = append(size.X, float64(rows))
		size.Y = append(size.Y, float64(proto.Size(loadSummary(rows))+messageOverhead))
	}
	net := Series{Role: "owner", Name: "summaries, all rows changed", Variable: "peers", Unit: "B/s", Target: hostsPerDataCentre - 1,
		Scale: 1e-3, LimitUnit: Net, UpperBound: exchangeLimit}
	cpu := Series{Role: "owner", Name: "summaries encoded and decoded", Variable: "peers", Unit: "s/s", Target: hostsPerDataCentre - 1,
		Scale: 100, LimitUnit: CPU}
	const seconds = 200
	message := loadSummary(ownedReplicas)
	for _, peers := range []int{9, 18, 36, 72} {
		var failed error
		bytes := 0
		used := measure(func() any {
			for range seconds * summariesPerSecond * peers {
				data, err := proto.Marshal(message)
				if err != nil {
					failed = err
				}
				var received peerpb.ExchangeMessage
				if err := proto.Unmarshal(data, &received); err != nil {
					failed = err
				}
				bytes += len(data) + messageOverhead
			}
			return nil
		})
		if failed != nil {
			return nil, eris.Wrap(failed, "encode summaries")
		}
		net.X, net.Y = append(net.X, float64(peers)), append(net.Y, float64(bytes)/seconds)
		cpu.X, cpu.Y = append(cpu.X, float64(peers)), append(cpu.Y, used.cpu/seconds)
	}
	return []Series{size, net, cpu}, nil
}

func candidates(count int, now time.Time) []route.Candidate {
	all := make([]route.Candidate, count)
	for i := range all {
		id := fmt.Sprintf("engine-%04d", i)
		all[i] = route.Candidate{Replica: id, DataCentre: fmt.Sprintf("dc-%02d", i%totalDataCentres), Model: "album", Owner: "entry", Hash: route.HashReplica(id),
			StateKnown: true, Healthy: true, Version: 9, Running: i % 16, Limit: 32, ReceivedAt: now}
	}
	return all
}

// routing measures the processor time of a routing decision by the number of
// candidates. All candidates serve the same model, a sixteenth of them are in the
// local data centre, and the prompt has 16 prefix blocks.
func routing() ([]Series, error) {
	const rounds = 100
	s := Series{Role: "router", Name: "routing decision", Variable: "candidates, all data centres", Unit: "s", Target: totalReplicas,
		Scale: 100 * requestsPerSecond, LimitUnit: CPU, Requests: true}
	now := time.Unix(1_700_000_000, 0)
	blocks := make([]uint64, 16)
	for i := range blocks {
		blocks[i] = route.HashReplica(fmt.Sprint("block ", i))
	}
	for _, count := range []int{750, 3000, 6000, 12_000} {
		all, prefixes := candidates(count, now), route.NewPrefixIndex()
		prefixes.RecordSent(all[1].Replica, blocks[:8], now)
		used := measure(func() any {
			for i := range rounds {
				route.Choose(route.Request{Model: "album", DataCentre: "dc-01", NewestVersion: 9, Prefix: blocks, Seed: uint64(i)},
					all, prefixes, route.DefaultWeights(), now)
			}
			return prefixes
		})
		s.X, s.Y = append(s.X, float64(count)), append(s.Y, used.cpu/rounds)
	}
	return []Series{s}, nil
}

// admission measures the memory of in-flight and queued requests at the replicas
// of one owner, and the processor time to start them, to count 400 tokens for
// each of them and to end them.
func admission() ([]Series, error) {
	const tokens = 400
	memory := Series{Role: "owner", Name: "admission table", Variable: "requests held", Unit: "B",
		Target: requestsPerSecond * requestSeconds, Scale: 1e-6, LimitUnit: Memory, Requests: true}
	cpu := Series{Role: "owner", Name: "admission, 400 tokens a request", Variable: "requests", Unit: "s",
		Target: requestsPerSecond, Scale: 100, LimitUnit: CPU, PerEvent: true, Requests: true}
	for _, count := range []int{500, 1000, 2000, 4000} {
		now := time.Unix(1_700_000_000, 0)
		config := admit.Defaults()
		config.MaxQueue = count
		controller := admit.New(config)
		var running []uint64
		recordStarts := func(actions []admit.Action) {
			for _, a := range actions {
				if a.Kind == admit.Start {
					running = append(running, a.ID)
				}
			}
		}
		filled := measure(func() any {
			for i := range ownedReplicas {
				controller.SetReplica(fmt.Sprint("engine-", i), true, false, now)
			}
			for i := range count {
				recordStarts(controller.Enqueue(admit.Request{ID: uint64(i + 1), Replica: fmt.Sprint("engine-", i%ownedReplicas),
					Class: declare.ClassTraining, Trainer: fmt.Sprint("trainer-", i%modelCount), Share: 1, MaxTokens: tokens}, now))
			}
			return controller
		})
		ended := 0
		emptied := measure(func() any {
			for len(running) > 0 {
				id := running[0]
				running = running[1:]
				for range tokens {
					now = now.Add(time.Microsecond)
					controller.ObserveToken(id, 30*time.Millisecond)
				}
				recordStarts(controller.Done(id, true, now))
				ended++
			}
			return controller
		})
		if ended != count {
			return nil, eris.Errorf("%d of %d admitted requests ended", ended, count)
		}
		memory.X, memory.Y = append(memory.X, float64(count)), append(memory.Y, filled.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(count)), append(cpu.Y, filled.cpu+emptied.cpu)
	}
	return []Series{memory, cpu}, nil
}
