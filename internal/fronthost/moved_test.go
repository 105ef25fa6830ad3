package fronthost

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// serviceElsewhere returns the name of a service whose jobs lie in another partition
// than those of testService and whose name sorts before it.
func serviceElsewhere(h *hostHandle) string {
	partition := func(service string) int {
		config := &deployment.Config{Services: map[string]deployment.Service{service: {Name: service, Models: []string{testModel}}}}
		config.Index()
		h.mu.Lock()
		defer h.mu.Unlock()
		current := h.state.Config
		h.state.Config = config
		defer func() { h.state.Config = current }()
		return h.partitionOf(testModel)
	}
	for i := 0; ; i++ {
		if name := fmt.Sprintf("a-%d", i); partition(name) != partition(testService) {
			return name
		}
	}
}

// Guards against 404 for an accepted job in a partition that the current configuration
// does not select for its model, by a host that started after the change.
func TestJobIsReadableAfterItsModelMoved(t *testing.T) {
	for _, change := range []string{"moved", "dropped", "declared by a service that sorts before"} {
		t.Run(change, func(t *testing.T) {
			c := newTestCluster(t, 2)
			a := c.startHost("a")
			job, payloads := newJob("job-1", 4, 1)
			must.Nil(t, a.Submit(context.Background(), job, payloads))
			results, outputs := c.collect(a, "job-1", 4)
			elsewhere := serviceElsewhere(a)
			a.kill()
			switch change {
			case "moved":
				c.configureModels(2, testService, map[string][]string{elsewhere: {testModel}, testService: nil})
			case "dropped":
				c.configureModels(2, testService, map[string][]string{testService: nil})
			default:
				c.configureModels(2, testService, map[string][]string{elsewhere: {testModel}, testService: {testModel}})
			}
			b := c.startHost("b")
			c.waitUntil("the job is read", func() bool {
				page, refusal := b.Results(context.Background(), "job-1", 0, 0)
				must.True(t, page != nil || refusal != nil, must.Sprint("the host denies that the job exists"))
				return page != nil
			})
			same, sameOutputs := c.collect(b, "job-1", 4)
			must.Eq(t, results, same)
			must.Eq(t, outputs, sameOutputs)
			page, refusal := b.Results(context.Background(), "no-such-job", 0, 0)
			must.Nil(t, page)
			must.Nil(t, refusal)
		})
	}
}

// Guards against an open job that no host runs, because its partition is not that of
// any model of the current configuration when the hosts start.
func TestOpenJobRunsAfterItsModelMoved(t *testing.T) {
	c := newTestCluster(t, 2)
	c.events = 200
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	elsewhere := serviceElsewhere(a)
	former := modelPartition(a)
	a.kill()
	c.configureModels(2, testService, map[string][]string{elsewhere: {testModel}, testService: nil})
	hosts := []*hostHandle{c.startHost("b"), c.startHost("c")}
	var reader *hostHandle
	c.waitUntil("a host owns the former partition", func() bool {
		reader = nil
		owned := false
		for _, h := range hosts {
			if _, owns := h.group.Owned()[former]; owns {
				owned = true
			} else {
				reader = h
			}
		}
		return owned && reader != nil
	})
	results, outputs := c.collect(reader, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}

// Guards against a job that is accepted into two partitions: results of both would be
// listed under the same positions.
func TestRepeatedSubmissionAfterItsModelMovedIsOneJob(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	elsewhere := serviceElsewhere(a)
	former := modelPartition(a)
	a.kill()
	c.configureModels(2, testService, map[string][]string{elsewhere: {testModel}, testService: nil})
	b := c.startHost("b")
	repeated, samePayloads := newJob("job-1", 4, 1)
	c.waitUntil("the submission is accepted", func() bool {
		refusal := b.Submit(context.Background(), repeated, samePayloads)
		return refusal == nil
	})
	fresh := c.startHost("c")
	for _, h := range []*hostHandle{b, fresh} {
		var e *jobs.Entry
		c.waitUntil("the job is read", func() bool {
			page, _ := h.Results(context.Background(), "job-1", 0, 0)
			e = h.jobEntry("job-1")
			return page != nil && e != nil
		})
		must.EqOp(t, former, e.Partition)
	}
	listing, err := c.store.ListNewest(context.Background(), workPartition(modelPartition(b)), "")
	must.NoError(t, err)
	for _, r := range listing.Records {
		must.False(t, jobs.IsJobKey(r.Key), must.Sprintf("record %s in the second partition", r.Key))
	}
}

// Guards against a result that cannot be read, because it reuses the output of a job in
// another partition, where its model's jobs were before.
func TestItemsOfAJobInTheFormerPartitionRunAgain(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	first, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), first, payloads))
	c.collect(a, "job-1", 4)
	elsewhere, former := serviceElsewhere(a), modelPartition(a)
	c.configureModels(2, testService, map[string][]string{elsewhere: {testModel}, testService: nil})
	c.waitUntil("the model has moved", func() bool { return modelPartition(a) != former && a.CaughtUp() })
	later, _ := newJob("job-2", 4, 1)
	later.Items = first.Items
	must.Nil(t, a.Submit(context.Background(), later, payloads))
	results, outputs := c.collect(a, "job-2", 4)
	stored, storedOutputs := c.collect(c.startHost("b"), "job-2", 4)
	must.Eq(t, results, stored)
	must.Eq(t, outputs, storedOutputs)
}
