package fronthost

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Timeouts and limits of calls on jobs.
const (
	// submitTimeout bounds how long a submission waits for the store. A trainer
	// that receives no response submits again at another host.
	submitTimeout = 1500 * time.Millisecond
	// callTimeout bounds the reads of the store that a call on a job waits for, in
	// addition to the time that its caller allows it to wait. Callers wait 1.5 s longer
	// than that; the rest is for the ways there and back, on hosts with little CPU.
	callTimeout = 1350 * time.Millisecond
	// pagePatience is the time after which a page of results is not delayed any more for
	// outputs that have not arrived, if it has at least one.
	pagePatience = 700 * time.Millisecond
	// confirmTimeout bounds the reads by which a submission checks other partitions, and
	// the first attempt of a runner to read payloads.
	confirmTimeout = 700 * time.Millisecond
	// maxReadStaleness is the staleness of a partition up to which reads are
	// answered from memory: a result read at one host must be visible at all hosts
	// 1 s later.
	maxReadStaleness = 600 * time.Millisecond
	// storeRetryAfter is the delay after which a caller should retry when the store
	// refused a call or is unavailable.
	storeRetryAfter = 100 * time.Millisecond
	// maxPageBytes bounds the outputs of one page of results.
	maxPageBytes = 900 << 10
)

// Submit accepts a job. A nil refusal means that the job is in the store and
// survives the failure of all hosts.
func (h *Host) Submit(ctx context.Context, job *jobs.Job, payloads []jobs.Payload) *Refusal {
	started := time.Now()
	// A caller that disconnects must not abort a submission halfway.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	refusal := h.submit(ctx, job, payloads)
	details := []any{"model", job.Model, "step", job.Step, "items", len(job.Items), "min_version", job.MinVersion, "took_ms", time.Since(started).Milliseconds()}
	if job.Workspace != "" {
		details = append(details, "workspace", job.Workspace)
	}
	outcome := "accepted"
	if refusal != nil {
		outcome = string(refusal.Reason)
		details = append(details, "message", refusal.Message, "not_run", refusal.Outcome == cluster.OutcomeNotRun)
	}
	h.recorder.RecordDecision("submit", jobs.CallerID(job.ID), append(details, "outcome", outcome)...)
	h.recorder.Count("jobs_submitted_total", "outcome", outcome)
	return refusal
}

func (h *Host) submit(ctx context.Context, job *jobs.Job, payloads []jobs.Payload) *Refusal {
	if h.jobEntry(job.ID) != nil {
		return nil
	}
	if refusal := h.refuseJobCall(job.ID); refusal != nil {
		return refusal
	}
	data, err := json.Marshal(payloads)
	if err != nil {
		return notRunRefusal(cluster.ReasonBadRequest, err.Error())
	}
	job.Payloads.Bytes = len(data)
	needed := job.Footprint().Bytes()
	storing := min(needed, submissionBytes(h.account))
	if err := h.submissions.Acquire(ctx, storing); err != nil {
		refusal := notRunRefusal(cluster.ReasonOverload, "jobs that are being stored take the memory for them")
		refusal.RetryAfter = storeRetryAfter
		return refusal
	}
	defer h.submissions.Release(storing)
	if !h.account.Take(account.Jobs, needed) {
		return h.refuseJobMemory(job, needed)
	}
	defer h.account.Add(account.Jobs, -needed) // the table counts an accepted job
	h.mu.Lock()
	partition := h.partitionOf(job.Model)
	follower := h.followers[partition]
	declared := h.state.Config != nil && h.state.Config.ServiceOf(job.Model) != ""
	if h.state.Config != nil {
		if route := h.state.Config.JobRoute(job.Host, job.Path, ""); route != nil {
			job.Terms = jobs.NewTerms(route)
		}
	}
	h.mu.Unlock()
	if !declared {
		// No host follows the partition of an undeclared model. A newer configuration
		// may declare it.
		refusal := notRunRefusal(cluster.ReasonNoReplica, fmt.Sprintf("no service declares the model %q", job.Model))
		refusal.RetryAfter = storeRetryAfter
		return refusal
	}
	if follower == nil {
		return h.RefuseNotReady(jobs.CallerID(job.ID))
	}
	if follower.StoreUnavailable() {
		return storeUnavailableRefusal()
	}
	known, refusal := h.isInFormerPartition(ctx, job.ID)
	if known || refusal != nil {
		return refusal
	}
	refs, err := h.blobs.put(ctx, partition, []blob{{key: "b/" + job.ID, data: data}})
	if err != nil {
		// No record of the job itself was sent yet, so none of its items can run.
		refusal := notRunRefusal(cluster.ReasonLogUnavailable, err.Error())
		refusal.RetryAfter = storeRetryAfter
		return refusal
	}
	job.Payloads = refs[0]
	records, err := jobs.EncodeJob(job, h.settings.Platform.Store.RecordBytes)
	if err != nil {
		return notRunRefusal(cluster.ReasonBadRequest, err.Error())
	}
	if err := h.appendAll(ctx, partition, records); err != nil {
		return appendErrorRefusal(err)
	}
	h.applyAppended(partition, records)
	return nil
}

