package main

import (
	"context"
	"flag"
	"io"
	"os"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/demo"
)

// demoCommand runs a complete system on loopback in this process.
type demoCommand struct {
	Lin  bool   `arg:"--lin" help:"run the Lin family's example instead of the Association's"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the load"`
	JSON bool   `arg:"--json" help:"print JSON"`
	Logs bool   `arg:"--logs" help:"write the entry hosts' logs to standard error"`
}

func (c *demoCommand) run(ctx context.Context) error {
	if !c.Logs {
		discardLogs()
	}
	example := "association"
	if c.Lin {
		example = "lin"
	}
	_, err := demo.Run(ctx, demo.Options{Example: example, Seed: c.Seed, Out: os.Stdout, JSON: c.JSON})
	return err
}

// discardLogs keeps the logs of embedded entry hosts out of a command's output.
func discardLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}
