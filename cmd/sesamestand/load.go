package main

import (
	"context"
	"os"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/load"
)

// loadCommand generates open-loop load from callers and trainers on a running
// system.
type loadCommand struct {
	Entries      []string      `arg:"--entry,separate,required" help:"HTTP address of an entry host; may be repeated" placeholder:"IP:PORT"`
	Declarations string        `arg:"--declarations,required" help:"directory of the active declaration files" placeholder:"DIR"`
	Weights      string        `arg:"--weights" help:"weight store to which trainers publish" placeholder:"IP:PORT"`
	CallerToken  string        `arg:"--caller-token,env:SESAMESTAND_CALLER_TOKEN" help:"token of callers"`
	TrainerToken string        `arg:"--trainer-token,env:SESAMESTAND_TRAINER_TOKEN" help:"token of every trainer"`
	CallerRate   float64       `arg:"--caller-rate" default:"5" help:"requests per second of each serving need"`
	ServiceRate  float64       `arg:"--service-rate" default:"2" help:"calls per second of each non-idempotent service"`
	Groups       int           `arg:"--groups" default:"8" help:"groups in each training step"`
	TrainTime    time.Duration `arg:"--train-time" default:"5s" help:"time that a trainer spends training on a step"`
	Ahead        int           `arg:"--ahead" default:"1" help:"steps that trainers submit before they train on them"`
	Duration     time.Duration `arg:"--duration" default:"30s" help:"duration of the load"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of arrivals and prompts"`
	JSON         bool          `arg:"--json" help:"print JSON"`
}

func (c *loadCommand) run(ctx context.Context) error {
	set, _, findings := declare.ParseDir(c.Declarations)
	if err := findings.Err(); err != nil {
		return err
	}
	config := load.Mix(set, load.MixOptions{
		CallerRate: c.CallerRate, ServiceRate: c.ServiceRate, GroupsPerStep: c.Groups,
		TrainTime: c.TrainTime, StepsAhead: c.Ahead, Duration: c.Duration, TrainerToken: c.TrainerToken,
	})
	config.Entries, config.CallerToken = c.Entries, c.CallerToken
	config.WeightsAddr, config.Seed = c.Weights, c.Seed
	report, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if c.JSON {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}