// submissionShare is the share of the memory for jobs that a host stores at a time. Several
// hosts that do not know of each other's submissions yet can exceed the limit by it.
const submissionShare = 1.0 / 16

// submissionBytes returns the bytes of jobs that a host stores at a time. A job that is
// larger is stored alone.
func submissionBytes(a *account.Account) int64 {
	return max(int64(float64(a.Limits().Jobs)*submissionShare), 1)
}

// jobMemoryRetryAfter is the delay after which a caller should retry when this host has no
// memory for a job. Other hosts may have some; here it returns when jobs end.
const jobMemoryRetryAfter = time.Second

// refuseJobMemory refuses a job for which this host has no memory.
func (h *Host) refuseJobMemory(job *jobs.Job, needed int64) *Refusal {
	held, limit := h.account.Held(account.Jobs), h.account.Limits().Jobs
	h.recorder.Count("jobs_refused_for_memory_total")
	klog.InfoS("job refused for memory", "job", jobs.CallerID(job.ID), "items", len(job.Items), "needed_bytes", needed, "held_bytes", held, "limit_bytes", limit)
	refusal := notRunRefusal(cluster.ReasonOverload, fmt.Sprintf("a job of %d bytes does not fit beside accepted jobs of %d bytes, the limit is %d", needed, held, limit))
	refusal.RetryAfter = jobMemoryRetryAfter
	return refusal
}

// isInFormerPartition reports whether a job lies in a partition that the current
// configuration selects for none of its models. A submission that is repeated after a
// change of the configuration must not be accepted a second time.
func (h *Host) isInFormerPartition(ctx context.Context, id string) (bool, *Refusal) {
	select {
	case <-h.surveyed:
	case <-time.After(confirmTimeout):
		h.recorder.RecordDecision("job-uncertain", jobs.CallerID(id), "err", "the partitions that hold jobs are not known yet")
		refusal := notRunRefusal(cluster.ReasonLogUnavailable, "the store does not say which partitions hold jobs")
		refusal.RetryAfter = storeRetryAfter
		return false, refusal
	case <-ctx.Done():
		return false, notRunRefusal(cluster.ReasonLogUnavailable, "the store does not say which partitions hold jobs")
	}
	present := h.modelPartitions(h.Config())
	h.mu.Lock()
	followers := maps.Clone(h.followers)
	h.mu.Unlock()
	for p, f := range followers {
		if p != controlPartition && !slices.Contains(present, p) && !f.HasSynced() {
			return false, h.RefuseNotReady(jobs.CallerID(id))
		}
	}
	return h.jobEntry(id) != nil, nil
}

// surveyTimeout bounds one attempt to find out which partitions hold jobs.
const surveyTimeout = 3 * time.Second

// survey follows the partitions that hold jobs at the start of the host. Submissions wait
// for it. It goes on until the store has answered, because a submission that began it anew
// would never see its end while the store is slow.
func (h *Host) survey(ctx context.Context) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
		err := h.followWritten(attemptCtx)
		cancel()
		if err == nil {
			close(h.surveyed)
			return
		}
		klog.InfoS("partitions that hold jobs are not known yet", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(surveyRetry):
		}
	}
}

// surveyRetry is the pause after a failed survey.
const surveyRetry = 200 * time.Millisecond

// storeUnavailableRefusal refuses a call immediately while the store is unavailable
// to this host. Other hosts may reach the store.
func storeUnavailableRefusal() *Refusal {
	refusal := notRunRefusal(cluster.ReasonLogUnavailable, "the store does not answer this host")
	refusal.RetryAfter = storeRetryAfter
	return refusal
}

