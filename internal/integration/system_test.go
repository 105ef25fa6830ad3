// Package integration runs complete systems with entry hosts as separate
// processes, injects faults by signals and through the stand-ins, and asserts
// that internal/checker finds no broken promise. It contains tests only.
package integration

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/examples"
	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

// waitTimeout is the timeout of waits for a condition. It is long because a busy
// machine responds slowly.
const waitTimeout = 90 * time.Second

// tokenTime is the time that the engines take per token.
const tokenTime = 2 * time.Millisecond

// binary is the program under test, built once per test run.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sesamestand-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "sesamestand")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/sesamestand").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// system is a running example system with entry hosts as separate processes.
type system struct {
	*testbed.Testbed
	files map[string]string
}

func startSystem(t *testing.T, example string, seed uint64, tokenTime time.Duration) *system {
	t.Helper()
	return startSystemWith(t, example, seed, tokenTime, func(*settings.Settings) {})
}

// startSystemWith is startSystem with entry hosts whose settings adjust modifies.
func startSystemWith(t *testing.T, example string, seed uint64, tokenTime time.Duration, adjust func(*settings.Settings)) *system {
	t.Helper()
	files, err := examples.Files(example)
	must.NoError(t, err)
	bed, err := testbed.Start(t.Context(), testbed.Options{
		Files: files, HostsPerDataCentre: 2, Seed: seed, Starter: testbed.Executable(binary, t.TempDir()),
		Engine: engined.Config{
			TokenTime: tokenTime, BatchSlope: 0.05,
			Lengths:         engined.Lengths{Mean: 32, StragglerShare: 1.0 / 16, StragglerFactor: 6},
			CacheEventDelay: 200 * time.Millisecond, CacheEventLossShare: 0.1, LoadReportDelay: 500 * time.Millisecond, SwapPause: 20 * time.Millisecond,
		},
		Adjust: func(s *settings.Settings) {
			// No load balancer in front has to notice the drain, so a short
			// delay suffices.
			s.Timing.DrainDelay = 500 * time.Millisecond
			s.Timing.StateInterval = 250 * time.Millisecond
			s.Limits.DecisionLogPerSec = 0
			adjust(s)
		},
	})
	must.NoError(t, err)
	t.Cleanup(bed.Close)
	s := &system{Testbed: bed, files: files}
	_, err = configs.Publish(t.Context(), s.log(), files)
	must.NoError(t, err)
	s.waitReady(t)
	return s
}

func (s *system) log() platform.Log { return platform.NewHTTPLog(s.LogAddr, "") }

func (s *system) waitReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	must.NoError(t, s.WaitReady(ctx))
}

// runLoadWith runs the load and disturb concurrently until both have ended.
func (s *system) runLoadWith(t *testing.T, config load.Config, action func(context.Context) error) load.Records {
	t.Helper()
	actionDone := make(chan error, 1)
	go func() { actionDone <- action(t.Context()) }()
	report, err := load.Run(t.Context(), config)
	must.NoError(t, <-actionDone)
	must.NoError(t, err)
	return report.Records
}

// requireNoViolations asserts that no promise and no rule on orders was broken,
// and that each of the named promises had facts to check.
func requireNoViolations(t *testing.T, facts checker.Facts, checkedIDs ...string) {
	t.Helper()
	result := checker.Check(facts)
	var table bytes.Buffer
	must.NoError(t, result.WriteTable(&table))
	t.Log("\n" + table.String())
	must.Zero(t, result.Violations(), must.Sprint("violations found, see the table above"))
	for _, id := range checkedIDs {
		must.Positive(t, result.Verdict(id).Checked, must.Sprintf("%s had no facts to check", id))
	}
}

// sleep waits for d or until ctx is done, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
