// Package experiment compares policies: it runs each policy with the same example,
// load, fault and seed, normally with entry hosts as separate processes.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/examples"
	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

const (
	readyTimeout = 20 * time.Second
	// stateInterval overrides the default of 1 s, because a step takes seconds here
	// and minutes in production.
	stateInterval = 250 * time.Millisecond
	// warmUpTime lets membership, views and load reports converge before the load
	// starts, so that a run does not measure the start of the system.
	warmUpTime = 5 * time.Second
	// drainTimeout is how long requests in flight may continue after the load.
	drainTimeout = 10 * time.Second
)

// Options configures a series of runs.
type Options struct {
	Examples []string
	Policies []string
	Faults   []string // names of Faults; empty means all
	Runs     int      // of each combination of example, fault and policy
	Seed     uint64
	Duration time.Duration
	Load     LoadOptions
	// Binary runs entry hosts as separate processes; empty runs them in this process.
	Binary string
	// LogDir is a directory in which the settings and logs of the entry hosts,
	// including the decision log, are retained if they are separate processes.
	// Empty means that they are deleted and no decision log is written.
	LogDir string
	// Parallel is the number of concurrent runs; 0 means 1.
	Parallel int
	Progress func(Row)
}

// LoadOptions sizes the load of a run.
type LoadOptions struct {
	HostsPerDataCentre int
	CallerRate         float64 // requests/s of each serving need
	ServiceRate        float64 // calls/s of each non-idempotent service
	GroupsPerStep      int
	TrainTime          time.Duration
	StepsAhead         int // steps submitted early
	MaxBatch           int // of each engine
}

// Row is the result of one run.
type Row struct {
	Example           string         `json:"example"`
	Policy            string         `json:"policy"`
	Fault             string         `json:"fault"`
	Run               int            `json:"run"`
	Seed              uint64         `json:"seed"`
	IdleShare         float64        `json:"idle_share"`     // mean over the trainers, excluding the wait for the first step
	StalenessMean     float64        `json:"staleness_mean"` // versions
	StalenessP99      int64          `json:"staleness_p99"`  // versions, highest of the trainers
	OverBound         int            `json:"over_bound"`
	Steps             int            `json:"steps"`
	Samples           int            `json:"samples"`
	Answered          int            `json:"answered"`
	Requests          int            `json:"requests"`
	LatencyP99        float64        `json:"latency_p99_ms"` // interactive callers
	Violations        map[string]int `json:"broken"`         // violations by promise ID
	ViolationExamples []string       `json:"broken_examples,omitempty"`
	Error             string         `json:"error,omitempty"`
}

// Run executes all runs and returns their rows in the order of the plan. A failed
// run is reported in its row.
func Run(ctx context.Context, o Options) ([]Row, error) {
	plans, err := o.plans()
	if err != nil {
		return nil, err
	}
	slots := make(chan struct{}, max(1, o.Parallel))
	rows := make([]Row, len(plans))
	var wg sync.WaitGroup
	for i, p := range plans {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[i] = p.measure(ctx, o)
			if o.Progress != nil {
				o.Progress(rows[i])
			}
		})
	}
	wg.Wait()
	return rows, ctx.Err()
}

// plan describes one run.
type plan struct {
	example, policy string
	fault           Fault
	run             int
	seed            uint64
}

func (o Options) plans() ([]plan, error) {
	selected, err := selectFaults(o.Faults)
	if err != nil {
		return nil, err
	}
	var plans []plan
	for run := range o.Runs {
		for _, example := range o.Examples {
			for _, fault := range selected {
				// The policies of one comparison run one after another, so that
				// a change in the load of the machine affects all of them.
				for _, policy := range o.Policies {
					plans = append(plans, plan{example: example, policy: policy, fault: fault, run: run, seed: o.Seed + uint64(run)})
				}
			}
		}
	}
	return plans, nil
}

func selectFaults(names []string) ([]Fault, error) {
	all := Faults()
	if len(names) == 0 {
		return all, nil
	}
	var selected []Fault
	for _, name := range names {
		found := false
		for _, f := range all {
			if f.Name == name {
				selected = append(selected, f)
				found = true
			}
		}
		if !found {
			return nil, eris.Errorf("unknown fault %q", name)
		}
	}
	return selected, nil
}

