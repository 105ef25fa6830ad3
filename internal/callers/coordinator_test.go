package callers

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

func uuidV7At(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// Guards against a coordinator that claims to know all attempts of a request ID
// although the request may be older than the process, older than its role as
// the coordinator, or older than the retention of its records.
func TestCoordinatorDetectsIncompleteHistory(t *testing.T) {
	f := newFixture(t, 2, "")
	c := f.hosts[0].controller
	start := time.Now()
	incomplete := func(id string, after time.Duration) bool {
		c.coordinatorMu.Lock()
		defer c.coordinatorMu.Unlock()
		return c.historyIncomplete(id, start.Add(after))
	}
	// Two request IDs made at the same time: host-0 always coordinates the first,
	// and coordinates the second only after host-1 has died.
	own, takenOver, at := "", "", start.Add(50*time.Second)
	for own == "" || takenOver == "" {
		id := uuidV7At(at)
		if findCoordinator(id, "plateau", f.All()).ID == "host-0" {
			own = id
		} else {
			takenOver = id
		}
	}
	c.started = start
	must.False(t, incomplete(own, time.Minute))
	must.True(t, incomplete(own, 4*time.Minute))  // the record may have expired
	must.True(t, incomplete("id-1", time.Minute)) // the request may be older than this process
	c.started = start.Add(48 * time.Second)       // after the ID was made, allowing for clock skew
	must.True(t, incomplete(own, time.Minute))
	c.started = start.Add(-time.Hour)
	must.True(t, incomplete(takenOver, time.Minute))
	f.mu.Lock()
	f.hosts[1].member.State = cluster.MemberDead
	f.mu.Unlock()
	must.True(t, incomplete(takenOver, 70*time.Second)) // host-1 may have recorded an attempt
	later := takenOver
	for rendezvousHash("host-1", later) < rendezvousHash("host-0", later) || later == takenOver {
		later = uuidV7At(start.Add(80 * time.Second))
	}
	must.False(t, incomplete(later, 90*time.Second)) // made after host-1 died
}
