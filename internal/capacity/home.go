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
	answerBytes  = 2000
	homeSeconds  = 120 // answers are kept that long
	sampleTokens = 400
	groupSize    = 8
	stepSamples  = 2048
	stepSeconds  = 17 * 60
)

// requestHome measures the memory and the processor time of the records of
// request IDs with answers of 2,000 bytes.
func requestHome() ([]Series, error) {
	memory := Series{Role: "router", Name: "request home, answers of 2 kB", Variable: "records", Unit: "B",
		Target: requestsSecond * homeSeconds, Scale: 1e-6, Control: Memory, Requests: true}
	cpu := Series{Role: "router", Name: "claim and complete", Variable: "requests", Unit: "s",
		Target: requestsSecond, Scale: 100, Control: CPU, PerEvent: true, Requests: true}
	for _, count := range []int{1000, 2000, 4000, 8000} {
		now := time.Unix(1_700_000_000, 0)
		home := flight.NewCoordinator(flight.CoordinatorDefaults())
		used := measure(func() any {
			for i := range count {
				id := fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i)
				grant := home.Claim(id, strings.Repeat("f", 64), false, now)
				home.Complete(id, grant.Attempt, make([]byte, answerBytes), now)
			}
			return home
		})
		if home.Len() != count {
			return nil, eris.Errorf("home keeps %d of %d records", home.Len(), count)
		}
		memory.X, memory.Y = append(memory.X, float64(count)), append(memory.Y, used.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(count)), append(cpu.Y, used.cpu)
	}
	return []Series{memory, cpu}, nil
}

// trainerHome measures the memory of a whole step that is complete and not
// pulled, and the processor time to run it, for one trainer.
func trainerHome() ([]Series, error) {
	memory := Series{Role: "trainer home", Name: "step held, 400 tokens a sample", Variable: "samples", Unit: "B",
		Target: stepSamples, Scale: 1e-6, Control: Memory, Requests: true}
	cpu := Series{Role: "trainer home", Name: "step run, 400 tokens a sample", Variable: "samples", Unit: "s",
		Target: stepSamples, Scale: 100.0 / stepSeconds, Control: CPU, Requests: true}
	for _, samples := range []int{512, 1024, 2048} {
		var held int
		used := measure(func() any {
			home := completeStep(samples / groupSize)
			_, held, _ = home.Usage("captions")
			return home
		})
		if held != samples/groupSize {
			return nil, eris.Errorf("home holds %d of %d groups", held, samples/groupSize)
		}
		memory.X, memory.Y = append(memory.X, float64(samples)), append(memory.Y, used.heap)
		cpu.X, cpu.Y = append(cpu.X, float64(samples)), append(cpu.Y, used.cpu)
	}
	return []Series{memory, cpu}, nil
}

// completeStep runs all samples of a step without a pull.
func completeStep(groups int) *sample.Coordinator {
	epochs := 0
	home := sample.New(sample.Config{NewEpoch: func() string { epochs++; return fmt.Sprint(epochs) }})
	home.Declare([]sample.Params{{Name: "captions", GroupSize: groupSize, MaxTokens: 1000, MaxStaleness: 4,
		Policy: sample.PolicyFor(0.8, 2, 4)}})
	var wanted []sample.GroupSpec
	for i := range groups {
		wanted = append(wanted, sample.GroupSpec{ID: fmt.Sprintf("s1-g%d", i), Prompt: strings.Repeat("p", 1000)})
	}
	home.Submit(0, "captions", "", 1, wanted)
	var now time.Duration
	var running []string
	cancelled := map[string]bool{}
	for first := true; first || len(running) > 0; first = false {
		now += 50 * time.Millisecond
		for _, action := range home.Run(now) {
			switch a := action.(type) {
			case sample.StartSample:
				running = append(running, a.SampleID)
			case sample.CancelSample:
				cancelled[a.SampleID] = true
				home.RecordEnd(now, a.SampleID)
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
			home.AppendChunk(now, id, fmt.Sprintf("t%04d", i), 1, finish) // a token of its own, as from the stream
		}
		home.RecordEnd(now, id)
	}
	return home
}
