package fronthost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// resultKey identifies a result.
type resultKey struct{ job, item string }

func keyOf(commit schedule.Commit) resultKey {
	return resultKey{job: commit.Job, item: commit.Result.Item}
}

// queueCommits queues results for the next append unless they are queued already.
func (r *runner) queueCommits(commits []schedule.Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, commit := range commits {
		key := keyOf(commit)
		if !r.queuedResults[key] {
			r.queuedResults[key] = true
			r.pendingCommits = append(r.pendingCommits, commit)
		}
	}
	r.signalAppend()
}

// queueRecords queues records for the next append.
func (r *runner) queueRecords(records []logstore.Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingRecords = append(r.pendingRecords, records...)
	r.signalAppend()
}

// appendOutcome reports whether records were appended, and when their append began, also on
// the clock of boottime.Now.
type appendOutcome struct {
	appended    bool
	began       time.Time
	beganSteady time.Time
}

// appendAndWait appends records and returns the outcome. It stops waiting when ctx ends; the
// records may still be appended after that.
func (r *runner) appendAndWait(ctx context.Context, records []logstore.Record) appendOutcome {
	done := make(chan appendOutcome, 1)
	r.mu.Lock()
	r.pendingRecords = append(r.pendingRecords, records...)
	r.waiters = append(r.waiters, done)
	r.signalAppend()
	r.mu.Unlock()
	select {
	case outcome := <-done:
		return outcome
	case <-ctx.Done():
		return appendOutcome{}
	}
}

// signalAppend wakes appendLoop if anything is queued. The caller holds r.mu.
func (r *runner) signalAppend() {
	if len(r.pendingCommits) == 0 && len(r.pendingRecords) == 0 && len(r.pendingPartials) == 0 {
		return
	}
	select {
	case r.appendSignal <- struct{}{}:
	default:
	}
}

// appendLoop appends queued results, records and partial outputs, one call at a
// time, until ctx ends or a stopping runner has nothing queued.
func (r *runner) appendLoop(ctx context.Context) {
	defer close(r.appenderDone)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.appendSignal:
		}
		time.Sleep(commitDelay)
		for r.appendQueued(ctx) {
		}
		if r.isStopping() && r.nothingQueued() {
			return
		}
	}
}

func (r *runner) nothingQueued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pendingCommits) == 0 && len(r.pendingRecords) == 0 && len(r.pendingPartials) == 0
}

const (
	// minBatchBytes bounds the outputs that one batch stores while the store answers
	// soon. The largest append of the store takes 0.2 s on an idle host; a slow host did
	// not complete it before its timeout, and sent all of it again.
	minBatchBytes = 256 << 10
	// batchLatency is the time for an append of few bytes up to which batches are not
	// larger. Above it, the time of a batch is mostly that of its two answers.
	batchLatency = 100 * time.Millisecond
)

// batchBytes returns the bound on the outputs of a batch for a store that takes some time
// for an append of few bytes, and takes up to maxAppend bytes at once.
func batchBytes(latency time.Duration, maxAppend int) int {
	return max(min(int(minBatchBytes*latency.Seconds()/batchLatency.Seconds()), maxAppend), minBatchBytes)
}

// appendBatch is what one pass of appendLoop appends.
type appendBatch struct {
	commits  []schedule.Commit
	records  []logstore.Record
	waiters  []chan appendOutcome
	partials []schedule.ItemPartial
}

// takeBatch removes the next batch from the queues. Partial outputs wait until no results
// and records are queued: they only save the next runner work.
func (r *runner) takeBatch() appendBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := batchBytes(r.host.store.Small(), r.host.settings.Platform.Store.AppendBytes)
	var b appendBatch
	b.commits, r.pendingCommits = splitBatch(r.pendingCommits, limit, func(c schedule.Commit) int { return len(c.Output) })
	b.records, r.pendingRecords = r.pendingRecords, nil
	b.waiters, r.waiters = r.waiters, nil
	if len(b.commits) == 0 && len(b.records) == 0 {
		b.partials, r.pendingPartials = splitBatch(r.pendingPartials, limit, partialSize)
	}
	return b
}

// splitBatch splits items after those that fit into limit bytes, and at least one.
func splitBatch[T any](items []T, limit int, size func(T) int) (batch, rest []T) {
	total := 0
	for i, item := range items {
		total += size(item)
		if i > 0 && total > limit {
			return items[:i:i], items[i:]
		}
	}
	return items, nil
}

func partialSize(p schedule.ItemPartial) int {
	size := 0
	for _, event := range p.Partial.Events {
		size += len(event)
	}
	return size
}

// appendQueued appends one batch of what is queued, and reports whether anything is left.
func (r *runner) appendQueued(ctx context.Context) bool {
	batch := r.takeBatch()
	commits, records := batch.commits, batch.records
	outcome := appendOutcome{began: time.Now(), beganSteady: boottime.Now()}
	defer func() {
		for _, w := range batch.waiters {
			w <- outcome
		}
	}()
	if len(batch.partials) > 0 {
		records = append(records, r.partialRecords(ctx, batch.partials)...)
	}
	if err := r.storeOutputs(ctx, commits); err != nil {
		klog.InfoS("runner stopped: outputs not stored", "partition", r.partition, "results", len(commits), "err", err)
		r.cancel()
		return false
	}
	records = append(records, r.assignPositions(commits)...)
	for len(records) > 0 {
		n := recordsThatFit(records, r.host.settings.Platform.Store.AppendBytes)
		if err := r.writer.Append(ctx, records[:n]); err != nil {
			klog.InfoS("runner stopped: append failed", "partition", r.partition, "epoch", r.epoch, "records", n, "err", err)
			if isFenced(err) {
				r.host.group.ReleaseFenced(r.partition, r.epoch)
			}
			// The outcome may be unknown, so only a new runner, which settles it, may continue.
			r.cancel()
			return false
		}
		r.host.applyAppended(r.partition, records[:n])
		records = records[n:]
	}
	outcome.appended = true
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, commit := range commits {
		delete(r.queuedResults, keyOf(commit))
	}
	return len(r.pendingCommits) > 0 || len(r.pendingRecords) > 0 || len(r.pendingPartials) > 0
}

