package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
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