// appendErrorRefusal maps the error of an append to a refusal. Only a refusal by the
// store itself proves that the records will not be appended.
func appendErrorRefusal(err error) *Refusal {
	if errors.Is(err, logstore.ErrUnavailable) || errors.Is(err, logstore.ErrFull) {
		refusal := notRunRefusal(cluster.ReasonLogUnavailable, err.Error())
		refusal.RetryAfter = storeRetryAfter
		return refusal
	}
	return unknownRefusal(cluster.ReasonDeadline, err.Error())
}

// appendAll appends records in calls within the store's size limit. An error after
// the first call leaves the outcome unknown.
func (h *Host) appendAll(ctx context.Context, partition int, records []logstore.Record) error {
	for first := true; len(records) > 0; first = false {
		n := recordsThatFit(records, h.settings.Platform.Store.AppendBytes)
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

// recordFraming is an upper bound, in bytes, of the store's overhead per record.
const recordFraming = 16

// recordsThatFit returns how many of the records, at least one, fit into one append
// of limit bytes.
func recordsThatFit(records []logstore.Record, limit int) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordFraming
		if i > 0 && size > limit {
			return i
		}
	}
	return len(records)
}

// applyAppended applies records that this host has just appended, before the
// follower reads them back.
func (h *Host) applyAppended(partition int, records []logstore.Record) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		if err := h.applyWorkRecord(partition, r, false, now); err != nil {
			klog.ErrorS(err, "appended record could not be applied", "key", r.Key)
		}
	}
	if r := h.runners[partition]; r != nil {
		r.wake()
	}
}

func (h *Host) jobEntry(id string) *jobs.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs.Get(id)
}

// findJob returns a job. If the job is unknown, findJob first catches up with the
// store. A nil entry without a refusal means that the job does not exist.
func (h *Host) findJob(ctx context.Context, id string) (*jobs.Entry, *Refusal) {
	if e := h.jobEntry(id); e != nil {
		return e, nil
	}
	if !h.CaughtUp() {
		// The job may be in a partition that this host has not read yet.
		return nil, h.RefuseNotReady(jobs.CallerID(id)).withCause(causeNotReady)
	}
	if slices.ContainsFunc(h.allFollowers(), (*logstore.Follower).StoreUnavailable) {
		h.recorder.RecordDecision("job-uncertain", jobs.CallerID(id), "err", "the store does not answer")
		return nil, storeUnavailableRefusal().withCause(causeOutage)
	}
	failed := h.catchUp(ctx)
	if e := h.jobEntry(id); e != nil {
		return e, nil
	}
	if failed != nil {
		h.recorder.RecordDecision("job-uncertain", jobs.CallerID(id), "err", failed.Error())
		return nil, refuseCall(causeNoAnswer, cluster.ReasonLogUnavailable, "the store does not say whether the job exists")
	}
	h.mu.Lock()
	unreadable := h.jobs.Unreadable(id)
	h.mu.Unlock()
	if unreadable {
		h.recorder.RecordDecision("job-uncertain", jobs.CallerID(id), "err", "records of the job are missing or invalid")
		return nil, refuseCall(causeRecords, cluster.ReasonLogUnavailable, "the store has no complete records of the job")
	}
	h.recordDenied(id)
	return nil, nil
}

// catchUp reads all partitions that hold jobs up to their end.
func (h *Host) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	followed := h.allFollowers()
	var reads errgroup.Group
	for _, f := range followed {
		reads.Go(func() error { return f.CatchUp(ctx) })
	}
	err := h.followWritten(ctx)
	for _, f := range h.allFollowers() {
		if !slices.Contains(followed, f) {
			reads.Go(func() error { return f.CatchUp(ctx) })
		}
	}
	return cmp.Or(reads.Wait(), err)
}

// storeIsAway reports whether the store answers no read of any partition. An outage of some
// partitions does not prevent the read of a blob.
func (h *Host) storeIsAway() bool {
	followers := append(h.allFollowers(), h.operatorFollower, h.serverFollower)
	return !slices.ContainsFunc(followers, func(f *logstore.Follower) bool { return !f.StoreUnavailable() })
}

func (h *Host) allFollowers() []*logstore.Follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.followers))
}

// recordDenied logs how far the partitions were read when the host found that a job
// does not exist.
func (h *Host) recordDenied(id string) {
	h.mu.Lock()
	followers := maps.Clone(h.followers)
	config := h.state.Config.Version
	h.mu.Unlock()
	details := []any{"config", config}
	for _, n := range slices.Sorted(maps.Keys(followers)) {
		offset, staleness := followers[n].Progress()
		details = append(details, fmt.Sprintf("partition_%d", n), fmt.Sprintf("read to offset %d, %d ms ago", offset, staleness.Milliseconds()))
	}
	h.recorder.RecordDecision("job-denied", jobs.CallerID(id), details...)
	h.recorder.Count("jobs_denied_total")
}

