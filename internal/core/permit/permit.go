// Package permit decides until when the owner of a partition may send items to backend
// servers.
//
// Every host can end a job, and the owner learns of it from its reads of the partition. So
// what it knows holds as of the last complete read, and its permission to send items
// expires a time after that read, whether or not the owner can reach the store.
//
// The package has no I/O and no clock.
package permit

import "time"

// Shares of the end grace, and limits.
const (
	// marginShare is the part of the grace that is kept for the time between the expiry of
	// a permission and the moment from which nothing can reach the server any more: a late
	// timer of a host with little CPU, and bytes that are in flight.
	marginShare = 8
	// maxDelivery is the time before the expiry from which nothing new is sent. It covers a
	// dial and a packet that is sent twice.
	maxDelivery = 300 * time.Millisecond
)

// Terms are the terms under which items may be sent.
type Terms struct {
	// EndGrace is how long after the acknowledged end of a job its items may still reach
	// backend servers.
	EndGrace time.Duration
}

// Expiry returns when the permission expires that rests on a read of the partition which
// was complete as of a time.
func (t Terms) Expiry(asOf time.Time) time.Time {
	return asOf.Add(t.EndGrace - t.EndGrace/marginShare)
}

// Allows reports whether an item that is sent now under the permission of such a read is
// expected to arrive before it expires.
func (t Terms) Allows(asOf, now time.Time) bool {
	return now.Add(min(maxDelivery, t.EndGrace/marginShare)).Before(t.Expiry(asOf))
}
