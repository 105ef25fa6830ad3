package fronthost

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against a job that is accepted although it does not fit, against one whose items
// run after its refusal, and against memory that ended jobs keep.
func TestJobBeyondTheMemoryIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	first, firstPayloads := newJob("job-1", 8, 1)
	second, secondPayloads := newJob("job-2", 8, 1)
	footprint := first.Footprint()
	h := c.newEntryHost("a")
	h.Host.account = account.New(account.Limits{Total: 1 << 30, Jobs: 2*footprint.Lasting + 2*footprint.Open})
	c.start(h)
	must.Nil(t, h.Submit(context.Background(), first, firstPayloads))
	large, largePayloads := newJob("job-3", 40, 1)
	refusal := h.Submit(context.Background(), large, largePayloads)
	must.NotNil(t, refusal)
	must.EqOp(t, cluster.OutcomeNotRun, refusal.Outcome)
	must.EqOp(t, cluster.ReasonOverload, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
	must.Nil(t, h.Submit(context.Background(), first, firstPayloads), must.Sprint("an accepted job is refused when it is submitted again"))
	c.collect(h, "job-1", 8)
	must.EqOp(t, footprint.Lasting, h.account.Held(account.Jobs))
	must.Nil(t, h.Submit(context.Background(), second, secondPayloads))
	c.collect(h, "job-2", 8)
	must.EqOp(t, 2*footprint.Lasting, h.account.Held(account.Jobs))
	must.Nil(t, h.jobEntry("job-3"))
}

// Guards against cached blobs that are not counted, or that count after their eviction.
func TestCachedBlobsAreCounted(t *testing.T) {
	store, held := memlog.New(2), account.Unlimited()
	b := newBlobStore(store, 256<<10, 2<<20)
	b.account = held
	for i := range 4 {
		refs, err := b.put(t.Context(), 1, []blob{{key: fmt.Sprintf("b/%d", i), data: bytes.Repeat([]byte{'x'}, maxCacheBytes/2+i)}})
		must.NoError(t, err)
		reader := newBlobStore(store, 256<<10, 2<<20)
		reader.account = account.Unlimited()
		_, err = reader.get(t.Context(), 1, refs)
		must.NoError(t, err)
		must.EqOp(t, refs[0].Bytes, int(reader.account.Held(account.Blobs)), must.Sprint("records of a blob that has arrived are kept"))
		cached := 0
		for _, data := range b.cache {
			cached += len(data)
		}
		must.EqOp(t, cached, int(held.Held(account.Blobs)))
		must.LessEq(t, maxCacheBytes, cached)
	}
}