// Results is one page of a job's results.
type Results struct {
	Total   int
	Next    int
	Results []jobs.Result
	Outputs []string // output of each result
}

// Results returns the results of a job from position after on. If there are none, it
// waits for one, at most for the given time. A nil page without a refusal means that
// the job does not exist.
func (h *Host) Results(ctx context.Context, id string, after int, wait time.Duration) (*Results, *Refusal) {
	started := time.Now()
	page, refusal := h.results(ctx, id, after, wait)
	h.recordJobCall(callResults, id, started, refusal)
	return page, refusal
}

func (h *Host) results(ctx context.Context, id string, after int, wait time.Duration) (*Results, *Refusal) {
	if refusal := h.refuseJobCall(id); refusal != nil {
		return nil, refusal
	}
	if h.draining.Load() {
		wait = 0 // the caller waits at another host
	}
	deadline := time.Now().Add(wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(callTimeout))
	defer cancel()
	e, refusal := h.findJob(ctx, id)
	if e == nil {
		return nil, refusal
	}
	f := h.follower(e.Partition)
	if f == nil {
		return nil, refuseCall(causeNotFollowed, cluster.ReasonNotReady, fmt.Sprintf("the host does not follow partition %d", e.Partition))
	}
	confirmed := false // the partition was read to its end since the last wait
	for {
		h.mu.Lock()
		page := e.Page(after, maxPageBytes)
		total, changed, ended := len(e.Job.Items), e.Changed(), e.Ended
		complete := len(e.Results) == total
		h.mu.Unlock()
		if len(page) > 0 {
			return h.withOutputs(ctx, e, &Results{Total: total, Next: after + len(page), Results: page})
		}
		if complete {
			return &Results{Total: total, Next: after}, nil // no result can follow
		}
		stale := !confirmed && f.Staleness() > maxReadStaleness
		if stale && f.StoreUnavailable() {
			return nil, storeUnavailableRefusal().withCause(causeOutage)
		}
		if stale {
			catchUpCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := f.CatchUp(catchUpCtx)
			cancel()
			if err != nil {
				return nil, refuseCall(causeNoAnswer, cluster.ReasonLogUnavailable, "the store does not say whether there are more results")
			}
			confirmed = true
			continue
		}
		left := time.Until(deadline)
		if left <= 0 || ended {
			return &Results{Total: total, Next: after}, nil
		}
		// Check again before the staleness bound is reached.
		timer := time.NewTimer(min(left, maxReadStaleness/2))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refuseCall(causeCallerLeft, cluster.ReasonDeadline, "the caller left")
		}
		timer.Stop()
		confirmed = false
	}
}

// withOutputs adds the outputs of a page's results. The page ends before the first output
// that does not arrive in time.
func (h *Host) withOutputs(ctx context.Context, e *jobs.Entry, page *Results) (*Results, *Refusal) {
	refs := make([]jobs.BlobRef, len(page.Results))
	for i, r := range page.Results {
		refs[i] = r.Output
	}
	if !h.blobs.isCached(refs[0]) && h.storeIsAway() {
		return nil, storeUnavailableRefusal().withCause(causeOutage)
	}
	if refusal := holdForCall(ctx, pageCopies, refs); refusal != nil {
		return nil, refusal
	}
	patience, cancel := context.WithTimeout(ctx, pagePatience)
	defer cancel()
	outputs, err := h.blobs.getSome(ctx, patience, e.Partition, refs)
	for i, output := range outputs {
		if output == nil && refs[i].Bytes > 0 {
			break
		}
		page.Outputs = append(page.Outputs, string(output))
	}
	if err != nil {
		h.recorder.RecordDecision("texts-unavailable", jobs.CallerID(e.Job.ID), "after", page.Next-len(page.Results), "wanted", len(refs), "read", len(page.Outputs), "cause", blobCause(err), "err", err.Error())
	}
	if len(page.Outputs) == 0 {
		return nil, refuseCall(blobCause(err), cluster.ReasonLogUnavailable, "the store does not return the texts")
	}
	page.Next -= len(refs) - len(page.Outputs)
	page.Results = page.Results[:len(page.Outputs)]
	return page, nil
}

