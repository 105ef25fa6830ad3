package fronthost

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// list queues results for the next append.
func (r *runner) list(listings []schedule.Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range listings {
		key := l.Job + "/" + l.Result.Item
		if !r.queued[key] {
			r.queued[key] = true
			r.pending = append(r.pending, l)
		}
	}
	r.signalAppend()
}

// write queues records for the next append.
func (r *runner) write(records []logstore.Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, records...)
	r.signalAppend()
}

// writeAndWait appends records and reports whether they are in the log. It gives
// up when ctx ends; the records may still be appended then.
func (r *runner) writeAndWait(ctx context.Context, records []logstore.Record) bool {
	done := make(chan bool, 1)
	r.mu.Lock()
	r.records = append(r.records, records...)
	r.waiters = append(r.waiters, done)
	r.signalAppend()
	r.mu.Unlock()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// signalAppend wakes the appender. The caller holds r.mu.
func (r *runner) signalAppend() {
	if len(r.pending) == 0 && len(r.records) == 0 && len(r.grown) == 0 {
		return
	}
	select {
	case r.appends <- struct{}{}:
	default:
	}
}

// appendLoop appends what is queued, one call at a time.
func (r *runner) appendLoop(ctx context.Context) {
	defer close(r.idle)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.appends:
		}
		time.Sleep(listDelay)
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
	return len(r.pending) == 0 && len(r.records) == 0 && len(r.grown) == 0
}

// appendQueued appends one call's worth of what is queued, and reports whether
// there may be more.
func (r *runner) appendQueued(ctx context.Context) bool {
	r.mu.Lock()
	listings, records, grown, waiters := r.pending, r.records, r.grown, r.waiters
	r.pending, r.records, r.grown, r.waiters = nil, nil, nil, nil
	r.mu.Unlock()
	appended := false
	defer func() {
		for _, w := range waiters {
			w <- appended
		}
	}()
	if len(grown) > 0 {
		records = append(records, r.partialRecords(ctx, grown)...)
	}
	if err := r.storeTexts(ctx, listings); err != nil {
		klog.InfoS("duty ends because texts are not stored", "partition", r.partition, "results", len(listings), "err", err)
		r.cancel()
		return false
	}
	records = append(records, r.place(listings)...)
	for len(records) > 0 {
		n := fitting(records, r.host.settings.Platform.Store.AppendBytes)
		if err := r.writer.Append(ctx, records[:n]); err != nil {
			klog.InfoS("duty lost at an append", "partition", r.partition, "epoch", r.epoch, "records", n, "err", err)
			if isFenced(err) {
				r.host.group.ReleaseFenced(r.partition)
			}
			// The outcome may be unknown: only a new epoch may go on.
			r.cancel()
			return false
		}
		r.host.applyOwn(r.partition, records[:n])
		records = records[n:]
	}
	appended = true
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range listings {
		delete(r.queued, l.Job+"/"+l.Result.Item)
	}
	return len(r.pending) > 0 || len(r.records) > 0 || len(r.grown) > 0
}

// storeTexts stores the texts of results that do not refer to a stored one.
func (r *runner) storeTexts(ctx context.Context, listings []schedule.Commit) error {
	var items []blob
	var places []int
	for i, l := range listings {
		if l.Output != "" {
			items = append(items, blob{key: textKey(l, r.epoch), data: []byte(l.Output)})
			places = append(places, i)
		}
	}
	refs, err := r.putRepeatedly(ctx, items)
	for n, ref := range refs {
		listings[places[n]].Result.Output = ref
	}
	return err
}

// textKey returns the key of a result's text. Two runners may both run an item,
// so their texts need keys of their own: only one of them will be listed.
func textKey(l schedule.Commit, epoch int64) string {
	return fmt.Sprintf("t/%s/%s/%d", l.Job, l.Result.Item, epoch)
}

// putRepeatedly stores blobs as soon as the store takes them.
func (r *runner) putRepeatedly(ctx context.Context, items []blob) ([]jobs.BlobRef, error) {
	for {
		refs, err := r.host.blobs.put(ctx, r.partition, items)
		if err == nil || ctx.Err() != nil {
			return refs, err
		}
		klog.V(1).InfoS("blobs are not stored yet", "partition", r.partition, "blobs", len(items), "err", err)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(blobRetry):
		}
	}
}

// blobRetry is the pause before blobs are stored again.
const blobRetry = 100 * time.Millisecond

// place gives each result the next position of its job.
func (r *runner) place(listings []schedule.Commit) []logstore.Record {
	h := r.host
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]int)
	var records []logstore.Record
	for _, l := range listings {
		e := h.jobs.Get(l.Job)
		if e == nil {
			continue
		}
		if _, listed := e.Committed[l.Result.Item]; listed {
			continue
		}
		if _, ok := next[l.Job]; !ok {
			next[l.Job] = len(e.Results)
		}
		record, err := jobs.EncodeResult(l.Job, next[l.Job], l.Result)
		if err != nil {
			klog.ErrorS(err, "result cannot be written", "job", l.Job, "item", l.Result.Item)
			continue
		}
		h.recorder.Decision("list", l.Result.Item, "job", l.Job, "position", next[l.Job], "failed", l.Result.Failed, "versions", l.Result.Versions)
		next[l.Job]++
		records = append(records, record)
	}
	return records
}

// storePartials appends the texts of unfinished runs that have grown, so that
// the next runner of the partition can go on from them.
func (r *runner) storePartials(growth int) {
	r.host.mu.Lock()
	grown := r.board.Partials(r.seen, growth)
	r.host.mu.Unlock()
	if len(grown) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grown = append(r.grown, grown...)
	r.signalAppend()
}

// partialRecords stores unfinished texts and returns the records that refer to
// them. A text that is not stored is only missed by the next runner.
func (r *runner) partialRecords(ctx context.Context, grown []schedule.ItemPartial) []logstore.Record {
	items := make([]blob, len(grown))
	for i, p := range grown {
		data, err := json.Marshal(p.Partial)
		if err != nil {
			klog.ErrorS(err, "text of an unfinished run cannot be written", "job", p.Job, "item", p.Item)
			return nil
		}
		items[i] = blob{key: "c/" + p.Item, data: data}
	}
	refs, err := r.host.blobs.put(ctx, r.partition, items)
	if err != nil {
		klog.InfoS("unfinished texts are not stored", "partition", r.partition, "texts", len(items), "err", err)
		return nil
	}
	var records []logstore.Record
	for i, ref := range refs {
		record, err := jobs.EncodePartial(grown[i].Job, grown[i].Item, ref)
		if err != nil {
			klog.ErrorS(err, "reference to a text cannot be written", "item", grown[i].Item)
			continue
		}
		records = append(records, record)
	}
	return records
}

// stop ends the runs, appends what they have made and ends the duty.
func (r *runner) stop(ctx context.Context) {
	if r.partition != controlPartition {
		r.storePartials(1)
	}
	r.mu.Lock()
	r.stopping = true
	select {
	case r.appends <- struct{}{}:
	default:
	}
	r.mu.Unlock()
	r.stopRuns()
	select {
	case <-r.idle:
	case <-ctx.Done():
	}
	r.cancel()
}
