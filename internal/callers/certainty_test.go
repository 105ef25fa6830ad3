package callers

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

func idMadeAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// Guards against a home that vouches for the time before it started, before it
// became home, or before its records expired.
func TestHomeIsOnlySureOfWhatItSaw(t *testing.T) {
	f := newFixture(t, 2, "")
	c := f.hosts[0].controller
	start := time.Now()
	unsure := func(id string, after time.Duration) bool {
		c.homeMu.Lock()
		defer c.homeMu.Unlock()
		return c.unsure(id, start.Add(after))
	}
	// IDs whose home is always, and only after host-1 died, host-0.
	own, taken, at := "", "", start.Add(50*time.Second)
	for own == "" || taken == "" {
		id := idMadeAt(at)
		if homeIn(id, "plateau", f.All()).ID == "host-0" {
			own = id
		} else {
			taken = id
		}
	}
	c.started = start
	must.False(t, unsure(own, time.Minute))
	must.True(t, unsure(own, 4*time.Minute))  // its records may have expired
	must.True(t, unsure("id-1", time.Minute)) // may be older than this process
	c.started = start.Add(48 * time.Second)   // with the clock skew, after the ID
	must.True(t, unsure(own, time.Minute))
	c.started = start.Add(-time.Hour)
	must.True(t, unsure(taken, time.Minute))
	f.mu.Lock()
	f.hosts[1].member.State = cluster.MemberDead
	f.mu.Unlock()
	must.True(t, unsure(taken, 70*time.Second)) // host-1 may know of an attempt
	later := taken
	for homeHash("host-1", later) < homeHash("host-0", later) || later == taken {
		later = idMadeAt(start.Add(80 * time.Second))
	}
	must.False(t, unsure(later, 90*time.Second)) // made after host-1 was gone
}
