package fronthost

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// jobCall is a kind of call on an accepted job.
type jobCall string

const (
	callResults jobCall = "results"
	callBody    jobCall = "body"
	callEnd     jobCall = "end"
)

// refusalCause is why a host could not answer a call on a job. Logs and metrics
// distinguish causes that callers need not: all are a 503 for them.
type refusalCause string

const (
	causeStopping    refusalCause = "stopping"
	causeNotReady    refusalCause = "not-ready"    // job partitions are not listed yet
	causeNotFollowed refusalCause = "not-followed" // the partition of the job is not followed
	causeOutage      refusalCause = "outage"       // the store has not answered for a while
	causeNoAnswer    refusalCause = "no-answer"    // a read or an append got no answer in time
	causeRecords     refusalCause = "records"      // records of the job are missing or invalid
	causeBlobLate    refusalCause = "blob-late"    // outputs or payloads did not arrive in time
	causeBlobMissing refusalCause = "blob-missing" // outputs or payloads are not in the store
	causeCallerLeft  refusalCause = "caller-left"
	causeMemory      refusalCause = "memory" // the host has no memory for outputs or payloads
)

// refuseCall returns a refusal of a call on a job.
func refuseCall(cause refusalCause, reason cluster.Reason, message string) *Refusal {
	return notRunRefusal(reason, message).withCause(cause)
}

// withCause sets the cause of a refusal of a call on a job.
func (r *Refusal) withCause(cause refusalCause) *Refusal {
	if r != nil {
		r.cause = cause
	}
	return r
}

// blobCause returns the cause of a blob that could not be read.
func blobCause(err error) refusalCause {
	if errors.Is(err, errNoBlob) {
		return causeBlobMissing
	}
	return causeBlobLate
}

// callStats sums up the refused calls on jobs until one is answered again.
type callStats struct {
	mu      sync.Mutex
	since   time.Time // first refusal since the last answer; zero if there was none
	refused map[refusalCause]int
}

// observe adds a call. If it was answered and calls were refused before, observe returns
// how long ago the first of these was, and how many there were by cause.
func (s *callStats) observe(now time.Time, refusal *Refusal) (time.Duration, map[refusalCause]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal != nil {
		if s.since.IsZero() {
			s.since, s.refused = now, make(map[refusalCause]int)
		}
		s.refused[refusal.cause]++
		return 0, nil
	}
	if s.since.IsZero() {
		return 0, nil
	}
	lasted, refused := now.Sub(s.since), s.refused
	s.since, s.refused = time.Time{}, nil
	return lasted, refused
}

// recordJobCall logs a refused call on a job, and the first one that is answered again
// after refusals.
func (h *Host) recordJobCall(call jobCall, id string, started time.Time, refusal *Refusal) {
	now := time.Now()
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.cause)
		h.recorder.RecordDecision("job-refused", jobs.CallerID(id), "call", call, "cause", refusal.cause, "took_ms", now.Sub(started).Milliseconds(), "message", refusal.Message)
	}
	h.recorder.Count("job_calls_total", "call", string(call), "outcome", outcome)
	if lasted, refused := h.jobCalls.observe(now, refusal); refused != nil {
		h.recorder.RecordDecision("job-calls-resumed", jobs.CallerID(id), "first_refused_ms", lasted.Milliseconds(), "refused", refused)
	}
}

// watchReadiness logs when the host has read all that it needs to answer callers.
func (h *Host) watchReadiness(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for canForward := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !canForward && h.CanForward() {
			canForward = true
			klog.InfoS("entry host can forward requests", "host", h.settings.Host.ID, "after", time.Since(started))
		}
		if h.CaughtUp() {
			klog.InfoS("entry host has read all jobs", "host", h.settings.Host.ID, "after", time.Since(started))
			return
		}
	}
}
