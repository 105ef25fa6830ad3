package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a needless wait in a new data centre: its first owner has no
// predecessor whose lease could still run, so it may send orders to engines
// that ignore fencing numbers at once. Also guards against skipping the wait
// when there was a former owner.
func TestFirstOwnerDoesNotWaitForLeaseExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	apply := func(table *ViewTable, offset int64, r Record) {
		data, err := r.Encode()
		must.NoError(t, err)
		_, result, err := table.Apply(now, offset, now, data)
		must.NoError(t, err)
		must.Eq(t, Accepted, result)
	}
	views := NewViewTable()
	authorizer := Authorizer{Views: views, Self: "a", LeaseTerm: 6 * time.Second, LastReadStart: now}
	apply(views, 0, Record{ID: "1", DataCentre: "dc", BaseEpoch: NoEpoch, Hosts: []string{"a"}})
	_, refusal := authorizer.AuthorizeOrder(now, "r", "dc", false)
	must.Eq(t, Refusal(""), refusal)

	apply(views, 1, Record{ID: "2", DataCentre: "dc", BaseEpoch: 0, Hosts: []string{"b"}})
	apply(views, 2, Record{ID: "3", DataCentre: "dc", BaseEpoch: 1, Hosts: []string{"a"}})
	_, refusal = authorizer.AuthorizeOrder(now, "r", "dc", false)
	must.Eq(t, Handover, refusal)
}
