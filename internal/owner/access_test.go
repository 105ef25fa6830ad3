package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/declare"
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

// Guards against a workspace's priority that does not go before the class, and against a
// workspace that is served while another one waits that got less than half as often.
func TestPrecedenceOfWorkspaces(t *testing.T) {
	_, c := newFixture(t)
	declared := func(name string) string {
		return "[workspace " + name + "]\nkey_hashes = " + workspace.HashKey(name).String() + "\n"
	}
	source := testaccess.New(t, testaccess.Workspaces()+declared("urgent")+"priority = 0\n"+declared("late")+"priority = 3\n")
	c.AdmitBy(source.Gate())
	now := time.Now()
	place := func(workspace string, class declare.Class) string {
		c.mu.Lock()
		defer c.mu.Unlock()
		got, priority := c.precedence(&peerpb.RunRequest{Workspace: workspace, Class: int32(class)}, now)
		return fmt.Sprint(int(got), " ", priority)
	}
	for _, want := range []struct {
		workspace string
		class     declare.Class
		place     string
	}{
		{"", declare.ClassInteractive, "0 0"}, {"", declare.ClassBatch, "1 0"}, {"", declare.ClassTraining, "2 0"},
		{"acme", declare.ClassInteractive, "0 0"}, {"acme", declare.ClassBatch, "1 0"}, {"acme", declare.ClassTraining, "2 0"},
		{"urgent", declare.ClassBatch, "0 0"}, {"late", declare.ClassInteractive, "1 2"}, {"late", declare.ClassTraining, "2 0"},
	} {
		must.EqOp(t, want.place, place(want.workspace, want.class), must.Sprint(want))
	}
	for range 8 {
		c.recordTurn(&peerpb.RunRequest{Workspace: "acme"}, true)
		c.recordTurn(&peerpb.RunRequest{Workspace: "other"}, false)
		c.recordTurn(&peerpb.RunRequest{Workspace: "trained", Class: int32(declare.ClassTraining)}, false)
	}
	must.EqOp(t, "1 0", place("acme", declare.ClassInteractive))
	must.EqOp(t, "1 1", place("acme", declare.ClassBatch))
	must.EqOp(t, "0 0", place("other", declare.ClassInteractive))
	source.Read(declared("acme"))
	c.tick(now)
	must.EqOp(t, "0 0", place("acme", declare.ClassInteractive), must.Sprint("a workspace that is gone is waited for"))
}