func (p plan) measure(ctx context.Context, o Options) Row {
	row := Row{Example: p.example, Policy: p.policy, Fault: p.fault.Name, Run: p.run, Seed: p.seed}
	if err := p.execute(ctx, o, &row); err != nil {
		row.Error = err.Error()
	}
	return row
}

func (p plan) execute(ctx context.Context, o Options, row *Row) error {
	dir, err := os.MkdirTemp(o.LogDir, "sesamestand-experiment-")
	if err != nil {
		return eris.Wrap(err, "create directory for settings and logs")
	}
	if o.LogDir == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	bed, err := p.startTestbed(ctx, o, dir)
	if err != nil {
		return err
	}
	defer bed.Close()
	config := bed.Mix(load.MixOptions{
		CallerRate: o.Load.CallerRate, ServiceRate: o.Load.ServiceRate, GroupsPerStep: o.Load.GroupsPerStep,
		TrainTime: o.Load.TrainTime, StepsAhead: o.Load.StepsAhead, Duration: o.Duration,
	})
	config.DrainTimeout = drainTimeout
	report, err := p.runLoad(ctx, bed, config, o.Duration)
	if err != nil {
		return err
	}
	row.addResults(report, checker.Check(bed.Facts(report.Records)))
	return nil
}

func (p plan) startTestbed(ctx context.Context, o Options, dir string) (*testbed.Testbed, error) {
	files, err := examples.Files(p.example)
	if err != nil {
		return nil, err
	}
	starter := testbed.InProcess
	if o.Binary != "" {
		starter = testbed.Executable(o.Binary, dir)
	}
	bed, err := testbed.Start(ctx, testbed.Options{
		Files: files, HostsPerDataCentre: o.Load.HostsPerDataCentre, Policy: p.policy, Seed: p.seed, Starter: starter,
		Engine: engined.Config{
			MaxBatch: o.Load.MaxBatch, TokenTime: 2 * time.Millisecond, BatchSlope: 0.05,
			PrefillPerBlock: time.Millisecond, CacheBlocks: 256, Lengths: p.fault.lengths,
			CacheEventDelay: 300 * time.Millisecond, CacheEventLossShare: 0.1, LoadReportDelay: 500 * time.Millisecond,
			SwapPause: 50 * time.Millisecond, PeerBytesPerSecond: 4 << 20,
		},
		WeightBytes: 128 << 10, WeightRate: 4 << 20,
		Adjust: func(s *settings.Settings) {
			if o.LogDir == "" {
				s.Limits.DecisionLogPerSec = 0
			}
			s.Timing.StateInterval = stateInterval
		},
	})
	if err != nil {
		return nil, err
	}
	if _, err := configs.Publish(ctx, platform.NewHTTPLog(bed.LogAddr, ""), files); err != nil {
		bed.Close()
		return nil, eris.Wrap(err, "publish the declarations of the example")
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := bed.WaitReady(readyCtx); err != nil {
		bed.Close()
		return nil, err
	}
	sleep(ctx, warmUpTime)
	return bed, nil
}

func (p plan) runLoad(ctx context.Context, bed *testbed.Testbed, config load.Config, duration time.Duration) (load.Report, error) {
	faultCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.fault.inject != nil {
			p.fault.inject(faultCtx, bed, duration, rand.New(rand.NewPCG(p.seed, 2)))
		}
	}()
	report, err := load.Run(ctx, config)
	stop()
	<-done
	return report, err
}

func (r *Row) addResults(report load.Report, result checker.Result) {
	for _, t := range report.Trainers {
		r.IdleShare += t.SteadyIdleShare / float64(len(report.Trainers))
		r.StalenessMean += t.StalenessMean / float64(len(report.Trainers))
		r.StalenessP99 = max(r.StalenessP99, t.StalenessP99)
		r.OverBound += t.OverBound
		r.Steps += t.Steps
		r.Samples += t.Samples
	}
	for _, c := range report.Callers {
		r.Requests += c.Requests
		r.Answered += c.Answered
		if c.Class == "interactive" {
			r.LatencyP99 = max(r.LatencyP99, c.Latency.P99)
		}
	}
	r.Violations = make(map[string]int)
	for _, p := range result.Verdicts {
		if p.Violations > 0 {
			r.Violations[p.ID] = p.Violations
			for _, example := range p.Examples {
				r.ViolationExamples = append(r.ViolationExamples, fmt.Sprintf("%s: %s", p.ID, example))
			}
		}
	}
}
