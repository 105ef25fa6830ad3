package fronthost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

func checkResults(t *testing.T, w *world, job *jobs.Job, results []jobs.Result, texts []string) {
	t.Helper()
	must.EqOp(t, len(job.Items), len(results))
	seen := make(map[string]bool)
	for i, r := range results {
		must.False(t, seen[r.Item], must.Sprintf("item %s is listed twice", r.Item))
		seen[r.Item] = true
		must.False(t, r.Failed)
		must.EqOp(t, w.wholeText(r.Item), texts[i])
	}
}

// Guards against a job that a host accepts and another one does not know, and
// results that differ between hosts.
func TestJobIsServedAlikeByAllHosts(t *testing.T) {
	w := newWorld(t, 3)
	a, b := w.host("a"), w.host("b")
	job, payloads := newJob("job-1", 12, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	must.Nil(t, b.Submit(context.Background(), job, payloads)) // sent again
	results, texts := w.collect(a, "job-1", 12)
	checkResults(t, w, job, results, texts)
	same, sameTexts := w.collect(b, "job-1", 12)
	must.Eq(t, results, same)
	must.Eq(t, texts, sameTexts)
	body, found, refusal := b.ItemBody(context.Background(), "job-1", "job-1-3")
	must.Nil(t, refusal)
	must.True(t, found)
	must.EqOp(t, "body of job-1-3", string(body))
	page, refusal := b.Results(context.Background(), "no-such-job", 0, 0)
	must.Nil(t, refusal)
	must.Nil(t, page)
}

// Guards against jobs, positions or texts that change when the host that runs
// them dies, and against all hosts forgetting them when they die at once.
func TestJobSurvivesItsRunnersAndAllHosts(t *testing.T) {
	w := newWorld(t, 3)
	w.events = 60
	hosts := []*testHostHandle{w.host("a"), w.host("b"), w.host("c")}
	job, payloads := newJob("job-1", 10, 1)
	must.Nil(t, hosts[0].Submit(context.Background(), job, payloads))
	var results []jobs.Result
	for i, h := range hosts[:2] {
		w.until("some results", func() bool {
			page, _ := hosts[2].Results(context.Background(), "job-1", 0, 10*time.Millisecond)
			if page != nil && len(page.Results) > len(results) {
				results = page.Results
			}
			return len(results) > i
		})
		h.kill()
	}
	hosts[2].kill()
	fresh := w.host("d")
	all, texts := w.collect(fresh, "job-1", 10)
	checkResults(t, w, job, all, texts)
	must.Eq(t, results, all[:len(results)])
}

// Guards against a refusal that promises "not run" for a job whose append may
// still arrive, and against such a job running twice.
func TestSubmissionWithoutAnAnswerPromisesNothing(t *testing.T) {
	w := newWorld(t, 2)
	a := w.host("a")
	job, payloads := newJob("job-1", 4, 1)
	w.store.SetFault(func(c memlog.Call, p logstore.Partition) memlog.Fault {
		if c == memlog.CallAppend && p.Topic == topicWork {
			return memlog.Delay
		}
		return memlog.None
	})
	refusal := a.Submit(context.Background(), job, payloads)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeUnknown, refusal.Outcome)
	w.store.SetFault(nil)
	w.store.ReleaseDelayed()
	results, texts := w.collect(a, "job-1", 4)
	checkResults(t, w, job, results, texts)
}

// Guards against a job that was refused and runs all the same.
func TestRefusedSubmissionNeverRuns(t *testing.T) {
	w := newWorld(t, 2)
	a := w.host("a")
	job, payloads := newJob("job-1", 4, 1)
	w.store.SetFault(func(c memlog.Call, p logstore.Partition) memlog.Fault {
		if c == memlog.CallAppend && p.Topic == topicWork {
			return memlog.Refuse
		}
		return memlog.None
	})
	refusal := a.Submit(context.Background(), job, payloads)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	w.store.SetFault(nil)
	page, refusal := a.Results(context.Background(), "job-1", 0, 200*time.Millisecond)
	must.Nil(t, refusal)
	must.Nil(t, page)
}

