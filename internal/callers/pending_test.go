package callers

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/route"
)

// Guards against requests that are counted twice, in the load row and by this
// host, or not at all, and against rows that still show ended requests.
func TestCorrectionOfLaggedRows(t *testing.T) {
	p, start := newPending(), time.Unix(1000, 0)
	before := p.start("r", start)
	p.start("r", start)
	row := &route.Candidate{Replica: "r", ReceivedAt: start.Add(time.Second)} // shows both
	must.Eq(t, 0, p.correction(row, start.Add(time.Second)))
	p.start("r", start.Add(2*time.Second))
	must.Eq(t, 1, p.correction(row, start.Add(2*time.Second)))
	before.ended = start.Add(2 * time.Second)
	must.Eq(t, 0, p.correction(row, start.Add(2*time.Second)))
	short := p.start("r", start.Add(2*time.Second))
	short.ended = start.Add(2 * time.Second) // in no row
	must.Eq(t, 0, p.correction(row, start.Add(2*time.Second)))
	next := &route.Candidate{Replica: "r", ReceivedAt: start.Add(3 * time.Second)}
	must.Eq(t, 0, p.correction(next, start.Add(3*time.Second)))
}

// Guards against memory of replicas that are gone.
func TestEndedRequestsOfGoneReplicasAreForgotten(t *testing.T) {
	p, now := newPending(), time.Unix(1000, 0)
	for i := range 10 * sweepEvery {
		now = now.Add(100 * time.Millisecond)
		p.start(fmt.Sprint("r", i), now).ended = now
	}
	must.Less(t, 2*sweepEvery, len(p.byReplica))
}
