package fronthost

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// loadRetry is the pause between two attempts to read a job's payloads.
const loadRetry = 100 * time.Millisecond

// maxLoadTimeout bounds an attempt of a runner to read a job's payloads. The timeout
// doubles with each attempt, so that large payloads arrive on slow links, too.
const maxLoadTimeout = 8 * time.Second

// maxLoadBytes bounds the payloads and partial outputs that the runners of a host read at a
// time, or one that is larger: a host that takes over a partition needs those of all its
// jobs, and reading takes several times their size.
const maxLoadBytes = 4 << 20

// loadPayloads reports whether a job's payloads are loaded. The first call starts to
// read them, and the stored partial outputs of the job's items, in the background.
// The caller holds host.mu.
func (r *runner) loadPayloads(e *jobs.Entry) bool {
	payloads, known := r.payloads[e.Job.ID]
	if known {
		return payloads != nil
	}
	r.payloads[e.Job.ID] = nil
	refs := make(map[string]jobs.BlobRef)
	for i := range e.Job.Items {
		id := e.Job.Items[i].ID
		if _, loaded := r.partials[id]; loaded {
			continue
		}
		if ref, ok := r.host.jobs.Partial(id); ok {
			refs[id] = ref
		}
	}
	go r.host.loadJob(e, r.runState, refs)
	return false
}

// loadJob reads a job's payloads and partial outputs into the state of a runner. It
// retries until the payloads are read, the runner or the job ends, or the host stops.
func (h *Host) loadJob(e *jobs.Entry, state *runState, refs map[string]jobs.BlobRef) {
	ctx := h.baseCtx
	size := int64(e.Job.Payloads.Bytes)
	for _, ref := range refs {
		size += int64(ref.Bytes)
	}
	size = min(size, maxLoadBytes)
	var partials map[string]jobs.Partial
	for timeout := confirmTimeout; ctx.Err() == nil && h.needsPayloads(e, state); timeout = min(2*timeout, maxLoadTimeout) {
		if h.loads.Acquire(ctx, size) != nil {
			return
		}
		if partials == nil {
			partials = h.readPartials(ctx, e.Partition, refs)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		payloads, err := h.readPayloads(attemptCtx, e)
		cancel()
		h.loads.Release(size)
		if err != nil {
			klog.InfoS("payloads not read, retrying", "job", jobs.CallerID(e.Job.ID), "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(loadRetry):
			}
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		state.payloads[e.Job.ID] = payloads
		for id, partial := range partials {
			state.partials[id] = retainedPartial{partial, time.Now()}
		}
		h.wakeRunners()
		return
	}
}

// needsPayloads reports whether a runner with the given state runs a job.
func (h *Host) needsPayloads(e *jobs.Entry, state *runState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known := h.jobs.Get(e.Job.ID); known == nil || known.Ended {
		return false
	}
	for _, r := range h.runners {
		if r.runState == state {
			return true
		}
	}
	return false
}

// readPartials reads stored partial outputs. Items whose partial output cannot be
// read start from the beginning.
func (h *Host) readPartials(ctx context.Context, partition int, refs map[string]jobs.BlobRef) map[string]jobs.Partial {
	partials := make(map[string]jobs.Partial, len(refs))
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for id, ref := range refs {
		reads.Go(func() error {
			p, err := h.readPartial(ctx, partition, ref)
			if err != nil {
				klog.InfoS("partial output not used", "item", jobs.CallerID(id), "err", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			partials[id] = p
			return nil
		})
	}
	_ = reads.Wait() // the reads log their errors
	return partials
}

func (h *Host) readPartial(ctx context.Context, partition int, ref jobs.BlobRef) (jobs.Partial, error) {
	var p jobs.Partial
	data, err := h.blobs.get(ctx, partition, []jobs.BlobRef{ref})
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(data[0], &p); err != nil {
		return p, eris.Wrap(err, "decode the partial output")
	}
	if len(p.Events) != len(p.Versions) {
		return p, fmt.Errorf("partial output has %d events and %d versions", len(p.Events), len(p.Versions))
	}
	return p, nil
}

// takePartial removes and returns the partial output of an item from earlier runs.
// The caller holds host.mu.
func (r *runner) takePartial(item string) (jobs.Partial, bool) {
	retained, ok := r.partials[item]
	delete(r.partials, item)
	return retained.partial, ok
}

// evictStale evicts partial outputs that no job requested within partialRetention,
// the scheduler's state of replicas that are gone, and the logged progress of jobs
// that ended or were removed.
func (r *runner) evictStale(now time.Time) {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	r.scheduler.RetainReplicas(r.host.state.MayReturn)
	for id, retained := range r.partials {
		if now.Sub(retained.since) > partialRetention {
			delete(r.partials, id)
		}
	}
	for key := range r.loggedProgress {
		job, _, _ := strings.Cut(key, "/")
		if e := r.host.jobs.Get(job); e == nil || e.Ended {
			delete(r.loggedProgress, key)
		}
	}
}

// releaseEnded releases the payloads and the scheduler's state of jobs that ended, have all
// results or were removed. The caller holds host.mu.
func (r *runner) releaseEnded() {
	for id := range r.payloads {
		if e := r.host.jobs.Get(id); e == nil || e.IsDone() {
			delete(r.payloads, id)
			r.scheduler.RemoveJob(id)
		}
	}
}
