package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

// Guards against a request that waited in the queue and is sent although its key was removed
// or may have been, and against one that keeps its slot then.
func TestQueuedRequestIsNotSentAfterItsKeyWasRemoved(t *testing.T) {
	for _, lost := range []func(*testaccess.Source){
		func(s *testaccess.Source) { s.Age(time.Hour) },
		func(s *testaccess.Source) { s.Read(testaccess.Other()) },
	} {
		f, c := newFixture(t)
		source := testaccess.New(t, testaccess.Workspaces())
		c.AdmitBy(source.Gate())
		var running []<-chan error
		for i := range 4 {
			running = append(running, startRun(c, fmt.Sprint("a", i), "running", false))
		}
		eventually(t, "four requests running", func() bool { return f.runningCount("running") == 4 })
		key := workspace.HashKey("acme-1")
		waiting := make(chan error, 1)
		go func() {
			waiting <- c.RunLocal(context.Background(), &peerpb.RunRequest{
				RequestId: "b", Replica: "r0", Model: "album", Prompt: "waiting", Workspace: "acme", KeyHash: key[:],
			}, func(engine.Chunk) error { return nil })
		}()
		eventually(t, "one request queued", func() bool { return queued(c) == 1 })
		lost(source)
		close(f.release)
		refusal := requireRefusal(t, <-waiting)
		must.EqOp(t, cluster.ReasonNoPermission, refusal.Reason)
		must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
		for _, result := range running {
			must.NoError(t, <-result)
		}
		must.EqOp(t, 4, f.received)
		eventually(t, "no request holds a slot", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			load, _ := c.admit.Load("r0", time.Now())
			return load.Running == 0
		})
	}
}
