package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sesamestand/sesamestand/internal/entry"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/platform"
)

// serveCommand runs an entry host until it receives SIGINT or SIGTERM.
type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file (INI)" placeholder:"FILE.ini"`
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Platform.OnLogStore() {
		return serveOnLogStore(ctx, s)
	}
	host, err := entry.New(s)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}

// softMemoryShare is the share of the memory limit that is set as the soft limit
// of the Go runtime, near which it collects garbage more often. The rest is
// reserved for socket buffers and stacks.
const softMemoryShare = 0.8

// serveOnLogStore runs an entry host on a platform with a partitioned log
// store.
func serveOnLogStore(ctx context.Context, s settings.Settings) error {
	if err := telemetry.SetLogOutput(os.Stdout); err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB * softMemoryShare * (1 << 20)))
	}
	host, err := platform.NewHost(s)
	if err != nil {
		return err
	}
	return host.Run(ctx, platform.NewIngress)
}
