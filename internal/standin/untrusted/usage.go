package untrusted

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// Usage is what a process has taken of its host.
type Usage struct {
	PeakBytes   int64 // highest resident memory since its start
	Descriptors int   // open now
}

// UsageOf reads the usage of a process.
func UsageOf(pid int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, err
	}
	_, peak, found := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(peak)
	if !found || len(fields) == 0 {
		return Usage{}, fmt.Errorf("process %d has no peak of its memory", pid)
	}
	kb, err := strconv.ParseInt(string(fields[0]), 10, 64)
	return Usage{PeakBytes: kb << 10, Descriptors: len(descriptors)}, err
}

// LimitDescriptors writes a program that runs binary with at most the given number of
// descriptors, under the same process ID.
func LimitDescriptors(binary, path string, descriptors int) error {
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", descriptors, binary)
	return os.WriteFile(path, []byte(script), 0o700)
}
