package untrusted

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process has taken of its host.
type Usage struct {
	PeakBytes   int64 // highest resident memory since its start
	Bytes       int64 // resident memory now
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
	peak, err := statusBytes(status, "VmHWM:")
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	now, err := statusBytes(status, "VmRSS:")
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return Usage{PeakBytes: peak, Bytes: now, Descriptors: len(descriptors)}, nil
}

// statusBytes returns a field of a process's status, which is in KB.
func statusBytes(status []byte, name string) (int64, error) {
	_, rest, _ := bytes.Cut(status, []byte(name))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("status has no field %s", name)
	}
	kb, err := strconv.ParseInt(string(fields[0]), 10, 64)
	return kb << 10, err
}

// LimitDescriptors writes a program that runs binary with at most the given number of
// descriptors, under the same process ID.
func LimitDescriptors(binary, path string, descriptors int) error {
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", descriptors, binary)
	return os.WriteFile(path, []byte(script), 0o700)
}

// receiveQueues is the field of /proc/net/tcp with the bytes that wait to be sent and read.
const receiveQueues = 4

// UnreadBytes returns the bytes that the connections of an address have received and its
// process has not read.
func UnreadBytes(addr string) (int64, error) {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, err
	}
	ip := local.Addr().As4()
	address := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), local.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	unread := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= receiveQueues || fields[1] != address {
			continue
		}
		_, queue, _ := strings.Cut(fields[receiveQueues], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		unread += bytes
	}
	return unread, nil
}
