package callers

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/route"
)

// Guards against counting a request both in the load row and in the correction,
// or in neither, and against counting ended requests that a row still includes.
func TestCorrectionOfStaleLoadRows(t *testing.T) {
	p, start := newPendingRequests(), time.Unix(1000, 0)
	before := p.recordStart("r", start)
	p.recordStart("r", start)
	row := &route.Candidate{Replica: "r", ReceivedAt: start.Add(time.Second)} // includes both requests
	must.Eq(t, 0, p.correction(row, start.Add(time.Second)))
	p.recordStart("r", start.Add(2*time.Second))
	must.Eq(t, 1, p.correction(row, start.Add(2*time.Second)))
	before.ended = start.Add(2 * time.Second)
	must.Eq(t, 0, p.correction(row, start.Add(2*time.Second)))
	short := p.recordStart("r", start.Add(2*time.Second))
	short.ended = start.Add(2 * time.Second) // started and ended between two rows
	must.Eq(t, 0, p.correction(row, start.Add(2*time.Second)))
	next := &route.Candidate{Replica: "r", ReceivedAt: start.Add(3 * time.Second)}
	must.Eq(t, 0, p.correction(next, start.Add(3*time.Second)))
}

// Guards against retaining requests of replicas that were removed.
func TestEndedRequestsOfRemovedReplicasAreEvicted(t *testing.T) {
	p, now := newPendingRequests(), time.Unix(1000, 0)
	for i := range 10 * startsPerSweep {
		now = now.Add(100 * time.Millisecond)
		p.recordStart(fmt.Sprint("r", i), now).ended = now
	}
	must.Less(t, 2*startsPerSweep, len(p.byReplica))
}
