package fronthost

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// slowAppends is a store to which a host sends appends at a limited rate. An append that
// times out has no effect.
type slowAppends struct {
	*memlog.Store
	bytesPerSecond int
}

func (s *slowAppends) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	select {
	case <-time.After(4*time.Millisecond + time.Duration(size)*time.Second/time.Duration(s.bytesPerSecond)):
		return s.Store.Append(ctx, p, records, w)
	case <-ctx.Done():
		return 0, logstore.ErrOutcomeUnknown
	}
}

// slowRunner is a runner of one job that appends to a slow store.
type slowRunner struct {
	*runner
	job *jobs.Entry
}

const slowPartition = 1

// newSlowRunner returns a runner, without ticks, of a job with a number of items.
func newSlowRunner(t *testing.T, items, bytesPerSecond int) *slowRunner {
	store := &slowAppends{Store: memlog.New(slowPartition + 1), bytesPerSecond: bytesPerSecond}
	recorder, err := telemetry.NewRecorder("a", 1)
	must.NoError(t, err)
	h := &Host{store: &meteredStore{Store: store, recorder: recorder}, recorder: recorder, account: account.Unlimited(), jobs: jobs.NewTable(), runners: make(map[int]*runner)}
	h.settings.Platform.Store.AppendBytes = 2 << 20
	h.blobs = newBlobStore(store, 1<<20, 2<<20)
	job, _ := newJob("job-1", items, 1)
	records, err := jobs.EncodeJob(job, 1<<20)
	must.NoError(t, err)
	for _, r := range records {
		must.NoError(t, h.jobs.Apply(slowPartition, r, time.Now()))
	}
	r := newRunner(h, slowPartition, 1)
	r.writer = logstore.NewFencedWriter(store, workPartition(slowPartition), writerName, 1)
	r.cancel = func() {}
	_, err = r.writer.Open(t.Context())
	must.NoError(t, err)
	return &slowRunner{runner: r, job: h.jobs.Get(job.ID)}
}

// queueResults queues the results of items, with outputs of a size.
func (r *slowRunner) queueResults(from, to, size int) {
	var commits []schedule.Commit
	for _, item := range r.job.Job.Items[from:to] {
		commits = append(commits, schedule.Commit{Job: r.job.Job.ID, Result: jobs.Result{Item: item.ID, Versions: []int64{1}}, Output: strings.Repeat("x", size)})
	}
	r.queueCommits(commits)
}

func (r *slowRunner) committed() int {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	return len(r.job.Results)
}

// Guards against results that all wait until the outputs of the last one are stored, which
// a slow host sent again and again in appends that it could not complete in time.
func TestResultsAreCommittedByASlowHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newSlowRunner(t, 400, 2<<20)
		go r.appendLoop(ctx)
		r.queueResults(0, 400, 10<<10)
		time.Sleep(500 * time.Millisecond)
		must.Positive(t, r.committed())
		time.Sleep(3 * time.Second) // 4 MB take 2 s
		must.EqOp(t, 400, r.committed())
		cancel()
		<-r.appenderDone
	})
}

// Guards against results that wait until the partial outputs of all running items are
// stored.
func TestResultsAreCommittedBeforePartialOutputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newSlowRunner(t, 304, 2<<20)
		go r.appendLoop(ctx)
		var partials []schedule.ItemPartial
		for _, item := range r.job.Job.Items[4:] {
			partials = append(partials, schedule.ItemPartial{Job: r.job.Job.ID, Item: item.ID, Partial: jobs.Partial{Events: []string{strings.Repeat("x", 10<<10)}, Versions: []int64{1}}})
		}
		r.mu.Lock()
		r.pendingPartials = partials
		r.signalAppend()
		r.mu.Unlock()
		for i := range 4 {
			time.Sleep(300 * time.Millisecond)
			must.EqOp(t, i, r.committed())
			r.queueResults(i, i+1, 10<<10)
		}
		time.Sleep(3 * time.Second)
		must.EqOp(t, 4, r.committed())
		for _, p := range partials {
			_, stored := r.host.jobs.Partial(p.Item)
			must.True(t, stored, must.Sprint(p.Item))
		}
		cancel()
		<-r.appenderDone
	})
}

// Guards against the record of a partial output that follows the result of its item: later
// jobs would continue from it.
func TestPartialOutputOfACommittedItemIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newSlowRunner(t, 2, 2<<20)
		for i := range 2 {
			item := fmt.Sprintf("job-1-%d", i)
			r.pendingPartials = append(r.pendingPartials, schedule.ItemPartial{Job: "job-1", Item: item, Partial: jobs.Partial{Events: []string{"x"}, Versions: []int64{1}}})
		}
		r.queueResults(0, 1, 1)
		go r.appendLoop(ctx)
		time.Sleep(time.Second)
		must.EqOp(t, 1, r.committed())
		_, stored := r.host.jobs.Partial("job-1-0")
		must.False(t, stored)
		_, stored = r.host.jobs.Partial("job-1-1")
		must.True(t, stored)
		cancel()
		<-r.appenderDone
	})
}