// Guards against "no such job" from a host that cannot know.
func TestHostThatCannotReadTheStoreIsNotSure(t *testing.T) {
	w := newWorld(t, 2)
	a, b := w.host("a"), w.host("b")
	b.view.setCut(true)
	time.Sleep(600 * time.Millisecond) // longer than a read that was under way
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	page, refusal := b.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, page)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
}

// Guards against items that are given up although they may be tried again, and
// against items that are tried for ever.
func TestItemFailsAfterItsAttemptsOnly(t *testing.T) {
	w := newWorld(t, 2)
	for _, r := range w.replicas {
		r.failRuns["job-1-0"] = 1 // two failures in all
		r.failRuns["job-1-1"] = 100
	}
	a := w.host("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, _ := w.collect(a, "job-1", 4)
	for _, r := range results {
		must.EqOp(t, r.Item == "job-1-1", r.Failed, must.Sprint(r.Item))
	}
}

// Guards against texts with gaps or repeats when replicas break off at random
// and go away, and against items that get lost.
func TestTextsAreWholeWhileReplicasBreakOff(t *testing.T) {
	w := newWorld(t, 4)
	w.events = 20
	n := 0
	w.breaks = func(string, int) bool {
		n++
		return n%37 == 0
	}
	a := w.host("a")
	job, payloads := newJob("job-1", 24, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	w.replicas["replica-1"].down = true
	w.mu.Unlock()
	w.unregister("replica-1")
	results, texts := w.collect(a, "job-1", 24)
	checkResults(t, w, job, results, texts)
}

// Guards against results older than their job allows while versions change, and
// against versions that do not name what made the text.
func TestVersionsFollowWhatTrainersName(t *testing.T) {
	w := newWorld(t, 4)
	a := w.host("a")
	for version := int64(2); version <= 5; version++ {
		w.name(version)
		id := fmt.Sprintf("job-%d", version)
		job, payloads := newJob(id, 8, version-1)
		job.Step = version
		must.Nil(t, a.Submit(context.Background(), job, payloads))
		results, texts := w.collect(a, id, 8)
		checkResults(t, w, job, results, texts)
		for _, r := range results {
			must.True(t, jobs.VersionsAllowed(r.Versions, version-1, false), must.Sprint(r.Versions))
		}
	}
}

// Guards against two holders that order one replica in turns: the holder is cut
// off from the store, is replaced, comes back and is replaced again.
func TestHoldersOfOrdersKeepALeaseApart(t *testing.T) {
	w := newWorld(t, 4)
	a, b := w.host("a"), w.host("b")
	for version := int64(2); version <= 9; version++ {
		w.name(version)
		time.Sleep(150 * time.Millisecond)
		for _, h := range []*testHostHandle{a, b} {
			if _, holds := h.group.Assigned()[controlPartition]; holds {
				h.view.setCut(version%2 == 0)
			} else {
				h.view.setCut(false)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	holders := make(map[string]bool)
	for _, r := range w.replicas {
		for i, o := range r.seen {
			holders[o.holder] = true
			if i == 0 || o.holder == r.seen[i-1].holder {
				continue
			}
			must.GreaterEq(t, a.settings.Timing.OrderLease, o.at.Sub(r.seen[i-1].at))
			must.Greater(t, r.seen[i-1].fence, o.fence)
		}
	}
	must.Greater(t, 1, len(holders), must.Sprint("the test needs a change of holders"))
}

// refusalBound is a quarter of the objective of a job's submission (slo_ms of the
// platform's job routes): a refusal that comes later costs the caller time.
const refusalBound = 100 * time.Millisecond

// Answers hosts that are cut off from the store while others reach it: guards
// against callers that wait for a host's store call to fail, time after time,
// instead of being sent on at once, and against a host that goes on refusing
// after the store answers it again.
func TestHostWithoutTheStoreRefusesAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	a, b := w.host("a"), w.host("b")
	known, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), known, payloads))
	w.collect(b, "job-1", 4)
	b.view.setCut(true)
	f := b.follower(modelPartition(b))
	w.until("the host knows that the store does not answer", f.StoreUnavailable)
	at := func(call func() *Refusal) {
		began := time.Now()
		refusal := call()
		must.NotNil(t, refusal)
		must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
		must.Less(t, refusalBound, time.Since(began))
	}
	more, morePayloads := newJob("job-2", 4, 1)
	at(func() *Refusal { return b.Submit(context.Background(), more, morePayloads) })
	at(func() *Refusal { _, refusal := b.Results(context.Background(), "job-1", 4, 0); return refusal })
	at(func() *Refusal { _, refusal := b.Results(context.Background(), "job-2", 0, 0); return refusal })
	at(func() *Refusal { _, refusal := b.EndJob(context.Background(), "job-1"); return refusal })
	must.Nil(t, a.Submit(context.Background(), more, morePayloads))

	b.view.setCut(false)
	back := time.Now()
	w.until("the host takes jobs again", func() bool {
		third, thirdPayloads := newJob("job-3", 4, 1)
		return b.Submit(context.Background(), third, thirdPayloads) == nil
	})
	must.Less(t, settleBound, time.Since(back))
}

// settleBound is how soon all hosts must serve what one of them accepted
// (settle_ms of the platform).
const settleBound = time.Second

func modelPartition(h *testHostHandle) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitionOf(testModel)
}

