package fronthost

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// ownerOf returns the runner of the only partition that a host's jobs lie in.
func ownerOf(h *hostHandle) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runners[h.partitionOf(testModel)]
}

// delayAppends delays the appends to a partition, and returns when one is under way.
func (c *testCluster) delayAppends(partition logstore.Partition) {
	c.t.Helper()
	var delayed atomic.Int32
	c.store.SetFault(func(call memlog.Call, p logstore.Partition) memlog.Fault {
		if call == memlog.CallAppend && p == partition {
			delayed.Add(1)
			return memlog.Delay
		}
		return memlog.None
	})
	c.waitUntil("an append is under way", func() bool { return delayed.Load() > 0 })
}

// reacquire makes a host release a partition and acquire it again under the same epoch.
func (c *testCluster) reacquire(h *hostHandle, former *runner) {
	c.t.Helper()
	h.group.ReleaseFenced(former.partition, former.epoch)
	c.waitUntil("the partition is acquired again", func() bool { r := ownerOf(h); return r != nil && r != former })
	must.EqOp(c.t, former.epoch, ownerOf(h).epoch)
}

// Guards against results that callers have read and that are not in the log, after a
// partition was acquired again under the same epoch.
func TestLateAppendDoesNotReplaceResultsOfTheSameEpoch(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	var runsBreak atomic.Bool
	c.breaks = func(string, int) bool { return runsBreak.Load() }
	c.waitUntil("the partition has an owner", func() bool { return ownerOf(a) != nil })
	former := ownerOf(a)
	job, payloads := newJob("job-1", 12, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.delayAppends(workPartition(former.partition))
	runsBreak.Store(true)
	c.reacquire(a, former)
	var opened atomic.Bool
	c.store.SetFault(func(call memlog.Call, p logstore.Partition) memlog.Fault {
		if call == memlog.CallAppend && p == workPartition(former.partition) {
			opened.Store(true)
		}
		return memlog.None
	})
	c.waitUntil("the new runner registers its epoch", opened.Load)
	c.store.ReleaseDelayed()
	runsBreak.Store(false)
	results, outputs := c.collect(a, "job-1", 12)
	checkResults(t, c, job, results, outputs)
	stored, storedOutputs := c.collect(c.startHost("b"), "job-1", 12)
	must.Eq(t, results, stored)
	must.Eq(t, outputs, storedOutputs)
}

// Guards against an accepted job that cannot be read: the output of a former runner of
// the same epoch replaced a committed one, and the log was compacted.
func TestLateOutputDoesNotReplaceACommittedOneOfTheSameEpoch(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	c.waitUntil("the partition has an owner", func() bool { return ownerOf(a) != nil })
	former := ownerOf(a)
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.delayAppends(blobPartition(former.partition))
	c.mu.Lock()
	c.events += 4
	c.mu.Unlock()
	c.reacquire(a, former)
	<-former.appenderDone
	c.store.SetFault(nil)
	results, outputs := c.collect(a, "job-1", 4)
	c.store.ReleaseDelayed()
	c.store.Delete(blobPartition(former.partition))
	stored, storedOutputs := c.collect(c.startHost("b"), "job-1", 4)
	must.Eq(t, results, stored)
	must.Eq(t, outputs, storedOutputs)
}

// Guards against a partition without a runner: the runner ended because it was fenced,
// and a renewal listed the partition again before the runners were reconciled.
func TestEndedRunnerOfAnAssignedPartitionIsReplaced(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	c.waitUntil("the partition has an owner", func() bool { return ownerOf(a) != nil })
	former := ownerOf(a)
	former.cancel()
	<-former.appenderDone
	must.EqOp(t, former.epoch, a.group.Assigned()[former.partition])
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, outputs := c.collect(a, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}

// Guards against a host that retains the payloads and outputs of partitions that it
// released until it acquires them again.
func TestReleasedPartitionsAreNotRetained(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	c.waitUntil("the partition has an owner", func() bool { return ownerOf(a) != nil })
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	var freed atomic.Int32
	watch := func() int32 {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, r := range a.runners {
			runtime.AddCleanup(r, func(n *atomic.Int32) { n.Add(1) }, &freed)
			runtime.AddCleanup(r.runState, func(n *atomic.Int32) { n.Add(1) }, &freed)
		}
		return 2 * int32(len(a.runners))
	}
	watched := watch()
	must.Positive(t, watched)
	a.group.SetPaused(context.Background(), true)
	c.waitUntil("all runners are freed", func() bool {
		runtime.GC()
		return freed.Load() == watched
	})
}

// slowDown makes the ticks of a host wait for its lock until the returned function is
// called.
func (c *testCluster) slowDown(h *hostHandle) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			h.mu.Lock()
			time.Sleep(100 * time.Millisecond)
			h.mu.Unlock()
		}
	}()
	c.t.Cleanup(cancel)
	return func() { cancel(); <-done }
}

// Guards against jobs that wait for a slow owner while other hosts are idle.
func TestHostThatDoesNotKeepUpHandsItsPartitionsOver(t *testing.T) {
	c := newTestCluster(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hosts := []*hostHandle{c.newEntryHost("a"), c.newEntryHost("b")}
	for _, h := range hosts {
		h.keepUp.MinTenure = 0
		h.start(ctx)
	}
	both := func() bool { return len(hosts[0].group.Owned()) == 2 && len(hosts[1].group.Owned()) == 2 }
	c.waitUntil("both hosts own partitions", both)
	c.waitUntil("the jobs have an owner", func() bool { return (ownerOf(hosts[0]) == nil) != (ownerOf(hosts[1]) == nil) })
	slow, other := hosts[0], hosts[1]
	if ownerOf(slow) == nil {
		slow, other = other, slow
	}
	end := c.slowDown(slow)
	c.waitUntil("the other host owns all partitions", func() bool { return len(other.group.Owned()) == 4 })
	end()
	job, payloads := newJob("job-1", 6, 1)
	must.Nil(t, slow.Submit(ctx, job, payloads))
	results, outputs := c.collect(slow, "job-1", 6)
	checkResults(t, c, job, results, outputs)
}

// Guards against partitions without an owner when the only host does not keep up.
func TestOnlyHostKeepsItsPartitions(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	c.waitUntil("the host owns all partitions", func() bool { return len(a.group.Owned()) == 4 })
	must.False(t, a.otherLargeOwner(t.Context()))
	a.signalBehind()
	time.Sleep(100 * time.Millisecond)
	must.MapLen(t, 4, a.group.Owned())
}

// Guards against outputs of runs that are lost when a partition is handed over.
func TestOutputsOutlastAHandover(t *testing.T) {
	c := newTestCluster(t, 3)
	c.events = 1000
	a := c.startHost("a")
	c.waitUntil("the jobs have an owner", func() bool { return ownerOf(a) != nil })
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.waitUntil("the items run", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		r := a.runners[a.partitionOf(testModel)]
		return r != nil && len(r.cancels) == 4
	})
	time.Sleep(500 * time.Millisecond)
	b := c.startHost("b")
	a.handOver(t.Context())
	for _, item := range job.Items {
		c.waitUntil("the output is stored", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			_, stored := b.jobs.Partial(item.ID)
			return stored || len(b.jobs.Get(job.ID).Results) > 0
		})
	}
	c.waitUntil("the other host owns all partitions", func() bool { return len(b.group.Owned()) == 4 })
	results, outputs := c.collect(b, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}
