package fronthost

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
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
