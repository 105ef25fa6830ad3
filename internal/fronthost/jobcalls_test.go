package fronthost

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Guards against a log from which it does not follow why a job could not be read, or
// since when it can be read again.
func TestRefusedCallsOnJobsAreExplained(t *testing.T) {
	c := newTestCluster(t, 2)
	a := c.startHost("a")
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.collect(a, "job-1", 4)

	b := c.startHost("b")
	blobs := blobPartition(modelPartition(b))
	b.view.setSlow(func(p logstore.Partition, _ int64) time.Duration {
		if p == blobs {
			return waitTimeout
		}
		return 0
	})
	_, refusal := b.Results(context.Background(), "job-1", 0, 0)
	must.EqOp(t, causeBlobLate, refusal.cause)
	_, _, refusal = b.ItemBody(context.Background(), "job-1", job.Items[0].ID)
	must.EqOp(t, causeBlobLate, refusal.cause)

	b.view.setSlow(nil)
	_, refusal = b.Results(context.Background(), "job-1", 0, 0)
	must.Nil(t, refusal)

	explained := b.recorder.Explain("job-1")
	must.SliceContainsFunc(t, explained, "job-refused", hasKind)
	must.SliceContainsFunc(t, explained, "job-calls-resumed", hasKind)
}

func hasKind(d telemetry.Decision, kind string) bool { return d.Kind == kind }

func TestCallStats(t *testing.T) {
	var s callStats
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	late, notReady := refuseCall(causeBlobLate, "", ""), refuseCall(causeNotReady, "", "")

	_, refused := s.observe(at(0), nil)
	must.MapEmpty(t, refused)
	for i, refusal := range []*Refusal{notReady, notReady, late} {
		_, refused = s.observe(at(1+i), refusal)
		must.MapEmpty(t, refused)
	}
	lasted, refused := s.observe(at(9), nil)
	must.EqOp(t, 8*time.Second, lasted)
	must.Eq(t, map[refusalCause]int{causeNotReady: 2, causeBlobLate: 1}, refused)
	_, refused = s.observe(at(10), nil)
	must.MapEmpty(t, refused)
}
