package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against reads of payloads that go on, while the store does not answer, for a runner
// whose partition was released or for a job that has ended.
func TestPayloadsAreReadForRunningJobsOnly(t *testing.T) {
	for name, end := range map[string]func(h *hostHandle, id string){
		"partition released": func(h *hostHandle, _ string) { clear(h.runners) },
		"job ended":          func(h *hostHandle, id string) { h.jobs.Get(id).Ended = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 1)
			c.events = 100_000 // the job is open during the test
			h := c.startHost("a")
			job, payloads := newJob("job-1", 1, 1)
			must.Nil(t, h.Submit(context.Background(), job, payloads))
			other := c.newEntryHost("b")
			other.baseCtx = t.Context()
			other.view.setCut(true)
			e := h.jobEntry("job-1")
			page, err := c.store.Read(t.Context(), workPartition(e.Partition), 0, 1<<20, 0)
			must.NoError(t, err)
			other.applyAppended(e.Partition, page.Records)
			r := newRunner(other.Host, e.Partition, 1)
			other.runners[e.Partition] = r
			loaded := make(chan struct{})
			go func() {
				defer close(loaded)
				other.loadJob(other.jobEntry("job-1"), r.runState, nil)
			}()
			select {
			case <-loaded:
				t.Fatal("the payloads are not read")
			case <-time.After(2 * time.Second):
			}
			other.mu.Lock()
			end(other, "job-1")
			other.mu.Unlock()
			select {
			case <-loaded:
			case <-time.After(waitTimeout):
				t.Fatal("the payloads are still being read")
			}
		})
	}
}
