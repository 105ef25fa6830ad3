package logstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// slowLink is a store whose responses to one host share a link. Responses to calls
// that have timed out occupy the link too, as far as they were sent.
type slowLink struct {
	*memlog.Store
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time // when the link has sent what it was asked for
	down           bool
	givenUp        int // reads whose answers were not sent in time
}

func (s *slowLink) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *slowLink) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	page, err := s.Store.Read(ctx, p, from, maxBytes, wait)
	if err != nil {
		return page, err
	}
	size := 0
	for _, r := range page.Records {
		size += len(r.Key) + len(r.Value)
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		<-ctx.Done()
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	begin := time.Now()
	if s.free.After(begin) {
		begin = s.free
	}
	end := begin.Add(time.Duration(float64(size) / s.bytesPerSecond * float64(time.Second)))
	if deadline, ok := ctx.Deadline(); ok && end.After(deadline) {
		if begin.Before(deadline) {
			s.free = deadline
		}
		s.givenUp++
		s.mu.Unlock()
		<-ctx.Done()
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	s.free = end
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	return page, nil
}

// Guards against a host that never catches up after an outage because each read asks
// for more than its link can carry within the timeout of a read, and each retry asks
// for the same again. Four partitions share a link; the backlog of each takes longer
// than a read may take.
func TestFollowersCatchUpOverASlowLink(t *testing.T) {
	for _, link := range []float64{7.5e6, 2e6, 1e6} { // bytes/s; 60 Mbit/s is 7.5e6
		synctest.Test(t, func(t *testing.T) {
			const partitions, records, size = 4, 32, 64 << 10
			store := &slowLink{Store: memlog.New(partitions), bytesPerSecond: link}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var received [partitions]*collector
			for n := range partitions {
				received[n] = &collector{}
				go logstore.NewFollower(store, logstore.Partition{Topic: "topic", Number: n}, received[n].apply).Run(ctx)
			}
			time.Sleep(time.Second)
			store.setDown(true)
			for n := range partitions {
				for i := range records {
					_, err := store.Append(ctx, logstore.Partition{Topic: "topic", Number: n},
						[]logstore.Record{{Key: fmt.Sprintf("key-%d", i), Value: make([]byte, size)}}, nil)
					must.NoError(t, err)
				}
			}
			time.Sleep(9 * time.Second)
			store.setDown(false)
			transfer := time.Duration(partitions * records * size / link * float64(time.Second))
			time.Sleep(2*transfer + 2*time.Second)
			for n := range partitions {
				must.EqOp(t, records, received[n].len(), must.Sprintf("partition %d, link of %g bytes/s", n, link))
			}
			cancel()
			synctest.Wait()
		})
	}
}

// busyLister is a store with the bandwidth for one page of a listing at a time.
type busyLister struct {
	*memlog.Store
	pageTime time.Duration
	mu       sync.Mutex
	free     time.Time
}

func (s *busyLister) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	listing, err := s.Store.ListNewest(ctx, p, after)
	s.mu.Lock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.pageTime)
	end := s.free
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
		return listing, err
	case <-ctx.Done():
		return logstore.Listing{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against an owner of a partition that waits for the bandwidth that all other
// hosts use to list the same partition, after all have started at once.
func TestOwnerListsBeforeHostsThatYield(t *testing.T) {
	const hosts, pages, pageSize = 60, 20, 5
	for _, yield := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := &busyLister{Store: memlog.New(1), pageTime: 12 * time.Millisecond}
			store.SetPageSize(pageSize)
			fill(t, store.Store, pages*pageSize)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var synced [hosts]time.Duration
			var mu sync.Mutex
			began := time.Now()
			for n := range hosts {
				f := logstore.NewFollower(store, testPartition, func(logstore.Batch) {
					mu.Lock()
					defer mu.Unlock()
					synced[n] = time.Since(began)
				})
				f.YieldWhile(func() bool { return yield && n > 0 })
				go f.Run(ctx)
			}
			time.Sleep(3 * hosts * pages * store.pageTime)
			cancel()
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			for n := range hosts {
				must.Positive(t, synced[n], must.Sprintf("host %d did not list the partition", n))
			}
			all := hosts * pages * store.pageTime
			must.EqOp(t, yield, synced[0] < all/2, must.Sprintf("the owner needed %s, all pages take %s", synced[0], all))
		})
	}
}