// Copies of blobs that a call on a job makes: the records, the blob, its text or its
// decoded form, and the response.
const (
	pageCopies    = 4
	payloadCopies = 4
)

// holdForCall counts the blobs that a call reads with its caller.
func holdForCall(ctx context.Context, copies int64, refs []jobs.BlobRef) *Refusal {
	size := int64(0)
	for _, ref := range refs {
		size += int64(ref.Bytes)
	}
	if err := intake.Hold(ctx, copies*size); err != nil {
		return (&Refusal{Refusal: *intake.BodyRefusal(err)}).withCause(causeMemory)
	}
	return nil
}

// ItemBody returns the body of an item. found is false if there is no such item.
func (h *Host) ItemBody(ctx context.Context, job, item string) (body []byte, found bool, refusal *Refusal) {
	started := time.Now()
	body, found, refusal = h.itemBody(ctx, job, item)
	h.recordJobCall(callBody, job, started, refusal)
	return body, found, refusal
}

func (h *Host) itemBody(ctx context.Context, job, item string) (body []byte, found bool, refusal *Refusal) {
	if refusal := h.refuseJobCall(job); refusal != nil {
		return nil, false, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, refusal := h.findJob(ctx, job)
	if e == nil {
		return nil, false, refusal
	}
	i := e.Index(item)
	if i < 0 {
		return nil, false, nil
	}
	if !h.blobs.isCached(e.Job.Payloads) && h.storeIsAway() {
		return nil, false, storeUnavailableRefusal().withCause(causeOutage)
	}
	if refusal := holdForCall(ctx, payloadCopies, []jobs.BlobRef{e.Job.Payloads}); refusal != nil {
		return nil, false, refusal
	}
	payload, err := h.readPayload(ctx, e, i)
	if err != nil {
		h.recorder.RecordDecision("body-unavailable", jobs.CallerID(item), "job", jobs.CallerID(job), "cause", blobCause(err), "err", err.Error())
		return nil, false, refuseCall(blobCause(err), cluster.ReasonLogUnavailable, "the store does not return the item")
	}
	return payload.Body, true, nil
}

// readPayload reads the payload of one of a job's items.
func (h *Host) readPayload(ctx context.Context, e *jobs.Entry, index int) (jobs.Payload, error) {
	data, err := h.blobs.get(ctx, e.Partition, []jobs.BlobRef{e.Job.Payloads})
	if err != nil {
		return jobs.Payload{}, err
	}
	return jobs.DecodePayload(data[0], index)
}

// readPayloads reads the payloads of a job's items.
func (h *Host) readPayloads(ctx context.Context, e *jobs.Entry) ([]jobs.Payload, error) {
	data, err := h.blobs.get(ctx, e.Partition, []jobs.BlobRef{e.Job.Payloads})
	if err != nil {
		return nil, err
	}
	var payloads []jobs.Payload
	if err := json.Unmarshal(data[0], &payloads); err != nil {
		return nil, eris.Wrap(err, "decode payloads")
	}
	if len(payloads) != len(e.Job.Items) {
		return nil, fmt.Errorf("job %s has %d items and %d payloads", jobs.CallerID(e.Job.ID), len(e.Job.Items), len(payloads))
	}
	return payloads, nil
}

// EndJob ends a job. found is false if there is no such job.
func (h *Host) EndJob(ctx context.Context, id string) (found bool, refusal *Refusal) {
	started := time.Now()
	found, refusal = h.endJob(ctx, id)
	h.recordJobCall(callEnd, id, started, refusal)
	return found, refusal
}

func (h *Host) endJob(ctx context.Context, id string) (found bool, refusal *Refusal) {
	if refusal := h.refuseJobCall(id); refusal != nil {
		return false, refusal
	}
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
		h.recorder.RecordDecision("end", jobs.CallerID(id), "outcome", "the store does not answer")
		return true, storeUnavailableRefusal().withCause(causeOutage)
	}
	records := []logstore.Record{jobs.EncodeEnd(id)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	if err := h.appendAll(ctx, e.Partition, records); err != nil {
		h.recorder.RecordDecision("end", jobs.CallerID(id), "outcome", err.Error())
		return true, appendErrorRefusal(err).withCause(causeNoAnswer)
	}
	h.applyAppended(e.Partition, records)
	h.recorder.RecordDecision("end", jobs.CallerID(id), "outcome", "ended")
	return true, nil
}
