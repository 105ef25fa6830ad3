package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/sample"
)

const (
	responseBytes            = 2000
	responseRetentionSeconds = 120
	sampleTokens             = 400
	groupSize                = 8
	samplesPerStep           = 2048
	stepSeconds              = 17 * 60
)

// requestCoordinator measures the memory and the processor time for the records
// of request IDs with responses of 2,000 bytes.
func requestCoordinator() ([]Series, error) {
	memory := Series{Role: "router", Name: "request records, answers of 2 kB", Variable: "records", Unit: "B",
		Target: requestsPerSecond * responseRetentionSeconds, Scale: 1e-6, LimitUnit: Memory, Requests: true}
	cpu := Series{Role: "router", Name: "claim and complete", Variable: "requests", Unit: "s",
		Target: requestsPerSecond, Scale: 100, LimitUnit: CPU, PerEvent: true, Requests: true}
	for _, count := range []int{1000, 2000, 4000, 8000} {
		now := time.Unix(1_700_000_000, 0)
		coordinator := flight.NewCoordinator(flight.CoordinatorDefaults())
		used := measure(func() any {
			for i := range count {
				id := fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i)
				grant := coordinator.Claim(id, strings.Repeat("f", 64), false, now)
				coordinator.Complete(id, grant.Attempt, make([]byte, responseBytes), now)
			}
			return coordinator
		})
		if coordinator.Len() != count {
			return nil, eris.Errorf("request coordinator holds %d of %d records", coordinator.Len(), count)
		}
		memory.X, memory.Y = append(memory.X, float64(count)), append(memory.Y, used.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(count)), append(cpu.Y, used.cpu)
	}
	return []Series{memory, cpu}, nil
}

// trainerCoordinator measures, for one trainer, the memory of a step that is
// complete but not pulled, and the processor time to run the step.
func trainerCoordinator() ([]Series, error) {
	memory := Series{Role: "coordinator", Name: "step held, 400 tokens a sample", Variable: "samples", Unit: "B",
		Target: samplesPerStep, Scale: 1e-6, LimitUnit: Memory, Requests: true}
	cpu := Series{Role: "coordinator", Name: "step run, 400 tokens a sample", Variable: "samples", Unit: "s",
		Target: samplesPerStep, Scale: 100.0 / stepSeconds, LimitUnit: CPU, Requests: true}
	for _, samples := range []int{512, 1024, 2048} {
		var held int
		used := measure(func() any {
			coordinator := completeStep(samples / groupSize)
			_, held, _ = coordinator.Usage("captions")
			return coordinator
		})
		if held != samples/groupSize {
			return nil, eris.Errorf("trainer coordinator holds %d of %d groups", held, samples/groupSize)
		}
		memory.X, memory.Y = append(memory.X, float64(samples)), append(memory.Y, used.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(samples)), append(cpu.Y, used.cpu)
	}
	return []Series{memory, cpu}, nil
}

// completeStep returns a trainer coordinator in which all samples of a step have
// ended and no group was pulled.
func completeStep(groups int) *sample.Coordinator {
	epochs := 0
	coordinator := sample.New(sample.Config{NewEpoch: func() string { epochs++; return fmt.Sprint(epochs) }})
	coordinator.Declare([]sample.Params{{Name: "captions", GroupSize: groupSize, MaxTokens: 1000, MaxStaleness: 4,
		Policy: sample.PolicyFor(0.8, 2, 4)}})
	var specs []sample.GroupSpec
	for i := range groups {
		specs = append(specs, sample.GroupSpec{ID: fmt.Sprintf("s1-g%d", i), Prompt: strings.Repeat("p", 1000)})
	}
	coordinator.Submit(0, "captions", "", 1, specs)
	var now time.Duration
	var running []string
	cancelled := map[string]bool{}
	for first := true; first || len(running) > 0; first = false {
		now += 50 * time.Millisecond
		for _, action := range coordinator.Run(now) {
			switch a := action.(type) {
			case sample.StartSample:
				running = append(running, a.SampleID)
			case sample.CancelSample:
				cancelled[a.SampleID] = true
				coordinator.RecordEnd(now, a.SampleID)
			}
		}
		if len(running) == 0 {
			break
		}
		id := running[0]
		running = running[1:]
		if cancelled[id] {
			continue
		}
		for i := range sampleTokens {
			finish := ""
			if i == sampleTokens-1 {
				finish = "stop"
			}
			coordinator.AppendChunk(now, id, fmt.Sprintf("t%04d", i), 1, finish) // a separate allocation per token, as when read from a stream
		}
		coordinator.RecordEnd(now, id)
	}
	return coordinator
}
