package fronthost

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

func checkResults(t *testing.T, c *testCluster, job *jobs.Job, results []jobs.Result, outputs []string) {
	t.Helper()
	must.EqOp(t, len(job.Items), len(results))
	seen := make(map[string]bool)
	for i, r := range results {
		must.False(t, seen[r.Item], must.Sprintf("item %s is committed twice", r.Item))
		seen[r.Item] = true
		must.False(t, r.Failed)
		must.EqOp(t, c.fullOutput(r.Item), outputs[i])
	}
}

// Guards against a job that one host accepts and another host does not know, and
// against results that differ between hosts.
func TestJobResultsAgreeAcrossHosts(t *testing.T) {
	c := newTestCluster(t, 3)
	a, b := c.startHost("a"), c.startHost("b")
	job, payloads := newJob("job-1", 12, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	must.Nil(t, b.Submit(context.Background(), job, payloads)) // a repeated submission
	results, outputs := c.collect(a, "job-1", 12)
	checkResults(t, c, job, results, outputs)
	same, sameOutputs := c.collect(b, "job-1", 12)
	must.Eq(t, results, same)
	must.Eq(t, outputs, sameOutputs)
	body, found, refusal := b.ItemBody(context.Background(), "job-1", "job-1-3")
	must.Nil(t, refusal)
	must.True(t, found)
	must.EqOp(t, "body of job-1-3", string(body))
	page, refusal := b.Results(context.Background(), "no-such-job", 0, 0)
	must.Nil(t, refusal)
	must.Nil(t, page)
}

// Guards against jobs, positions or outputs that change when the host that runs
// them fails, and against their loss when all hosts fail at once.
func TestJobSurvivesHostFailures(t *testing.T) {
	c := newTestCluster(t, 3)
	c.events = 60
	hosts := []*hostHandle{c.startHost("a"), c.startHost("b"), c.startHost("c")}
	job, payloads := newJob("job-1", 10, 1)
	must.Nil(t, hosts[0].Submit(context.Background(), job, payloads))
	var results []jobs.Result
	for i, h := range hosts[:2] {
		c.waitUntil("some results", func() bool {
			page, _ := hosts[2].Results(context.Background(), "job-1", 0, 10*time.Millisecond)
			if page != nil && len(page.Results) > len(results) {
				results = page.Results
			}
			return len(results) > i
		})
		h.kill()
	}
	hosts[2].kill()
	fresh := c.startHost("d")
	all, outputs := c.collect(fresh, "job-1", 10)
	checkResults(t, c, job, all, outputs)
	must.Eq(t, results, all[:len(results)])
}

// Guards against a refusal with the outcome "not run" for a job whose append may
// still arrive, and against such a job running twice.
func TestUnansweredSubmissionHasUnknownOutcome(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	c.store.SetFault(func(call memlog.Call, p logstore.Partition) memlog.Fault {
		if call == memlog.CallAppend && p.Topic == topicWork {
			return memlog.Delay
		}
		return memlog.None
	})
	refusal := a.Submit(context.Background(), job, payloads)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
	c.store.SetFault(nil)
	c.store.ReleaseDelayed()
	results, outputs := c.collect(a, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}

// Guards against a job that was refused and is run nevertheless.
func TestRefusedSubmissionNeverRuns(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	c.store.SetFault(func(call memlog.Call, p logstore.Partition) memlog.Fault {
		if call == memlog.CallAppend && p.Topic == topicWork {
			return memlog.Refuse
		}
		return memlog.None
	})
	refusal := a.Submit(context.Background(), job, payloads)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	c.store.SetFault(nil)
	page, refusal := a.Results(context.Background(), "job-1", 0, 200*time.Millisecond)
	must.Nil(t, refusal)
	must.Nil(t, page)
}

// Guards against "no such job" from a host that cannot read the store and so cannot
// know whether the job exists.
func TestHostWithoutStoreDoesNotDenyJob(t *testing.T) {
	c := newTestCluster(t, 2)
	a, b := c.startHost("a"), c.startHost("b")
	b.view.setCut(true)
	time.Sleep(600 * time.Millisecond) // longer than a read that was in flight
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	page, refusal := b.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, page)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
}

// Guards against items that are abandoned although they have attempts left, and
// against items that are retried forever.
func TestItemFailsOnlyAfterAllAttempts(t *testing.T) {
	c := newTestCluster(t, 2)
	for _, r := range c.replicas {
		r.failRuns["job-1-0"] = 1 // one failure at each of the two replicas
		r.failRuns["job-1-1"] = 100
	}
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, _ := c.collect(a, "job-1", 4)
	for _, r := range results {
		must.EqOp(t, r.Item == "job-1-1", r.Failed, must.Sprint(r.Item))
	}
}

// Guards against outputs with gaps or repeats, and against lost items, when replicas
// break off runs at random and one replica is unregistered.
func TestOutputsAreCompleteWhenReplicasFail(t *testing.T) {
	c := newTestCluster(t, 4)
	c.events = 20
	n := 0
	c.breaks = func(string, int) bool {
		n++
		return n%37 == 0
	}
	a := c.startHost("a")
	job, payloads := newJob("job-1", 24, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	c.replicas["replica-1"].unavailable = true
	c.mu.Unlock()
	c.unregister("replica-1")
	results, outputs := c.collect(a, "job-1", 24)
	checkResults(t, c, job, results, outputs)
}

// Guards against results of weight versions older than their job allows while
// versions change, and against results that report other versions than those that
// generated the output.
func TestResultsUseAllowedVersions(t *testing.T) {
	c := newTestCluster(t, 4)
	a := c.startHost("a")
	for version := int64(2); version <= 5; version++ {
		c.announceVersion(version)
		id := fmt.Sprintf("job-%d", version)
		job, payloads := newJob(id, 8, version-1)
		job.Step = version
		must.Nil(t, a.Submit(context.Background(), job, payloads))
		results, outputs := c.collect(a, id, 8)
		checkResults(t, c, job, results, outputs)
		for _, r := range results {
			must.True(t, jobs.VersionsAllowed(r.Versions, version-1, false), must.Sprint(r.Versions))
		}
	}
}

// Guards against two order owners that send orders to one replica alternately. The
// order owner is repeatedly cut off from the store, replaced and reconnected.
func TestOrderOwnersStayALeaseApart(t *testing.T) {
	c := newTestCluster(t, 4)
	a, b := c.startHost("a"), c.startHost("b")
	for version := int64(2); version <= 9; version++ {
		c.announceVersion(version)
		time.Sleep(150 * time.Millisecond)
		for _, h := range []*hostHandle{a, b} {
			if _, owned := h.group.Assigned()[controlPartition]; owned {
				h.view.setCut(version%2 == 0)
			} else {
				h.view.setCut(false)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := make(map[string]bool)
	for _, r := range c.replicas {
		for i, o := range r.received {
			owners[o.orderOwner] = true
			if i == 0 || o.orderOwner == r.received[i-1].orderOwner {
				continue
			}
			must.GreaterEq(t, a.settings.Timing.OrderLease, o.at.Sub(r.received[i-1].at))
			must.Greater(t, r.received[i-1].fence, o.fence)
		}
	}
	must.Greater(t, 1, len(owners), must.Sprint("the test needs at least two order owners"))
}

// refusalBound is a quarter of the objective of a job's submission (slo_ms of the
// platform's job routes). A later refusal delays the caller's retry.
const refusalBound = 100 * time.Millisecond

// Guards against callers that wait until a store call times out at a host that is
// cut off from the store, instead of being refused immediately so that they can use
// another host. Also guards against a host that still refuses calls after it reaches
// the store again.
func TestHostWithoutStoreRefusesImmediately(t *testing.T) {
	c := newTestCluster(t, 2)
	c.breaks = func(id string, _ int) bool { return id == "job-1-4" } // more results may follow
	a, b := c.startHost("a"), c.startHost("b")
	known, payloads := newJob("job-1", 5, 1)
	must.Nil(t, a.Submit(context.Background(), known, payloads))
	c.collect(b, "job-1", 4)
	b.view.setCut(true)
	f := b.follower(modelPartition(b))
	c.waitUntil("the host notices that the store does not answer", f.StoreUnavailable)
	refusedImmediately := func(call func() *Refusal) {
		began := time.Now()
		refusal := call()
		must.NotNil(t, refusal)
		must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
		must.Less(t, refusalBound, time.Since(began))
	}
	more, morePayloads := newJob("job-2", 4, 1)
	refusedImmediately(func() *Refusal { return b.Submit(context.Background(), more, morePayloads) })
	refusedImmediately(func() *Refusal { _, refusal := b.Results(context.Background(), "job-1", 4, 0); return refusal })
	refusedImmediately(func() *Refusal { _, refusal := b.Results(context.Background(), "job-2", 0, 0); return refusal })
	refusedImmediately(func() *Refusal { _, refusal := b.EndJob(context.Background(), "job-1"); return refusal })
	must.Nil(t, a.Submit(context.Background(), more, morePayloads))

	b.view.setCut(false)
	restored := time.Now()
	c.waitUntil("the host accepts jobs again", func() bool {
		third, thirdPayloads := newJob("job-3", 4, 1)
		return b.Submit(context.Background(), third, thirdPayloads) == nil
	})
	must.Less(t, settleBound, time.Since(restored))
}

// settleBound is the time within which all hosts must serve what one of them
// accepted (settle_ms of the platform).
const settleBound = time.Second

func modelPartition(h *hostHandle) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitionOf(testModel)
}

// Guards against the loss of a job's end, and against items that continue to run
// after it.
func TestEndedJobStopsRunning(t *testing.T) {
	c := newTestCluster(t, 2)
	c.events = 2000
	a, b := c.startHost("a"), c.startHost("b")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	running := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		n := 0
		for _, count := range c.running {
			n += count
		}
		return n
	}
	c.waitUntil("items run", func() bool { return running() > 0 })
	var done sync.WaitGroup
	for _, h := range []*hostHandle{a, b} {
		done.Go(func() {
			found, refusal := h.EndJob(context.Background(), "job-1")
			must.True(t, found)
			must.Nil(t, refusal)
		})
	}
	done.Wait()
	c.waitUntil("no item runs", func() bool { return running() == 0 })
}

// Guards against runs that restart because the store reassigned a partition to the
// same host under another epoch, as it does after an outage.
func TestRunsContinueWhenPartitionIsReassigned(t *testing.T) {
	c := newTestCluster(t, 3)
	c.events = 300
	a := c.startHost("a")
	job, payloads := newJob("job-1", 8, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	started := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		n := 0
		for _, r := range c.replicas {
			n += r.runs
		}
		return n
	}
	c.waitUntil("all items run", func() bool { return started() == 8 })
	for range 3 {
		c.store.Reassign(partitionGroup)
		time.Sleep(150 * time.Millisecond)
	}
	results, outputs := c.collect(a, "job-1", 8)
	checkResults(t, c, job, results, outputs)
	must.EqOp(t, 8, started())
}

// Guards against "no such job" from a host that has just started and has not yet
// read the partition of the job's model.
func TestNewHostDoesNotDenyJobBeforeCatchingUp(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	fresh := c.newEntryHost("b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fresh.start(ctx)
	c.waitUntil("the job is known", func() bool {
		page, refusal := fresh.Results(context.Background(), "job-1", 0, 0)
		must.True(t, page != nil || refusal != nil, must.Sprint("the new host denies that the job exists"))
		return page != nil
	})
}

// Guards, in a fleet of large and small hosts, against a small host that owns
// partitions while a large host is available, and against partitions without an
// owner when there is no large host.
func TestSmallHostsOwnPartitionsOnlyWithoutLargeHosts(t *testing.T) {
	c := newTestCluster(t, 3)
	small, large := c.newEntryHost("small"), c.newEntryHost("large")
	small.settings.Limits.CPUShare = 0.2
	small.member = "small" + smallMarker
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	small.start(ctx)
	c.waitUntil("the small host owns all partitions", func() bool { return len(small.group.Owned()) == 4 })
	largeCtx, endLarge := context.WithCancel(ctx)
	large.start(largeCtx)
	c.waitUntil("the large host owns all partitions", func() bool { return len(large.group.Owned()) == 4 && len(small.group.Owned()) == 0 })
	job, payloads := newJob("job-1", 6, 1)
	must.Nil(t, small.Submit(ctx, job, payloads))
	results, outputs := c.collect(small, "job-1", 6)
	checkResults(t, c, job, results, outputs)
	endLarge()
	c.waitUntil("the small host owns all partitions again", func() bool { return len(small.group.Owned()) == 4 })
}

// Guards against a host that fails when a job names a model that no service declares:
// no host follows the partition of such a model, so nothing could run or read the job.
func TestJobOfAnUndeclaredModelIsRefused(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("a")
	for i := range 20 {
		job, payloads := newJob(fmt.Sprintf("job-%d", i), 2, 1)
		job.Model = fmt.Sprintf("undeclared-%d", i)
		refusal := h.Submit(context.Background(), job, payloads)
		page, _ := h.Results(context.Background(), job.ID, 0, 0)
		must.Nil(t, page)
		must.NotNil(t, refusal)
		must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	}
}

// Guards against a host that refuses plain requests and jobs until it has read all
// jobs of the store. When all hosts start at once, that takes longer than callers wait.
func TestStartingHostServesBeforeItHasReadAllJobs(t *testing.T) {
	c := newTestCluster(t, 2)
	c.register("app-a", testApp)
	c.calls = func(string) *backend.Response { return &backend.Response{Status: http.StatusOK} }
	var jobPartition atomic.Int32 // 0 until it is known
	c.store.SetFault(func(call memlog.Call, p logstore.Partition) memlog.Fault {
		n := int(jobPartition.Load())
		reads := call == memlog.CallNewest || call == memlog.CallRead && (n == 0 || n == p.Number)
		if reads && p.Topic == topicWork {
			return memlog.DropRequest
		}
		return memlog.None
	})
	h := c.newEntryHost("a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(ctx)
	c.waitUntil("the host can forward", h.CanForward)
	jobPartition.Store(int32(modelPartition(h)))
	must.False(t, h.Ready())
	response, refusal := h.Forward(ctx, Caller{}, &backend.Request{ID: "r1", Method: http.MethodGet, URI: "/pages/x", HostName: testHost, Header: http.Header{}}, h.Config().Match(testHost, "/pages/x"), time.Now().Add(time.Second))
	must.Nil(t, refusal)
	must.EqOp(t, http.StatusOK, response.Status)
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, h.Submit(ctx, job, payloads))
	page, refusal := h.Results(ctx, "unknown", 0, 0) // may be a job that is not read yet
	must.Nil(t, page)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	c.store.SetFault(nil)
	results, outputs := c.collect(h, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}

// Guards against "no such job" for a job whose records were skipped as invalid.
func TestJobWithInvalidRecordsIsNotDenied(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("a")
	c.put(workPartition(modelPartition(h)), "j/job-1/0", "not a chunk")
	page, refusal := h.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, page)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
}

// Guards against a job in several records that hosts cannot run or read, because its
// records do not say at which offset its payloads lie.
func TestJobInSeveralRecordsIsReadable(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	a.settings.Platform.Store.RecordBytes = 2048
	job, payloads := newJob("job-1", 40, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	a.kill()
	b := c.startHost("b")
	must.EqOp(t, jobs.UnknownOffset, b.jobEntry("job-1").Job.Payloads.Offset)
	body, found, refusal := b.ItemBody(context.Background(), "job-1", "job-1-39")
	must.Nil(t, refusal)
	must.True(t, found)
	must.EqOp(t, "body of job-1-39", string(body))
	results, outputs := c.collect(b, "job-1", 40)
	checkResults(t, c, job, results, outputs)
}

// Guards against results whose outputs are gone, because the job that generated them was
// removed while a job that reuses them is open.
func TestReusedOutputsOutliveTheirFirstJob(t *testing.T) {
	c := newTestCluster(t, 2)
	c.breaks = func(id string, _ int) bool { return id == "job-2-0" }
	a := c.startHost("a")
	a.settings.Timing.JobRetention = 100 * time.Millisecond
	first, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), first, payloads))
	stored := a.jobEntry("job-1")
	results, outputs := c.collect(a, "job-1", 4)
	second, more := newJob("job-2", 1, 1)
	second.Items, more = append(first.Items, second.Items...), append(payloads, more...)
	must.Nil(t, a.Submit(context.Background(), second, more))
	reused, _ := c.collect(a, "job-2", 4)
	must.EqOp(t, results[0].Output, reused[slices.IndexFunc(reused, func(r jobs.Result) bool { return r.Item == results[0].Item })].Output)
	payload := stored.Job.Payloads.ChunkKey(0)
	c.waitUntil("the blobs of the first job are removed", func() bool {
		listing, err := c.store.ListNewest(context.Background(), blobPartition(modelPartition(a)), "")
		must.NoError(t, err)
		return !slices.ContainsFunc(listing.Records, func(r logstore.Record) bool { return r.Key == payload })
	})
	c.store.Delete(blobPartition(modelPartition(a)))
	b := c.startHost("b")
	same, sameOutputs := c.collect(b, "job-2", 4)
	must.Eq(t, reused, same)
	must.SliceContainsAll(t, outputs, sameOutputs)
}

// Guards against a job that cannot be read while the store is too slow to return all
// outputs of a page in time.
func TestPageHoldsTheOutputsThatArriveInTime(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 24, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	outputs := blobPartition(modelPartition(a))
	var results []jobs.Result
	for i := 0; len(results) < 24; i++ {
		c.put(outputs, fmt.Sprintf("other-%d", i), "between two outputs")
		page, _ := a.Results(context.Background(), "job-1", len(results), 10*time.Millisecond)
		if page != nil {
			results = append(results, page.Results...)
		}
	}
	b := c.startHost("b")
	b.view.setSlow(func(p logstore.Partition, from int64) time.Duration {
		if p == outputs && from > results[0].Output.Offset {
			return waitTimeout
		}
		return 0
	})
	page, refusal := b.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, refusal)
	must.Between(t, 1, len(page.Results), 23)
	must.EqOp(t, len(page.Results), page.Next)
	must.EqOp(t, len(page.Results), len(page.Outputs))
	for i, r := range page.Results {
		must.EqOp(t, results[i].Item, r.Item)
		must.EqOp(t, c.fullOutput(r.Item), page.Outputs[i])
	}
}

// Guards against a read that never ends, because each read of the store takes longer
// than the staleness up to which the host says that there are no more results.
func TestReadWithoutResultsEndsWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 2, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 2)
	a.view.setSlow(func(logstore.Partition, int64) time.Duration { return maxReadStaleness + 20*time.Millisecond })
	c.waitUntil("the host's copy is stale", func() bool { return a.follower(modelPartition(a)).Staleness() > maxReadStaleness })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c.waitUntil("the page without results arrives", func() bool {
		page, _ := a.Results(ctx, "job-1", 2, 0)
		must.NoError(t, ctx.Err())
		return page != nil && len(page.Results) == 0
	})
}

