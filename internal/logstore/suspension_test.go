package logstore_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// suspension is longer than every bound within which a host relies on the store.
const suspension = 5 * time.Second

// Guards against a member that counts partitions as its own after the machine was
// suspended for longer than the membership lasts.
func TestSuspendedMemberOwnsNothing(t *testing.T) {
	var suspended time.Duration
	group := logstore.NewGroup(memlog.New(2), logstore.Membership{Group: "group", Member: "member", Topic: "topic", TTL: time.Second}, func() {})
	group.SetClock(func() time.Time { return time.Unix(1000, 0).Add(suspended) })
	must.MapLen(t, 0, group.Owned())
	group.Renew(t.Context())
	must.MapLen(t, 2, group.Owned())
	suspended = suspension
	must.MapLen(t, 0, group.Owned())
	must.EqOp(t, suspension, group.SinceRenewal())
	group.Renew(t.Context())
	must.MapLen(t, 2, group.Owned())
}

// Guards against records that count as complete although the machine was suspended since
// they were read.
func TestRecordsAreStaleAfterASuspension(t *testing.T) {
	var suspended time.Duration
	f := logstore.NewFollower(memlog.New(2), testPartition, func(logstore.Batch) {})
	f.SetClock(func() time.Time { return time.Unix(1000, 0).Add(suspended) })
	must.NoError(t, f.CatchUp(t.Context()))
	must.EqOp(t, 0, f.Staleness())
	suspended = suspension
	must.EqOp(t, suspension, f.Staleness())
}
