package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/standin/scorerd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

// Fault is a condition under which the system is measured. The fault "none" is the
// comparison without any fault.
type Fault struct {
	Name string
	// lengths is the distribution of the engines' answer lengths; the zero value
	// has no stragglers.
	lengths engined.Lengths
	// inject runs concurrently with the load until ctx is done; may be nil.
	inject func(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand)
}

const (
	crashInterval    = 4 * time.Second
	crashDowntime    = time.Second
	meanTokens       = 48
	logOutageShare   = 0.6 // share of the run, in its middle
	platformCutShare = 0.5 // share of the run, in its middle
	limitShare       = 0.6 // share of the run, in its middle
	// limitedServers is the share of the backend servers that name a limit, of 1 to
	// maxLimit requests per second.
	limitedServers = 0.5
	maxLimit       = 6
)

// Faults returns all faults that a run can select.
func Faults() []Fault {
	plain := engined.Lengths{Mean: meanTokens}
	return []Fault{
		{Name: "none", lengths: plain},
		{Name: "stragglers", lengths: engined.Lengths{Mean: meanTokens, StragglerShare: 1.0 / 16, StragglerFactor: 10}},
		{Name: "engine-crashes", lengths: plain, inject: crashEngines},
		{Name: "log-outage", lengths: plain, inject: stopLog},
		{Name: "platform-cut", lengths: plain, inject: cutPlatform},
		{Name: "host-killed", lengths: plain, inject: killHost},
		{Name: "rate-limits", lengths: plain, inject: nameLimits},
	}
}

// crashEngines crashes a random engine every crashInterval.
func crashEngines(ctx context.Context, bed *testbed.Testbed, _ time.Duration, random *rand.Rand) {
	for sleep(ctx, crashInterval) {
		bed.Engines[random.IntN(len(bed.Engines))].Crash(crashDowntime)
	}
}

// stopLog makes the log unavailable in the middle of the run.
func stopLog(ctx context.Context, bed *testbed.Testbed, duration time.Duration, _ *rand.Rand) {
	if !sleep(ctx, time.Duration(float64(duration)*(1-logOutageShare)/2)) {
		return
	}
	bed.Log.SetFaults(logd.Faults{Outage: logd.OutageClosed})
	sleep(ctx, time.Duration(float64(duration)*logOutageShare))
	bed.Log.SetFaults(logd.Faults{})
}

// cutPlatform disconnects one data centre from the log, the host list and the
// weight store in the middle of the run.
func cutPlatform(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand) {
	dc := bed.DataCentres[random.IntN(len(bed.DataCentres))]
	if !sleep(ctx, time.Duration(float64(duration)*(1-platformCutShare)/2)) {
		return
	}
	bed.CutPlatform(dc, true)
	sleep(ctx, time.Duration(float64(duration)*platformCutShare))
	bed.CutPlatform(dc, false)
}

// nameLimits makes half of the backend servers name a rate limit in the middle of the
// run.
func nameLimits(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand) {
	if !sleep(ctx, time.Duration(float64(duration)*(1-limitShare)/2)) {
		return
	}
	var end []func()
	limit := func(set func(perSecond float64)) {
		if random.Float64() < limitedServers {
			set(float64(1 + random.IntN(maxLimit)))
			end = append(end, func() { set(0) })
		}
	}
	for _, e := range bed.Engines {
		lengths := &engined.Lengths{Mean: meanTokens}
		limit(func(perSecond float64) { e.SetFaults(engined.Faults{RequestsPerSecond: perSecond, Lengths: lengths}) })
	}
	for _, servers := range bed.Services {
		for _, s := range servers {
			limit(func(perSecond float64) { s.SetFaults(serviced.Faults{RequestsPerSecond: perSecond}) })
		}
	}
	for _, s := range bed.Scorers {
		limit(func(perSecond float64) { s.SetFaults(scorerd.Faults{RequestsPerSecond: perSecond}) })
	}
	sleep(ctx, time.Duration(float64(duration)*limitShare))
	for _, f := range end {
		f()
	}
}

// killHost kills one entry host after a third of the run and restarts it after
// two thirds.
func killHost(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand) {
	host := bed.Entries[random.IntN(len(bed.Entries))]
	if !sleep(ctx, duration/3) {
		return
	}
	host.Process.Kill()
	if sleep(ctx, duration/3) {
		if err := bed.Restart(host); err != nil {
			klog.ErrorS(err, "failed to restart entry host", "host", host.Settings.Host.ID)
		}
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
