package fronthost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Times of calls on jobs.
const (
	// submitTimeout is how long a submission waits for the store. A trainer
	// that hears nothing submits again at another host.
	submitTimeout = 1500 * time.Millisecond
	// confirmTimeout bounds the read that makes sure that a job is unknown.
	confirmTimeout = 700 * time.Millisecond
	// freshFor is how old knowledge of a partition may be to answer a read from
	// it: a result read at one host is known at all of them 1 s later.
	freshFor = 600 * time.Millisecond
	// storeRetry is when a caller should come back after the store refused.
	storeRetry = 100 * time.Millisecond
	// maxPageBytes bounds the text of one page of results.
	maxPageBytes = 900 << 10
)

// Submit accepts a job. A nil refusal means that the job will outlive the loss
// of all hosts.
func (h *Host) Submit(ctx context.Context, job *jobs.Job, payloads []jobs.Payload) *Refusal {
	started := time.Now()
	// A caller that leaves must not stop a submission halfway.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	refusal := h.submit(ctx, job, payloads)
	details := []any{"model", job.Model, "step", job.Step, "items", len(job.Items), "min_version", job.MinVersion, "took_ms", time.Since(started).Milliseconds()}
	outcome := "accepted"
	if refusal != nil {
		outcome = string(refusal.Reason)
		details = append(details, "message", refusal.Message, "not_run", refusal.Outcome == cluster.OutcomeNotRun)
	}
	h.recorder.Decision("submit", job.ID, append(details, "outcome", outcome)...)
	h.recorder.Count("jobs_submitted_total", "outcome", outcome)
	return refusal
}

func (h *Host) submit(ctx context.Context, job *jobs.Job, payloads []jobs.Payload) *Refusal {
	if h.job(job.ID) != nil {
		return nil
	}
	data, err := json.Marshal(payloads)
	if err != nil {
		return notRun(cluster.ReasonBadRequest, err.Error())
	}
	h.mu.Lock()
	partition := h.partitionOf(job.Model)
	follower := h.followers[partition]
	h.mu.Unlock()
	if follower != nil && follower.StoreUnavailable() {
		return storeLost()
	}
	refs, err := h.blobs.put(ctx, partition, []blob{{key: "b/" + job.ID, data: data}})
	if err != nil {
		// No record of the job itself was sent yet, so nothing of it can run.
		refusal := notRun(cluster.ReasonLogUnavailable, err.Error())
		refusal.RetryAfter = storeRetry
		return refusal
	}
	job.Payloads = refs[0]
	records, err := jobs.EncodeJob(job, h.settings.Platform.Store.RecordBytes)
	if err != nil {
		return notRun(cluster.ReasonBadRequest, err.Error())
	}
	if err := h.appendAll(ctx, partition, records); err != nil {
		return storeRefusal(err)
	}
	h.applyOwn(partition, records)
	return nil
}

// storeLost refuses a call at once while the store does not answer this host.
// Other hosts may reach it.
func storeLost() *Refusal {
	refusal := notRun(cluster.ReasonLogUnavailable, "the store does not answer this host")
	refusal.RetryAfter = storeRetry
	return refusal
}

// storeRefusal maps an append's error: only a refusal by the store itself says
// that nothing will happen.
func storeRefusal(err error) *Refusal {
	if errors.Is(err, logstore.ErrUnavailable) || errors.Is(err, logstore.ErrFull) {
		refusal := notRun(cluster.ReasonLogUnavailable, err.Error())
		refusal.RetryAfter = storeRetry
		return refusal
	}
	return unknown(cluster.ReasonDeadline, err.Error())
}

// appendAll appends records in calls that the store takes. An error after the
// first call leaves the outcome unknown.
func (h *Host) appendAll(ctx context.Context, partition int, records []logstore.Record) error {
	for first := true; len(records) > 0; first = false {
		n := fitting(records, h.settings.Platform.Store.AppendBytes)
		_, err := logstore.AppendUnfenced(ctx, h.store, workPartition(partition), records[:n])
		if err != nil && !first {
			return logstore.ErrOutcomeUnknown
		}
		if err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// recordFraming is an upper bound of what the store adds to a record.
const recordFraming = 16

// fitting returns how many records, at least one, fit into one append.
func fitting(records []logstore.Record, limit int) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordFraming
		if i > 0 && size > limit {
			return i
		}
	}
	return len(records)
}

// applyOwn takes records that this host has just appended, before the follower
// reads them back.
func (h *Host) applyOwn(partition int, records []logstore.Record) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		if err := h.applyWorkRecord(partition, r, false, now); err != nil {
			klog.ErrorS(err, "own record cannot be read", "key", r.Key)
		}
	}
	if r := h.runners[partition]; r != nil {
		r.wake()
	}
}

func (h *Host) job(id string) *jobs.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs.Get(id)
}

