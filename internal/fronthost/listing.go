package fronthost

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// list queues results for the next append.
func (r *runner) list(listings []schedule.Listing) {
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

// signalAppend wakes the appender. The caller holds r.mu.
func (r *runner) signalAppend() {
	if len(r.pending) == 0 && len(r.records) == 0 {
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
	return len(r.pending) == 0 && len(r.records) == 0
}

// appendQueued appends one call's worth of what is queued, and reports whether
// there may be more.
func (r *runner) appendQueued(ctx context.Context) bool {
	r.mu.Lock()
	listings, records := r.pending, r.records
	r.pending, r.records = nil, nil
	r.mu.Unlock()
	records = append(records, r.place(listings)...)
	for len(records) > 0 {
		n := fitting(records, r.host.settings.Platform.Store.AppendBytes)
		if err := r.writer.Append(ctx, records[:n]); err != nil {
			klog.InfoS("duty lost at an append", "partition", r.partition, "epoch", r.epoch, "records", n, "err", err)
			if isFenced(err) {
				r.host.group.Fenced(r.partition)
			}
			// The outcome may be unknown: only a new epoch may go on.
			r.cancel()
			return false
		}
		r.host.applyOwn(r.partition, records[:n])
		records = records[n:]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range listings {
		delete(r.queued, l.Job+"/"+l.Result.Item)
	}
	return len(r.pending) > 0 || len(r.records) > 0
}

// place gives each result the next position of its job.
func (r *runner) place(listings []schedule.Listing) []logstore.Record {
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
		if _, listed := e.Listed[l.Result.Item]; listed {
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
	var records []logstore.Record
	for _, p := range grown {
		record, err := jobs.EncodePartial(p.Job, p.Item, p.Partial)
		if err != nil || len(record.Value) > r.host.settings.Platform.Store.RecordBytes-recordFraming-len(record.Key) {
			klog.InfoS("text of an unfinished run is not stored", "job", p.Job, "item", p.Item, "bytes", len(record.Value), "err", err)
			continue
		}
		records = append(records, record)
	}
	r.host.mu.Unlock()
	r.write(records)
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
