package logstore_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// slowStore is a store whose calls take a while longer.
type slowStore struct {
	*memlog.Store
	mu       sync.Mutex
	latency  time.Duration
	listings int
}

func (s *slowStore) setLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

func (s *slowStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	if err := s.delay(ctx); err != nil {
		return logstore.Page{}, err
	}
	return s.Store.Read(ctx, p, from, maxBytes, wait)
}

func (s *slowStore) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	s.listings++
	if err := s.delay(ctx); err != nil {
		return logstore.Listing{}, err
	}
	return s.Store.ListNewest(ctx, p, after)
}

func (s *slowStore) Join(ctx context.Context, m logstore.Membership) (logstore.Assignment, error) {
	if err := s.delay(ctx); err != nil {
		return logstore.Assignment{}, err
	}
	return s.Store.Join(ctx, m)
}

func (s *slowStore) delay(ctx context.Context) error {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	select {
	case <-time.After(latency):
		return nil
	case <-ctx.Done():
		return logstore.ErrOutcomeUnknown
	}
}

// syncPoll is the resolution of syncTime.
const syncPoll = 10 * time.Millisecond

// syncTime returns how long a follower takes until it has read the partition. It must be
// called in a bubble of synctest.
func syncTime(t *testing.T, store logstore.Store, c *collector, yields bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := logstore.NewFollower(store, testPartition, c.apply)
	f.StartFromLog()
	f.YieldWhile(func() bool { return yields })
	began := time.Now()
	go f.Run(ctx)
	for !f.HasSynced() {
		must.Less(t, time.Minute, time.Since(began))
		time.Sleep(syncPoll)
	}
	took := time.Since(began)
	cancel()
	synctest.Wait()
	return took
}

// Guards against hosts that are not ready for the tens of seconds that a listing of many
// pages takes while the store answers slowly, after all hosts were lost.
func TestStartIsShortWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memlog.New(1), latency: time.Second}
		store.SetPageSize(20)
		fill(t, store.Store, 400)
		c := &collector{records: make(map[string]string)}
		must.LessEq(t, 10*time.Second, syncTime(t, store, c, true))
		must.EqOp(t, 400, c.len())
		must.EqOp(t, 0, store.listings)
	})
}

// Guards against pauses for the listings of other hosts that last as long as the store is
// slow for another reason.
func TestPausesOfAListingAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memlog.New(1), latency: time.Second}
		store.SetPageSize(20)
		fill(t, store.Store, 400)
		store.Delete(testPartition) // so that the partition is listed
		c := &collector{records: make(map[string]string)}
		alone := syncTime(t, store, c, false)
		must.LessEq(t, alone+4*time.Second+syncPoll, syncTime(t, store, c, true))
	})
}

// Guards against records that are missed because the start of the log is deleted, before
// or while it is read.
func TestStartWithADeletedLogListsThePartition(t *testing.T) {
	for _, deleteAfter := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			store := &slowStore{Store: memlog.New(1)}
			big := strings.Repeat("v", 200<<10)
			for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				_, err := store.Append(t.Context(), testPartition, []logstore.Record{{Key: key, Value: []byte(big)}}, nil)
				must.NoError(t, err)
			}
			reads := 0
			store.SetFault(func(call memlog.Call, _ logstore.Partition) memlog.Fault {
				reads++
				if call == memlog.CallRead && reads == deleteAfter+1 {
					go store.Delete(testPartition)
					return memlog.DropRequest
				}
				return memlog.None
			})
			c := &collector{records: make(map[string]string)}
			syncTime(t, store, c, false)
			must.EqOp(t, 8, c.len())
			must.Positive(t, store.listings)
		})
	}
}

// Guards against a partition that counts as read before the end of its log.
func TestStartFromLogReadsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(1)
		big := strings.Repeat("v", 400<<10)
		for _, key := range []string{"a", "b", "a", "c", "d", "e"} {
			_, err := store.Append(t.Context(), testPartition, []logstore.Record{{Key: key, Value: []byte(big)}}, nil)
			must.NoError(t, err)
		}
		c := &collector{records: make(map[string]string)}
		f := logstore.NewFollower(store, testPartition, c.apply)
		f.StartFromLog()
		must.NoError(t, f.CatchUp(t.Context()))
		must.EqOp(t, 5, c.len())
		must.True(t, f.HasSynced())

		empty := logstore.NewFollower(memlog.New(1), testPartition, c.apply)
		empty.StartFromLog()
		must.False(t, empty.HasSynced())
		must.NoError(t, empty.CatchUp(t.Context()))
		must.True(t, empty.HasSynced())
	})
}

// Guards against a store that counts as unavailable, and whose records are not delivered,
// for as long as it takes longer to answer than a healthy one.
func TestFollowerReadsASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memlog.New(1), latency: 4 * time.Millisecond}
		c := &collector{records: make(map[string]string)}
		f := logstore.NewFollower(store, testPartition, c.apply)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		store.setLatency(1200 * time.Millisecond)
		time.Sleep(10 * time.Second)
		for range 100 {
			must.False(t, f.StoreUnavailable())
			time.Sleep(100 * time.Millisecond)
		}
		fill(t, store.Store, 3)
		time.Sleep(3 * time.Second)
		must.EqOp(t, 3, c.len())
		cancel()
		synctest.Wait()
	})
}

// Guards against hosts that own no partition, so that no job goes on, for as long as the
// store takes longer to answer than the timeout of a renewal.
func TestMemberOwnsPartitionsOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memlog.New(4), latency: 1200 * time.Millisecond}
		g := logstore.NewGroup(store, logstore.Membership{Group: "group", Member: "a", Topic: "topic", TTL: 1500 * time.Millisecond}, func() {})
		g.SetClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		time.Sleep(5 * time.Second)
		must.MapLen(t, 4, g.Assigned())
		must.LessEq(t, 2*time.Second, g.SinceRenewal())
		cancel()
		synctest.Wait()
	})
}