// findJob returns a job, after a read of the store if it is unknown. A nil
// entry without a refusal means that the job does not exist.
func (h *Host) findJob(ctx context.Context, id string) (*jobs.Entry, *Refusal) {
	if e := h.job(id); e != nil {
		return e, nil
	}
	h.mu.Lock()
	followers := make([]*logstore.Follower, 0, len(h.followers))
	for _, f := range h.followers {
		followers = append(followers, f)
	}
	h.mu.Unlock()
	if !h.CaughtUp() {
		// The job may lie in a partition that this host does not read yet.
		return nil, h.RefuseNotReady(id)
	}
	if slices.ContainsFunc(followers, (*logstore.Follower).StoreUnavailable) {
		h.recorder.Decision("job-uncertain", id, "err", "the store does not answer")
		return nil, storeLost()
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	errs := make(chan error, len(followers))
	for _, f := range followers {
		go func() { errs <- f.CatchUp(ctx) }()
	}
	var failed error
	for range followers {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	if e := h.job(id); e != nil {
		return e, nil
	}
	if failed != nil {
		h.recorder.Decision("job-uncertain", id, "err", failed.Error())
		return nil, notRun(cluster.ReasonLogUnavailable, "the store does not say whether the job exists")
	}
	return nil, nil
}

// Results is one page of a job's results.
type Results struct {
	Total   int
	Next    int
	Results []jobs.Result
	Outputs []string // of each result
}

// Results returns results from a position on, and waits for one if there is
// none. A nil page without a refusal means that the job does not exist.
func (h *Host) Results(ctx context.Context, id string, after int, wait time.Duration) (*Results, *Refusal) {
	e, refusal := h.findJob(ctx, id)
	if e == nil {
		return nil, refusal
	}
	f := h.follower(e.Partition)
	deadline := time.Now().Add(wait)
	for {
		h.mu.Lock()
		page := e.Page(after, maxPageBytes)
		total, changed, ended := len(e.Job.Items), e.Changed(), e.Ended
		h.mu.Unlock()
		if len(page) > 0 {
			return h.withTexts(ctx, e, &Results{Total: total, Next: after + len(page), Results: page})
		}
		if f.Staleness() > freshFor && f.StoreUnavailable() {
			return nil, storeLost()
		}
		if f.Staleness() > freshFor {
			confirming, cancel := context.WithTimeout(ctx, confirmTimeout)
			err := f.CatchUp(confirming)
			cancel()
			if err != nil {
				return nil, notRun(cluster.ReasonLogUnavailable, "the store does not say whether there are more results")
			}
			continue
		}
		left := time.Until(deadline)
		if left <= 0 || ended {
			return &Results{Total: total, Next: after}, nil
		}
		// Looking again in time keeps the answer fresh.
		timer := time.NewTimer(min(left, freshFor/2))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, notRun(cluster.ReasonDeadline, "the caller left")
		}
		timer.Stop()
	}
}

// withTexts adds the texts of a page's results.
func (h *Host) withTexts(ctx context.Context, e *jobs.Entry, page *Results) (*Results, *Refusal) {
	refs := make([]jobs.BlobRef, len(page.Results))
	for i, r := range page.Results {
		refs[i] = r.Output
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	texts, err := h.blobs.get(ctx, e.Partition, refs)
	if err != nil {
		h.recorder.Decision("texts-unavailable", e.Job.ID, "after", page.Next-len(page.Results), "err", err.Error())
		return nil, notRun(cluster.ReasonLogUnavailable, "the store does not return the texts")
	}
	page.Outputs = make([]string, len(texts))
	for i, text := range texts {
		page.Outputs[i] = string(text)
	}
	return page, nil
}

// ItemBody returns the body of an item. found is false if there is no such item.
func (h *Host) ItemBody(ctx context.Context, job, item string) (body []byte, found bool, refusal *Refusal) {
	e, refusal := h.findJob(ctx, job)
	if e == nil {
		return nil, false, refusal
	}
	i := e.Index(item)
	if i < 0 {
		return nil, false, nil
	}
	payloads, err := h.payloads(ctx, e)
	if err != nil {
		h.recorder.Decision("body-unavailable", item, "job", job, "err", err.Error())
		return nil, false, notRun(cluster.ReasonLogUnavailable, "the store does not return the item")
	}
	return payloads[i].Body, true, nil
}

// payloads reads the payloads of a job's items.
func (h *Host) payloads(ctx context.Context, e *jobs.Entry) ([]jobs.Payload, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	data, err := h.blobs.get(ctx, e.Partition, []jobs.BlobRef{e.Job.Payloads})
	if err != nil {
		return nil, err
	}
	var payloads []jobs.Payload
	if err := json.Unmarshal(data[0], &payloads); err != nil {
		return nil, eris.Wrap(err, "decode payloads")
	}
	if len(payloads) != len(e.Job.Items) {
		return nil, fmt.Errorf("job %s has %d items and %d payloads", e.Job.ID, len(e.Job.Items), len(payloads))
	}
	return payloads, nil
}

// EndJob ends a job. found is false if there is no such job.
func (h *Host) EndJob(ctx context.Context, id string) (found bool, refusal *Refusal) {
	e, refusal := h.findJob(ctx, id)
	if e == nil {
		return false, refusal
	}
	h.mu.Lock()
	ended := e.Ended
	h.mu.Unlock()
	if ended {
		return true, nil
	}
	if f := h.follower(e.Partition); f != nil && f.StoreUnavailable() {
		h.recorder.Decision("end", id, "outcome", "the store does not answer")
		return true, storeLost()
	}
	records := []logstore.Record{jobs.EncodeEnd(id)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	if err := h.appendAll(ctx, e.Partition, records); err != nil {
		h.recorder.Decision("end", id, "outcome", err.Error())
		return true, storeRefusal(err)
	}
	h.applyOwn(e.Partition, records)
	h.recorder.Decision("end", id, "outcome", "ended")
	return true, nil
}

// suspectTimeout bounds the append that tells other hosts of a crash.
const suspectTimeout = 2 * time.Second

// tellSuspect tells the other hosts of a crash in the background.
func (h *Host) tellSuspect(fingerprint, crash string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
		defer cancel()
		records := []logstore.Record{encodeSuspect(fingerprint, crash)}
		if err := h.appendAll(ctx, controlPartition, records); err != nil {
			klog.InfoS("crash was not told to other hosts", "fingerprint", fingerprint, "err", err)
		}
	}()
}
