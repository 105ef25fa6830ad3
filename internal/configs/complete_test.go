package configs

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/testlog"
)

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 20 s waiting for: %s", what)
}

// Guards against a host that takes its configuration for newer than it is: one that has it
// from a peer, or whose log is silent.
func TestOnlyReadsOfTheLogMakeTheConfigurationComplete(t *testing.T) {
	log := testlog.New()
	a := start(t, "a", log, nil)
	published, err := Publish(testContext(t), log, files(3))
	must.NoError(t, err)
	acknowledged := boottime.Now()
	eventually(t, "a complete read after the publication", func() bool { return a.CompleteAsOf().After(acknowledged) })
	_, version := a.Current()
	must.EqOp(t, published.Version, version)

	log.SetUnavailable(true)
	silent := boottime.Now()
	b := start(t, "b", log, map[string]*Controller{"a": a})
	_, err = b.WaitForVersion(testContext(t), 0)
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	must.True(t, b.CompleteAsOf().IsZero())
	must.True(t, a.CompleteAsOf().Before(silent))
	log.SetUnavailable(false)
	eventually(t, "complete reads", func() bool { return a.CompleteAsOf().After(silent) && b.CompleteAsOf().After(silent) })
}

// stuckLog does not answer long polls.
type stuckLog struct{ platform.Log }

func (l stuckLog) Read(ctx context.Context, stream string, offset int64, wait time.Duration) (platform.Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, offset, wait)
}

// Guards against a host whose configuration counts as old because one read of the log hangs,
// and against one that counts as new although a record was not applied.
func TestConfigurationIsConfirmedWhileAReadHangs(t *testing.T) {
	log := testlog.New()
	recorder, err := telemetry.NewRecorder("a", 100)
	must.NoError(t, err)
	c := New(Config{ConfirmInterval: 10 * time.Millisecond}, stuckLog{log}, hosts{self: "a"}, hosts{}, recorder)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	eventually(t, "the host is ready", c.Ready)
	start := boottime.Now()
	eventually(t, "a confirmation", func() bool { return c.CompleteAsOf().After(start) })
	_, err = Publish(testContext(t), log, files(3))
	must.NoError(t, err)
	acknowledged := boottime.Now()
	time.Sleep(100 * time.Millisecond)
	_, version := c.Current()
	must.True(t, version > 0 || c.CompleteAsOf().Before(acknowledged))
}