// Guards against removed jobs whose records or blobs stay in the store, because their
// partition is reassigned to the same host more often than jobs are cleaned up.
func TestCleanUpGoesOnWhenPartitionIsReassigned(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	a.settings.Timing.JobRetention = 100 * time.Millisecond
	partition := modelPartition(a)
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	reassigned := time.Now()
	for _, topic := range []string{topicWork, topicBlobs} {
		c.waitUntil("the records of the job are removed from "+topic, func() bool {
			if time.Since(reassigned) > cleanUpInterval/4 {
				a.view.setCut(true)
				time.Sleep(2 * a.memberTTL())
				a.view.setCut(false)
				reassigned = time.Now()
			}
			listing, err := c.store.ListNewest(context.Background(), logstore.Partition{Topic: topic, Number: partition}, "")
			must.NoError(t, err)
			return len(listing.Records) == 0
		})
	}
}

// Guards against a job that never runs, because each attempt of its runner to read the
// payloads has the same time, and the store takes longer.
func TestJobRunsWhenPayloadsArriveSlowly(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	partition := modelPartition(a)
	job, payloads := newJob("job-1", 4, 1)
	c.mu.Lock()
	for _, r := range c.replicas {
		r.busy = true
	}
	c.mu.Unlock()
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	a.kill()
	c.mu.Lock()
	for _, r := range c.replicas {
		r.busy = false
	}
	c.mu.Unlock()
	b := c.newEntryHost("b")
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == blobPartition(partition) {
			return confirmTimeout + 300*time.Millisecond
		}
		return 0
	})
	b.start(t.Context())
	results, outputs := c.collect(b, "job-1", 4)
	checkResults(t, c, job, results, outputs)
}

