package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/checker"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/load"
)

// Guards against requests that are lost or answered twice when an entry host is
// killed and its callers retry them through another host.
func TestKilledHostLosesNoRequest(t *testing.T) {
	s := startSystem(t, "lin", 1, tokenTime)
	config := s.Mix(load.MixOptions{
		CallerRate: 20, ServiceRate: 20, GroupsPerStep: 6, TrainTime: time.Second, StepsAhead: 1, Duration: 12 * time.Second,
	})
	config.Services = append(config.Services, load.ServiceMix{
		Name: "orders", Method: http.MethodGet, Path: "/trays", Class: declare.ClassInteractive, RatePerSecond: 20,
	})
	killed := s.Entries[0]
	records := s.runLoadWith(t, config, func(ctx context.Context) error {
		sleep(ctx, config.Duration/3)
		killed.Process.Kill()
		return nil
	})
	requireNoViolations(t, s.Facts(records), "P1", "P3", "P4", "P6")
	requireRetriesAnswered(t, records, killed.Settings.Host.HTTPAddr)
}

// requireRetriesAnswered asserts that every request that a caller retried was
// answered in the end. The only exception is a non-idempotent call that the
// killed host may have sent: another host cannot answer it and ends it with the
// outcome "unknown".
func requireRetriesAnswered(t *testing.T, records load.Records, killed string) {
	t.Helper()
	broken := make(map[string]bool) // by request ID or key: connection broken at the killed host
	retried := make(map[string]bool)
	for _, a := range records.Attempts {
		id := a.RequestID + a.Key
		retried[id] = retried[id] || !a.Last
		broken[id] = broken[id] || a.Result == load.ResultBroken && a.Entry == killed
	}
	answered := 0
	for _, a := range records.Attempts {
		id := a.RequestID + a.Key
		switch {
		case !a.Last || !retried[id]:
		case a.Result == load.ResultAnswered:
			answered++
		default:
			unknown := a.Key != "" && broken[id] && a.Result == load.ResultRefused && a.Outcome == "unknown"
			must.True(t, unknown, must.Sprintf("retried request %s ended with result %s (outcome %s, reason %s) at %s: %s", id, a.Result, a.Outcome, a.Reason, a.Entry, a.Error))
		}
	}
	must.Positive(t, answered, must.Sprint("no caller retried a request"))
}

// Guards against a rolling restart, as at each release, that interrupts
// in-flight requests or loses samples.
func TestRollingRestartInterruptsNothing(t *testing.T) {
	// Slow tokens ensure that streams are still open when a shutdown begins.
	s := startSystem(t, "association", 1, 5*tokenTime)
	config := s.Mix(load.MixOptions{
		CallerRate: 40, ServiceRate: 10, GroupsPerStep: 6, TrainTime: time.Second, StepsAhead: 1, Duration: 25 * time.Second,
	})
	var drains []checker.Drain
	records := s.runLoadWith(t, config, func(ctx context.Context) error {
		for _, host := range s.Entries {
			drain := checker.Drain{Entry: host.Settings.Host.HTTPAddr, Start: time.Now()}
			if err := host.Process.Stop(); err != nil {
				return err
			}
			drain.End = time.Now()
			drains = append(drains, drain)
			if err := s.Restart(host); err != nil {
				return err
			}
			ready, cancel := context.WithTimeout(ctx, waitTimeout)
			err := s.WaitReady(ready)
			cancel()
			if err != nil {
				return err
			}
		}
		return nil
	})
	facts := s.Facts(records)
	facts.Drains = drains
	must.Len(t, len(s.Entries), drains)
	requireNoViolations(t, facts, "P1", "P3", "P4", "P8")
}