// storeOutputs stores the outputs of results that do not refer to a stored output
// yet, and adds the references to the results.
func (r *runner) storeOutputs(ctx context.Context, commits []schedule.Commit) error {
	var items []blob
	var indexes []int
	for i, commit := range commits {
		if commit.Output != "" {
			items = append(items, blob{key: outputKey(commit), data: []byte(commit.Output)})
			indexes = append(indexes, i)
		}
	}
	refs, err := r.putWithRetry(ctx, items)
	for n, ref := range refs {
		commits[indexes[n]].Result.Output = ref
	}
	return err
}

// outputKey returns the blob key of a result's output. Several outputs of an item may be
// stored, of which one is committed; their checksums distinguish them. The job ID is
// escaped because IDs may contain slashes.
func outputKey(commit schedule.Commit) string {
	return fmt.Sprintf("t/%s/%s", url.PathEscape(commit.Job), commit.Result.Item)
}

// putWithRetry stores blobs and retries until the store accepts them or ctx ends.
func (r *runner) putWithRetry(ctx context.Context, items []blob) ([]jobs.BlobRef, error) {
	for {
		refs, err := r.host.blobs.put(ctx, r.partition, items)
		if err == nil || ctx.Err() != nil {
			return refs, err
		}
		klog.V(1).InfoS("blobs not stored, retrying", "partition", r.partition, "blobs", len(items), "err", err)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(blobRetry):
		}
	}
}

// blobRetry is the pause between two attempts to store blobs.
const blobRetry = 100 * time.Millisecond

// assignPositions assigns the next position of its job to each result, and returns
// the records that commit the results.
func (r *runner) assignPositions(commits []schedule.Commit) []logstore.Record {
	h := r.host
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]int)
	var records []logstore.Record
	for _, commit := range commits {
		e := h.jobs.Get(commit.Job)
		if e == nil {
			continue
		}
		if _, committed := e.Committed[commit.Result.Item]; committed {
			continue
		}
		if _, ok := next[commit.Job]; !ok {
			next[commit.Job] = len(e.Results)
		}
		record, err := jobs.EncodeResult(commit.Job, next[commit.Job], commit.Result)
		if err != nil {
			klog.ErrorS(err, "result could not be encoded", "job", commit.Job, "item", commit.Result.Item)
			continue
		}
		h.recorder.RecordDecision("list", commit.Result.Item, "job", commit.Job, "position", next[commit.Job], "failed", commit.Result.Failed, "versions", commit.Result.Versions)
		next[commit.Job]++
		records = append(records, record)
	}
	return records
}

// queueGrownPartials queues the partial outputs that have grown by partialEvents, unless
// earlier ones are still queued.
func (r *runner) queueGrownPartials() {
	r.mu.Lock()
	queued := len(r.pendingPartials)
	r.mu.Unlock()
	if queued == 0 {
		r.queuePartials(partialEvents)
	}
}

// queuePartials queues the partial outputs that have grown by at least growth
// events, so that the next runner of the partition can resume from them.
func (r *runner) queuePartials(growth int) {
	r.host.mu.Lock()
	grown := r.scheduler.Partials(r.loggedProgress, growth)
	r.host.mu.Unlock()
	if len(grown) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingPartials = append(r.pendingPartials, grown...)
	r.signalAppend()
}

// partialRecords stores the partial outputs of items without a result and returns the
// records that refer to them. If a partial output is not stored, the next runner only
// generates it again.
func (r *runner) partialRecords(ctx context.Context, partials []schedule.ItemPartial) []logstore.Record {
	partials = r.undecided(partials)
	items := make([]blob, len(partials))
	for i, p := range partials {
		data, err := json.Marshal(p.Partial)
		if err != nil {
			klog.ErrorS(err, "partial output could not be encoded", "job", p.Job, "item", p.Item)
			return nil
		}
		items[i] = blob{key: "c/" + p.Item, data: data, mutable: true}
	}
	refs, err := r.host.blobs.put(ctx, r.partition, items)
	if err != nil {
		klog.InfoS("partial outputs not stored", "partition", r.partition, "texts", len(items), "err", err)
		return nil
	}
	var records []logstore.Record
	for i, ref := range refs {
		record, err := jobs.EncodePartial(partials[i].Job, partials[i].Item, ref)
		if err != nil {
			klog.ErrorS(err, "reference to a partial output could not be encoded", "item", partials[i].Item)
			continue
		}
		records = append(records, record)
	}
	return records
}

// undecided returns the partial outputs of items whose result was not committed since the
// output was queued.
func (r *runner) undecided(partials []schedule.ItemPartial) []schedule.ItemPartial {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(partials), func(p schedule.ItemPartial) bool {
		e := r.host.jobs.Get(p.Job)
		if e == nil {
			return true
		}
		_, committed := e.Committed[p.Item]
		return committed
	})
}

// stop cancels the runs, appends their results and partial outputs, and then stops
// the runner.
func (r *runner) stop(ctx context.Context) {
	if r.partition != controlPartition {
		r.queuePartials(1)
	}
	r.mu.Lock()
	r.stopping = true
	select {
	case r.appendSignal <- struct{}{}:
	default:
	}
	r.mu.Unlock()
	r.stopRuns()
	select {
	case <-r.appenderDone:
	case <-ctx.Done():
	}
	r.cancel()
}