// Guards against jobs that cannot be read at any host while each read of the store takes
// longer than a call waits for it: callers repeat a refused call at another host.
func TestPageIsReadWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	b := c.startHost("b")
	blobs := blobPartition(modelPartition(a))
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == blobs {
			return 1200 * time.Millisecond
		}
		return 0
	})
	const callerWaits = 1500 * time.Millisecond // beyond the time that the call allows
	ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
	defer cancel()
	page, refusal := b.Results(ctx, "job-1", 0, 0)
	must.Nil(t, refusal)
	must.Positive(t, len(page.Results))
}

// Guards against results and bodies that no call ever returns, because each attempt
// begins again with a read that takes longer than callers wait.
func TestRepeatedReadsMakeProgressWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	a.kill()
	b := c.startHost("b")
	blobs := blobPartition(modelPartition(b))
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == blobs {
			return callTimeout + 100*time.Millisecond
		}
		return 0
	})
	results, outputs := c.collect(b, "job-1", 4)
	checkResults(t, c, job, results, outputs)
	c.waitUntil("the body of an item arrives", func() bool {
		body, found, refusal := b.ItemBody(context.Background(), "job-1", "job-1-3")
		must.True(t, found || refusal != nil)
		return string(body) == "body of job-1-3"
	})
}

// Guards against a call that never learns whether a job exists, because it waits for
// several answers of a slow store one after the other, each time anew.
func TestUnknownJobIsDeniedWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCluster(t, 1)
	a := c.startHost("a")
	a.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p.Topic == topicWork {
			return callTimeout * 6 / 10
		}
		return 0
	})
	c.waitUntil("the job is known not to exist", func() bool {
		page, refusal := a.Results(context.Background(), "unknown", 0, 0)
		must.Nil(t, page)
		return refusal == nil
	})
}

