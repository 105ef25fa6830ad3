package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a new data centre whose engines that ignore fencing numbers
// get no orders for a lease term although nobody held the lease before, and
// against skipping the wait when there was a former owner.
func TestFirstOwnerDoesNotWaitOutALease(t *testing.T) {
	now := time.Unix(1000, 0)
	apply := func(b *ViewTable, offset int64, r Record) {
		data, err := r.Encode()
		must.NoError(t, err)
		_, verdict, err := b.Apply(now, offset, now, data)
		must.NoError(t, err)
		must.Eq(t, Accepted, verdict)
	}
	book := NewViewTable()
	permit := Authorizer{Views: book, Self: "a", LeaseTerm: 6 * time.Second, LastReadStart: now}
	apply(book, 0, Record{ID: "1", DataCentre: "dc", BaseEpoch: NoEpoch, Hosts: []string{"a"}})
	_, refusal := permit.AuthorizeOrder(now, "r", "dc", false)
	must.Eq(t, Refusal(""), refusal)

	apply(book, 1, Record{ID: "2", DataCentre: "dc", BaseEpoch: 0, Hosts: []string{"b"}})
	apply(book, 2, Record{ID: "3", DataCentre: "dc", BaseEpoch: 1, Hosts: []string{"a"}})
	_, refusal = permit.AuthorizeOrder(now, "r", "dc", false)
	must.Eq(t, Handover, refusal)
}
