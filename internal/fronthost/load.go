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

// loadRetry is the pause before a job's payloads are read again.
const loadRetry = 100 * time.Millisecond

// load reads a job's payloads and stored texts in the background, and reports
// whether they are there. The caller holds host.mu.
func (r *runner) load(e *jobs.Entry) bool {
	payloads, known := r.loaded[e.Job.ID]
	if known {
		return payloads != nil
	}
	r.loaded[e.Job.ID] = nil
	refs := make(map[string]jobs.BlobRef)
	for i := range e.Job.Items {
		id := e.Job.Items[i].ID
		if _, here := r.texts[id]; here {
			continue
		}
		if ref, ok := r.host.jobs.Partial(id); ok {
			refs[id] = ref
		}
	}
	go r.host.readJob(e, r.runs, refs)
	return false
}

func (h *Host) readJob(e *jobs.Entry, into *runs, refs map[string]jobs.BlobRef) {
	ctx := h.work
	texts := h.readTexts(ctx, e.Partition, refs)
	for ctx.Err() == nil {
		payloads, err := h.payloads(ctx, e)
		if err != nil {
			klog.InfoS("payloads are not read yet", "job", e.Job.ID, "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(loadRetry):
			}
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		into.loaded[e.Job.ID] = payloads
		for id, text := range texts {
			into.texts[id] = keptText{text, time.Now()}
		}
		h.wakeRunners()
		return
	}
}

// readTexts reads stored texts of unfinished runs. Items without them start from
// the beginning.
func (h *Host) readTexts(ctx context.Context, partition int, refs map[string]jobs.BlobRef) map[string]jobs.Partial {
	texts := make(map[string]jobs.Partial, len(refs))
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for id, ref := range refs {
		reads.Go(func() error {
			p, err := h.readText(ctx, partition, ref)
			if err != nil {
				klog.InfoS("text of an unfinished run is not used", "item", id, "err", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			texts[id] = p
			return nil
		})
	}
	_ = reads.Wait() // the reads log their errors
	return texts
}

func (h *Host) readText(ctx context.Context, partition int, ref jobs.BlobRef) (jobs.Partial, error) {
	var p jobs.Partial
	data, err := h.blobs.get(ctx, partition, []jobs.BlobRef{ref})
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(data[0], &p); err != nil {
		return p, eris.Wrap(err, "decode the text")
	}
	if len(p.Events) != len(p.Versions) {
		return p, fmt.Errorf("text has %d events and %d versions", len(p.Events), len(p.Versions))
	}
	return p, nil
}

// stored returns the unfinished text of an item from earlier runs. The caller
// holds host.mu.
func (r *runner) stored(item string) (jobs.Partial, bool) {
	kept, ok := r.texts[item]
	delete(r.texts, item)
	return kept.partial, ok
}

// forgetOld drops texts that no job has asked for in time, and what is known of
// texts in the log for jobs, and of replicas, that are gone.
func (r *runner) forgetOld(now time.Time) {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	r.board.RetainReplicas(func(replica string) bool { return r.host.state.Servers.Get(replica) != nil })
	for id, kept := range r.texts {
		if now.Sub(kept.since) > textLifetime {
			delete(r.texts, id)
		}
	}
	for key := range r.seen {
		job, _, _ := strings.Cut(key, "/")
		if e := r.host.jobs.Get(job); e == nil || e.Ended {
			delete(r.seen, key)
		}
	}
}

// forget drops what was loaded for jobs that ended. The caller holds host.mu.
func (r *runner) forget() {
	for id := range r.loaded {
		if e := r.host.jobs.Get(id); e == nil || e.Ended {
			delete(r.loaded, id)
			r.board.RemoveJob(id)
		}
	}
}
