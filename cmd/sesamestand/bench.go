package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/capacity"
)

// benchCommand measures how costs grow with the load and extrapolates them to
// the target scale.
type benchCommand struct{}

func (*benchCommand) run(context.Context) error {
	// Discard klog output: the measured controllers log every change of
	// hundreds of hosts.
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	before, start := loadAverage(), time.Now()
	all, err := capacity.All()
	if err != nil {
		return err
	}
	capacity.Print(os.Stdout, all)
	fmt.Printf("\n%d processors, %s, load average %s before and %s after, %.0f s\n",
		runtime.NumCPU(), runtime.Version(), before, loadAverage(), time.Since(start).Seconds())
	return nil
}

// loadAverage returns the machine's load average over one minute, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) == 0 {
		return "unknown"
	}
	return fields[0]
}
