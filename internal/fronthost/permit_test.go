package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Guards against an owner that the store does not reach and that goes on to start the items
// of a job whose end another host has acknowledged.
func TestOwnerWithoutStoreStartsNoItemsOfAnEndedJob(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.events = 100 // some 0.2 s a run
	hosts := []*hostHandle{c.startHost("a"), c.startHost("b")}
	job, payloads := newJob("job-1", 800, 1)
	must.Nil(t, hosts[0].Submit(context.Background(), job, payloads))
	owner, other := 0, 1
	c.waitUntil("items run", func() bool {
		for i, h := range hosts {
			if r := ownerOf(h); r != nil && !r.hasEnded() && r.writer != nil {
				owner, other = i, 1-i
				return len(c.startsOf(h.settings.Host.ID)) > 0
			}
		}
		return false
	})
	hosts[owner].view.setCut(true)
	time.Sleep(600 * time.Millisecond) // until its long poll has ended
	c.waitUntil("the end is acknowledged", func() bool {
		found, refusal := hosts[other].EndJob(context.Background(), "job-1")
		return found && refusal == nil
	})
	ended := time.Now()
	grace := hosts[owner].settings.Timing.JobEndGrace
	time.Sleep(grace + 4*time.Second)
	late := 0
	for _, s := range c.startsOf(hosts[owner].settings.Host.ID) {
		if s.at.After(ended.Add(grace)) {
			late++
		}
	}
	must.EqOp(t, 0, late, must.Sprintf("items started later than %s after the end", grace))
}

// startsOf returns the runs that a host sent.
func (c *testCluster) startsOf(host string) []runStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	var starts []runStart
	for _, s := range c.runStarts {
		if s.host == host {
			starts = append(starts, s)
		}
	}
	return starts
}

// Guards against a run whose request waits in its host after it was started, and is sent
// under a permission that has expired.
func TestRunsCarryTheExpiryOfTheirPermission(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	began := boottime.Now()
	job, payloads := newJob("job-1", 8, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 8)
	for _, s := range c.startsOf("a") {
		must.Between(t, 0, s.expires.Sub(began), a.settings.Timing.JobEndGrace+boottime.Now().Sub(began))
	}
}

// Guards against an owner that starts the items of a job whose end lies in the other of two
// partitions to which the job was submitted, and is not read there.
func TestOwnerStartsNoItemsOfAJobEndedInAnotherPartition(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.events = 100 // some 0.2 s a run
	a := c.startHost("a")
	job, payloads := newJob("job-1", 800, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	former := workPartition(modelPartition(a))
	second := workPartition(1 + former.Number%(a.settings.Platform.Store.Partitions-1))
	records, err := c.store.ListNewest(context.Background(), former, "")
	must.NoError(t, err)
	for _, r := range records.Records {
		if r.Key[0] == 'j' {
			_, err := c.store.Append(context.Background(), second, []logstore.Record{r}, nil)
			must.NoError(t, err)
		}
	}
	c.waitUntil("the owner follows the second partition", func() bool {
		f := a.follower(second.Number)
		return f != nil && f.HasSynced()
	})
	b := c.newEntryHost("b")
	b.settings.Limits.CPUShare = 0.2 // it owns no partition
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == former {
			return 800 * time.Millisecond
		}
		return 0
	})
	b.start(t.Context())
	c.waitUntil("the host is ready", b.Ready)
	b.view.setSlow(nil)
	must.EqOp(t, second.Number, b.jobEntry("job-1").Partition)
	must.EqOp(t, former.Number, a.jobEntry("job-1").Partition)
	a.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == second {
			return time.Minute
		}
		return 0
	})
	time.Sleep(600 * time.Millisecond) // until its long poll has ended
	c.waitUntil("the end is acknowledged", func() bool {
		found, refusal := b.EndJob(context.Background(), "job-1")
		return found && refusal == nil
	})
	ended := time.Now()
	grace := a.settings.Timing.JobEndGrace
	time.Sleep(grace + 4*time.Second)
	late := 0
	for _, s := range c.startsOf("a") {
		if s.at.After(ended.Add(grace)) {
			late++
		}
	}
	must.EqOp(t, 0, late, must.Sprintf("items started later than %s after the end", grace))
}
