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

// Guards against requests that are lost or answered twice when an entry host
// dies without warning: its callers send them again through another host.
func TestKilledHostLosesNoRequest(t *testing.T) {
	s := startSystem(t, "lin", 1, tokenTime)
	config := s.Mix(load.MixOptions{
		CallerRate: 20, ServiceRate: 20, GroupsPerStep: 6, TrainTime: time.Second, StepsAhead: 1, Duration: 12 * time.Second,
	})
	config.Services = append(config.Services, load.ServiceMix{
		Name: "orders", Method: http.MethodGet, Path: "/trays", Class: declare.ClassInteractive, RatePerSecond: 20,
	})
	killed := s.Entries[0]
	records := s.loadBeside(t, config, func(ctx context.Context) error {
		sleep(ctx, config.Duration/3)
		killed.Process.Kill()
		return nil
	})
	requireKept(t, s.Facts(records), "P1", "P3", "P4", "P6")
	requireRepeatedAnswered(t, records, killed.Settings.Host.HTTPAddr)
}

// requireRepeatedAnswered asserts how requests ended that callers repeated.
// Only a non-idempotent call that a dead host may have sent cannot be answered
// by another host: it ends with the outcome "unknown".
func requireRepeatedAnswered(t *testing.T, records load.Records, killed string) {
	t.Helper()
	broken := make(map[string]bool) // by request ID or key: cut off at the killed host
	repeated := make(map[string]bool)
	for _, a := range records.Attempts {
		id := a.RequestID + a.Key
		repeated[id] = repeated[id] || !a.Last
		broken[id] = broken[id] || a.Result == load.ResultBroken && a.Entry == killed
	}
	answered := 0
	for _, a := range records.Attempts {
		id := a.RequestID + a.Key
		switch {
		case !a.Last || !repeated[id]:
		case a.Result == load.ResultAnswered:
			answered++
		default:
			unknown := a.Key != "" && broken[id] && a.Result == load.ResultRefused && a.Outcome == "unknown"
			must.True(t, unknown, must.Sprintf("repeated request %s ended %s (%s, %s) at %s: %s", id, a.Result, a.Outcome, a.Reason, a.Entry, a.Error))
		}
	}
	must.Positive(t, answered, must.Sprint("no caller repeated a request"))
}

// Guards against a rolling restart, as with each new release, that cuts off
// requests in flight or loses samples.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	// Slow tokens keep streams open when a shutdown begins.
	s := startSystem(t, "association", 1, 5*tokenTime)
	config := s.Mix(load.MixOptions{
		CallerRate: 40, ServiceRate: 10, GroupsPerStep: 6, TrainTime: time.Second, StepsAhead: 1, Duration: 25 * time.Second,
	})
	var drains []checker.Drain
	records := s.loadBeside(t, config, func(ctx context.Context) error {
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
			ready, cancel := context.WithTimeout(ctx, waitLimit)
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
	requireKept(t, facts, "P1", "P3", "P4", "P8")
}