// Guards against a job whose end cannot be read while the store does not answer, or
// answers late, although the host has all of its results.
func TestEndOfACompleteJobNeedsNoStore(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	a.view.setCut(true)
	c.waitUntil("the host notices that the store does not answer", a.follower(modelPartition(a)).StoreUnavailable)
	page, refusal := a.Results(context.Background(), "job-1", 4, waitTimeout)
	must.Nil(t, refusal)
	must.EqOp(t, 4, page.Next)
	must.SliceEmpty(t, page.Results)
}

// Guards against a first call that fails at each host, because it learns only from the
// answer of a slow store that the outputs were deleted from the log.
func TestStartedHostKnowsWhichOutputsAreDeleted(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	blobs := blobPartition(modelPartition(a))
	c.store.Delete(blobs)
	b := c.newEntryHost("b")
	b.settings.Limits.CPUShare = 0.2 // it owns no partition, so it loads no jobs to run them
	b.start(t.Context())
	c.waitUntil("the host is ready", b.Ready)
	c.waitUntil("the host knows that the outputs are deleted", func() bool {
		b.blobs.mu.Lock()
		defer b.blobs.mu.Unlock()
		return b.blobs.retained[blobs.Number] > 0
	})
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == blobs {
			return waitTimeout
		}
		return 0
	})
	page, refusal := b.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, refusal)
	must.SliceLen(t, 4, page.Results)
	_, _, refusal = b.ItemBody(context.Background(), "job-1", "job-1-3")
	must.Nil(t, refusal)
}