// Guards against a job's end that is lost, and items that run on after it.
func TestEndedJobStopsRunning(t *testing.T) {
	w := newWorld(t, 2)
	w.events = 2000
	a, b := w.host("a"), w.host("b")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	running := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, count := range w.running {
			n += count
		}
		return n
	}
	w.until("items run", func() bool { return running() > 0 })
	var done sync.WaitGroup
	for _, h := range []*testHostHandle{a, b} {
		done.Go(func() {
			found, refusal := h.EndJob(context.Background(), "job-1")
			must.True(t, found)
			must.Nil(t, refusal)
		})
	}
	done.Wait()
	w.until("no item runs", func() bool { return running() == 0 })
}

// Guards against runs that start again because the store dealt the same
// partition to the same host once more, as it does after an outage.
func TestRunsGoOnWhenThePartitionIsDealtAgain(t *testing.T) {
	w := newWorld(t, 3)
	w.events = 300
	a := w.host("a")
	job, payloads := newJob("job-1", 8, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	started := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, r := range w.replicas {
			n += r.runs
		}
		return n
	}
	w.until("all items run", func() bool { return started() == 8 })
	for range 3 {
		w.store.Reassign(groupDuties)
		time.Sleep(150 * time.Millisecond)
	}
	results, texts := w.collect(a, "job-1", 8)
	checkResults(t, w, job, results, texts)
	must.EqOp(t, 8, started())
}

// Guards against "no such job" from a host that has just started and does not
// read the partition of the job's model yet.
func TestFreshHostIsNotSureBeforeItReadsAllPartitions(t *testing.T) {
	w := newWorld(t, 2)
	a := w.host("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	fresh := w.newHost("b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fresh.start(ctx)
	w.until("the job is known", func() bool {
		page, refusal := fresh.Results(context.Background(), "job-1", 0, 0)
		must.True(t, page != nil || refusal != nil, must.Sprint("the fresh host says that there is no such job"))
		return page != nil
	})
}

// Answers the load of a fleet with large and small hosts: guards against duties
// on a small host while a large one is there, and against none taking them when
// there is none.
func TestSmallHostsTakeDutiesOnlyWithoutLargeOnes(t *testing.T) {
	w := newWorld(t, 3)
	small, large := w.newHost("small"), w.newHost("large")
	small.settings.Limits.CPUShare = 0.2
	small.member = "small" + smallMark
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	small.start(ctx)
	w.until("the small host holds all duties", func() bool { return len(small.group.Owned()) == 4 })
	largeCtx, endLarge := context.WithCancel(ctx)
	large.start(largeCtx)
	w.until("the large host holds all duties", func() bool { return len(large.group.Owned()) == 4 && len(small.group.Owned()) == 0 })
	job, payloads := newJob("job-1", 6, 1)
	must.Nil(t, small.Submit(ctx, job, payloads))
	results, texts := w.collect(small, "job-1", 6)
	checkResults(t, w, job, results, texts)
	endLarge()
	w.until("the small host holds all duties again", func() bool { return len(small.group.Owned()) == 4 })
}
