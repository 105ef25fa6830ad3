package fronthost

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Guards against hosts that all start at once, each ask for a record of up to 256 KB, and ask
// again for as long as the store, which is busy with that, does not answer.
func TestStartingHostReadsTheEndOfBlobsOnce(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)
	blobs := blobPartition(modelPartition(a))
	b := c.newEntryHost("b")
	b.settings.Limits.CPUShare = 0.2 // it owns no partition, so it loads no jobs to run them
	var mu sync.Mutex
	var offsets []int64
	b.view.setSlow(func(p logstore.Partition, from int64) time.Duration {
		if p != blobs {
			return 0
		}
		mu.Lock()
		defer mu.Unlock()
		offsets = append(offsets, from)
		return waitTimeout
	})
	b.start(t.Context())
	c.waitUntil("the host is ready", b.Ready)
	time.Sleep(fetchTimeout + 2*time.Second)
	b.mu.Lock()
	end := b.jobs.EndOfBlobs(blobs.Number)
	b.mu.Unlock()
	must.Positive(t, end)
	mu.Lock()
	defer mu.Unlock()
	must.Eq(t, []int64{end}, offsets)
}
