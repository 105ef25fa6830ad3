package logstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// firstSlowStore is a store whose first read takes a while.
type firstSlowStore struct {
	*memlog.Store
	reads atomic.Int64
}

func (s *firstSlowStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	if s.reads.Add(1) == 1 {
		time.Sleep(800 * time.Millisecond)
	}
	return s.Store.Read(ctx, p, from, maxBytes, wait)
}

// Guards against an owner that suspends its starts because a late answer to an older read
// replaces what a newer read has shown.
func TestLateAnswerLeavesTheNewerTimeOfCompleteness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &firstSlowStore{Store: memlog.New(2)}
		f := logstore.NewFollower(store, testPartition, func(logstore.Batch) {})
		f.SetClock(time.Now)
		f.StartFromLog()
		late := make(chan error)
		go func() { late <- f.Step(t.Context()) }()
		time.Sleep(500 * time.Millisecond)
		must.NoError(t, f.CatchUp(t.Context()))
		before := f.CompleteAsOf()
		must.NoError(t, <-late)
		must.False(t, f.CompleteAsOf().Before(before), must.Sprintf("goes back by %s", before.Sub(f.CompleteAsOf())))
	})
}

// Guards against a host that stops because the configuration counts as old although the
// store answers, if slowly, and against more reads than that needs.
func TestPartitionStaysFreshOnASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &cutStore{slowStore: slowStore{Store: memlog.New(2)}}
		f := logstore.NewFollower(store, testPartition, func(logstore.Batch) {})
		f.SetClock(time.Now)
		f.KeepFresh(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		oldest := func(d time.Duration) (age time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(syncPoll) {
				age = max(age, f.Staleness())
			}
			return age
		}
		time.Sleep(time.Second)
		must.Less(t, 600*time.Millisecond, oldest(20*time.Second))
		store.setLatency(2750 * time.Millisecond)
		must.Less(t, 4500*time.Millisecond, oldest(60*time.Second))
		cancel()
		synctest.Wait()
		must.Less(t, 250, store.reads.Load())
	})
}
