// Package demo runs a complete system on loopback in one process: three data
// centres with entry hosts, stand-ins for the platform, callers and trainers,
// and a few faults. It prints what callers and trainers observed and checks
// every promise of internal/checker.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
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
	loadDuration     = 16 * time.Second
	loadDrainTimeout = 5 * time.Second
	readyTimeout     = 10 * time.Second
	// drainDelay is below the default of 2 s, because no load balancer in front
	// of the entry hosts has to notice the drain.
	drainDelay = 500 * time.Millisecond
	// stateInterval is below the default of 1 s, because training steps take
	// seconds here and minutes in production.
	stateInterval = 250 * time.Millisecond
	// addedService is published during the run to check that the change becomes
	// active.
	addedService = "added-by-demo"
)

// Options configures a demo.
type Options struct {
	Example string // name of a shipped example
	Seed    uint64
	Out     io.Writer
	JSON    bool
}

// Result holds the measurements of a demo and the result of the checks.
type Result struct {
	Report   load.Report    `json:"report"`
	Promises checker.Result `json:"promises"`
}

// Run runs the demo and returns an error if a check found a violation.
func Run(ctx context.Context, o Options) (Result, error) {
	files, err := examples.Files(o.Example)
	if err != nil {
		return Result{}, err
	}
	bed, err := testbed.Start(ctx, testbed.Options{
		Files: files, HostsPerDataCentre: 2, Seed: o.Seed, Starter: testbed.InProcess,
		Engine: engined.Config{
			TokenTime: time.Millisecond, BatchSlope: 0.05, Lengths: engined.Lengths{Mean: 32, StragglerShare: 1.0 / 16, StragglerFactor: 6},
			CacheEventDelay: 200 * time.Millisecond, CacheEventLossShare: 0.1, LoadReportDelay: 500 * time.Millisecond, SwapPause: 20 * time.Millisecond,
		},
		Adjust: func(s *settings.Settings) {
			s.Timing.DrainDelay = drainDelay
			s.Timing.StateInterval = stateInterval
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer bed.Close()
	if err := publishAndWait(ctx, bed, files); err != nil {
		return Result{}, err
	}
	result, err := loadWithFaults(ctx, bed, files)
	if err != nil {
		return Result{}, err
	}
	return result, result.write(o)
}

func publishAndWait(ctx context.Context, bed *testbed.Testbed, files map[string]string) error {
	if _, err := configs.Publish(ctx, platform.NewHTTPLog(bed.LogAddr, ""), files); err != nil {
		return eris.Wrap(err, "publish the example")
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return bed.WaitReady(ctx)
}

// loadWithFaults runs the load and concurrently publishes a change, crashes an
// engine, takes a backend server out of service and drains an entry host.
func loadWithFaults(ctx context.Context, bed *testbed.Testbed, files map[string]string) (Result, error) {
	config := bed.Mix(load.MixOptions{
		CallerRate: 10, ServiceRate: 10, GroupsPerStep: 6, TrainTime: 3 * time.Second, StepsAhead: 1, Duration: loadDuration,
	})
	config.DrainTimeout = loadDrainTimeout
	config.ProbeServices = []string{addedService}
	faults := &faults{bed: bed, files: files}
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- faults.run(ctx) }()
	report, err := load.Run(ctx, config)
	if err != nil {
		return Result{}, err
	}
	if err := <-faultsDone; err != nil {
		return Result{}, err
	}
	facts := bed.Facts(report.Records)
	facts.Publications, facts.Drains = faults.publications, faults.drains
	return Result{Report: report, Promises: checker.Check(facts)}, nil
}

// faults injects the demo's faults in sequence.
type faults struct {
	bed          *testbed.Testbed
	files        map[string]string
	publications []checker.Publication
	drains       []checker.Drain
}

func (f *faults) run(ctx context.Context) error {
	steps := []func(context.Context) error{f.publishService, f.crashEngine, f.removeEngine, f.drainHost}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadDuration / time.Duration(len(steps)+1)):
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *faults) publishService(ctx context.Context) error {
	changed := maps.Clone(f.files)
	changed["added.ini"] = "[service " + addedService + "]\nclass = batch\ntimeout = 1s\n"
	if _, err := configs.Publish(ctx, platform.NewHTTPLog(f.bed.LogAddr, ""), changed); err != nil {
		return eris.Wrap(err, "publish a change")
	}
	f.publications = append(f.publications, checker.Publication{Service: addedService, At: time.Now()})
	return nil
}

func (f *faults) crashEngine(context.Context) error {
	f.bed.Engines[0].Crash(time.Second)
	return nil
}

func (f *faults) removeEngine(context.Context) error {
	f.bed.HostList.SetLeaving(f.bed.Engines[1].BackendServer.ID)
	return nil
}

// drainHost drains one entry host and restarts it.
func (f *faults) drainHost(context.Context) error {
	host := f.bed.Entries[len(f.bed.Entries)-1]
	drain := checker.Drain{Entry: host.Settings.Host.HTTPAddr, Start: time.Now()}
	if err := host.Process.Stop(); err != nil {
		return eris.Wrap(err, "drain an entry host")
	}
	drain.End = time.Now()
	f.drains = append(f.drains, drain)
	return f.bed.Restart(host)
}

func (r Result) write(o Options) error {
	if o.JSON {
		if err := writeJSON(o.Out, r); err != nil {
			return err
		}
	} else {
		if err := r.Report.WriteTable(o.Out); err != nil {
			return err
		}
		fmt.Fprintln(o.Out)
		if err := r.Promises.WriteTable(o.Out); err != nil {
			return err
		}
	}
	if violations := r.Promises.Violations(); violations > 0 {
		return eris.Errorf("the checks found %d violations", violations)
	}
	return nil
}
