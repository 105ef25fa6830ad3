package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

// Fault is one condition under which a system is measured.
type Fault struct {
	Name string
	// lengths of answers; the zero value means no stragglers
	lengths engined.Lengths
	// inject runs beside the load until ctx ends; nil injects nothing.
	inject func(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand)
}

const (
	crashEvery  = 4 * time.Second
	crashDown   = time.Second
	meanTokens  = 48
	logOutShare = 0.6 // of the run, in its middle
	cutShare    = 0.5
)

// Faults lists the conditions by name.
func Faults() []Fault {
	plain := engined.Lengths{Mean: meanTokens}
	return []Fault{
		{Name: "none", lengths: plain},
		{Name: "stragglers", lengths: engined.Lengths{Mean: meanTokens, StragglerShare: 1.0 / 16, StragglerFactor: 10}},
		{Name: "engine-crashes", lengths: plain, inject: crashEngines},
		{Name: "log-outage", lengths: plain, inject: cutLog},
		{Name: "platform-cut", lengths: plain, inject: cutPlatform},
		{Name: "host-killed", lengths: plain, inject: killHost},
	}
}

// crashEngines crashes a random engine every few seconds.
func crashEngines(ctx context.Context, bed *testbed.Testbed, _ time.Duration, random *rand.Rand) {
	for sleep(ctx, crashEvery) {
		bed.Engines[random.IntN(len(bed.Engines))].Crash(crashDown)
	}
}

// cutLog takes the log out of service in the middle of the run.
func cutLog(ctx context.Context, bed *testbed.Testbed, duration time.Duration, _ *rand.Rand) {
	if !sleep(ctx, time.Duration(float64(duration)*(1-logOutShare)/2)) {
		return
	}
	bed.Log.SetFaults(logd.Faults{Outage: logd.OutageClosed})
	sleep(ctx, time.Duration(float64(duration)*logOutShare))
	bed.Log.SetFaults(logd.Faults{})
}

// cutPlatform cuts one data centre off from the log, the host list and the
// weight store in the middle of the run.
func cutPlatform(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand) {
	dc := bed.DataCentres[random.IntN(len(bed.DataCentres))]
	if !sleep(ctx, time.Duration(float64(duration)*(1-cutShare)/2)) {
		return
	}
	bed.CutPlatform(dc, true)
	sleep(ctx, time.Duration(float64(duration)*cutShare))
	bed.CutPlatform(dc, false)
}

// killHost kills one entry host a third into the run and starts it again later.
func killHost(ctx context.Context, bed *testbed.Testbed, duration time.Duration, random *rand.Rand) {
	host := bed.Entries[random.IntN(len(bed.Entries))]
	if !sleep(ctx, duration/3) {
		return
	}
	host.Process.Kill()
	if sleep(ctx, duration/3) {
		if err := bed.Restart(host); err != nil {
			klog.ErrorS(err, "restart an entry host", "host", host.Settings.Host.ID)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
