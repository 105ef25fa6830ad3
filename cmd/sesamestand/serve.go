package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"k8s.io/klog/v2"

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
	// Without a handler, a SIGHUP that arrives before the host handles it ends the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(softMemoryLimit(s.Limits.MemoryMB))
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

const (
	// softMemoryShare is the share of the memory limit, without the program's, that is set
	// as the soft limit of the Go runtime, near which it collects garbage more often. The
	// rest is reserved for socket buffers, and for garbage that the runtime is late with.
	softMemoryShare = 0.8
	// programMB is the resident memory of the program and the C library. The runtime does
	// not count it.
	programMB = 20
)

// softMemoryLimit returns the soft limit of the Go runtime, in bytes, for a memory limit of
// the process in MB. A process with very little memory keeps half of it.
func softMemoryLimit(memoryMB float64) int64 {
	return int64(max((memoryMB-programMB)*softMemoryShare, memoryMB/2) * (1 << 20))
}

// logFlushTimeout bounds how long the process waits at its end for its last log lines. It
// is below the time between the end of a drain and the platform's kill.
const logFlushTimeout = 100 * time.Millisecond

// serveOnLogStore runs an entry host on a platform with a partitioned log
// store.
func serveOnLogStore(ctx context.Context, s settings.Settings) error {
	flush, err := telemetry.SetLogOutput(os.Stdout)
	if err != nil {
		return err
	}
	defer flush(logFlushTimeout)
	host, err := platform.NewHost(s)
	if err != nil {
		return err
	}
	if err := host.Run(ctx, platform.NewIngress); err != nil {
		klog.ErrorS(err, "entry host failed", "host", s.Host.ID)
		return err
	}
	return nil
}