// slowLister is a store that takes the same time for each page of a listing, however many
// hosts list at once.
type slowLister struct {
	*memlog.Store
	pageTime time.Duration
}

func (s *slowLister) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	listing, err := s.Store.ListNewest(ctx, p, after)
	select {
	case <-time.After(s.pageTime):
		return listing, err
	case <-ctx.Done():
		return logstore.Listing{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against hosts that are not ready for most of a recovery because they pause between
// the pages of a store that is slow, but not busy.
func TestHostsThatYieldListFromASlowStore(t *testing.T) {
	const pages, pageSize, recovery = 10, 5, 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &slowLister{Store: memlog.New(1), pageTime: 1200 * time.Millisecond}
		store.SetPageSize(pageSize)
		fill(t, store.Store, pages*pageSize)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := logstore.NewFollower(store, testPartition, func(logstore.Batch) {})
		f.YieldWhile(func() bool { return true })
		go f.Run(ctx)
		time.Sleep(recovery)
		must.True(t, f.HasSynced(), must.Sprintf("%d pages of %s were not listed in %s", pages, store.pageTime, recovery))
		cancel()
		synctest.Wait()
	})
}

// Guards against hosts that all finish reading a partition at the same late moment after
// a loss of all hosts, so that no caller is served until then.
func TestHostsThatDoNotYieldReadFirst(t *testing.T) {
	const hosts, large, records, size = 59, 12, 16000, 300 // 5 MB
	const bandwidth = 16e6                                 // bytes/s, in proportion to 295 hosts and 80 MB/s
	const recovery = 15 * time.Second / 2                  // leaves callers as much
	synctest.Test(t, func(t *testing.T) {
		store := &slowLink{Store: memlog.New(1), bytesPerSecond: bandwidth}
		var batch []logstore.Record
		for i := range records {
			batch = append(batch, logstore.Record{Key: fmt.Sprintf("key-%d", i), Value: make([]byte, size)})
		}
		_, err := store.Append(t.Context(), testPartition, batch, nil)
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		var followers [hosts]*logstore.Follower
		for n := range hosts {
			followers[n] = logstore.NewFollower(store, testPartition, func(logstore.Batch) {})
			followers[n].StartFromLog()
			followers[n].YieldWhile(func() bool { return n >= large })
			go followers[n].Run(ctx)
		}
		synced := func(list []*logstore.Follower) (n int) {
			for _, f := range list {
				if f.HasSynced() {
					n++
				}
			}
			return n
		}
		began := time.Now()
		for synced(followers[:large]) < large && time.Since(began) < recovery {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("hosts that do not yield have read the partition after %s, with %d of %d others", time.Since(began), synced(followers[large:]), hosts-large)
		must.EqOp(t, large, synced(followers[:large]))
		must.EqOp(t, 0, synced(followers[large:]))
		time.Sleep(30 * time.Second)
		must.EqOp(t, hosts, synced(followers[:]))
		cancel()
		synctest.Wait()
	})
}

// Guards against reads that grow until they are given up, again and again, so that part of
// what a busy store sends is of no use to anyone.
func TestReadsDoNotGrowUntilTheyAreGivenUp(t *testing.T) {
	const link, records, size = 256 << 10, 128, 64 << 10 // a read of 1 MB takes 4 s
	synctest.Test(t, func(t *testing.T) {
		store := &slowLink{Store: memlog.New(1), bytesPerSecond: link}
		for i := range records {
			_, err := store.Append(t.Context(), testPartition, []logstore.Record{{Key: fmt.Sprintf("key-%d", i), Value: make([]byte, size)}}, nil)
			must.NoError(t, err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		f := logstore.NewFollower(store, testPartition, func(logstore.Batch) {})
		f.StartFromLog()
		go f.Run(ctx)
		for !f.HasSynced() {
			time.Sleep(100 * time.Millisecond)
		}
		must.LessEq(t, 2, store.givenUp) // the first read, which may be sent twice
		cancel()
		synctest.Wait()
	})
}
