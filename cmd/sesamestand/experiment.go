package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/experiment"
)

// experimentCommand compares policies under faults. The entry hosts run as
// separate processes unless --in-process is given.
type experimentCommand struct {
	Examples    []string      `arg:"--example,separate" help:"example to run; may be repeated [default: association, lin]"`
	Policies    []string      `arg:"--policy,separate" help:"policy to run; may be repeated [default: baseline, sesamestand]"`
	Faults      []string      `arg:"--fault,separate" help:"fault to inject; may be repeated [default: all]"`
	Runs        int           `arg:"--runs" default:"5" help:"runs of each combination"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the first run"`
	Duration    time.Duration `arg:"--duration" default:"30s" help:"duration of the load in each run"`
	Hosts       int           `arg:"--hosts" default:"2" help:"entry hosts in each data centre"`
	CallerRate  float64       `arg:"--caller-rate" default:"8" help:"requests per second of each serving need"`
	ServiceRate float64       `arg:"--service-rate" default:"4" help:"calls per second of each non-idempotent service"`
	Groups      int           `arg:"--groups" default:"60" help:"groups in each training step"`
	TrainTime   time.Duration `arg:"--train-time" default:"4s" help:"time that a trainer spends training on a step"`
	Ahead       int           `arg:"--ahead" default:"1" help:"steps that trainers submit before they train on them"`
	MaxBatch    int           `arg:"--max-batch" default:"16" help:"requests that an engine runs concurrently"`
	Parallel    int           `arg:"--parallel" default:"1" help:"number of concurrent runs"`
	InProcess   bool          `arg:"--in-process" help:"run entry hosts in this process"`
	KeepLogs    string        `arg:"--keep-logs" help:"keep the entry hosts' settings and logs in this directory" placeholder:"DIR"`
	JSON        string        `arg:"--json" help:"append one JSON row per run to this file" placeholder:"FILE"`
}

func (c *experimentCommand) run(ctx context.Context) error {
	discardLogs()
	options := experiment.Options{
		Examples: c.Examples, Policies: c.Policies, Faults: c.Faults, Runs: c.Runs, Seed: c.Seed,
		Duration: c.Duration, Parallel: c.Parallel, LogDir: c.KeepLogs, Progress: printRow,
		Load: experiment.LoadOptions{
			HostsPerDataCentre: c.Hosts, CallerRate: c.CallerRate, ServiceRate: c.ServiceRate,
			GroupsPerStep: c.Groups, TrainTime: c.TrainTime, StepsAhead: c.Ahead, MaxBatch: c.MaxBatch,
		},
	}
	if len(options.Examples) == 0 {
		options.Examples = []string{"association", "lin"}
	}
	if len(options.Policies) == 0 {
		options.Policies = []string{"baseline", "sesamestand"}
	}
	if !c.InProcess {
		binary, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "locate this executable")
		}
		options.Binary = binary
	}
	rows, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := appendRows(c.JSON, rows); err != nil {
			return err
		}
	}
	return experiment.WriteMarkdown(os.Stdout, rows)
}

func printRow(row experiment.Row) {
	fmt.Fprintf(os.Stderr, "%s %s %s run %d: idle %.1f%%, staleness %.2f, over bound %d, steps %d, broken %v %v %s\n",
		row.Example, row.Fault, row.Policy, row.Run, 100*row.IdleShare, row.StalenessMean, row.OverBound, row.Steps, row.Violations, row.ViolationExamples, row.Error)
}

func appendRows(path string, rows []experiment.Row) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open the output file")
	}
	w := bufio.NewWriter(file)
	encoder := json.NewEncoder(w)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return eris.Wrap(err, "write a row")
		}
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "write the rows")
	}
	return file.Close()
}
