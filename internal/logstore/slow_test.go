package logstore_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

// Guards against a member that loses its partitions again and again while the store answers
// each renewal well within the TTL.
func TestMemberKeepsPartitionsOfASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{800 * time.Millisecond, time.Second} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{Store: memlog.New(4), latency: latency}
				g := logstore.NewGroup(store, logstore.Membership{Group: "group", Member: "a", Topic: "topic", TTL: 1500 * time.Millisecond}, func() {})
				g.SetClock(time.Now)
				ctx, cancel := context.WithCancel(t.Context())
				go g.Run(ctx)
				time.Sleep(5 * time.Second)
				var lapsed time.Duration
				for range 2000 {
					if g.Owned() == nil {
						lapsed += syncPoll
					}
					time.Sleep(syncPoll)
				}
				cancel()
				synctest.Wait()
				must.EqOp(t, 0, lapsed, must.Sprint("time of 20 s in which the member owned nothing"))
			})
		})
	}
}

// cutStore is a slowStore whose calls get no answer if they are sent while it is cut.
type cutStore struct {
	slowStore
	cut   atomic.Bool
	reads atomic.Int64
	err   error // answer at once while cut, if set
}

func (s *cutStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	s.reads.Add(1)
	if s.cut.Load() && s.err != nil {
		return logstore.Page{}, s.err
	}
	if s.cut.Load() {
		<-ctx.Done()
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
	return s.slowStore.Read(ctx, p, from, maxBytes, wait)
}

// Guards against a host that has not read a partition 3 s after an outage, because a read
// that was lost has the time of a slow store.
func TestOutageOfASlowStoreEndsWithin3s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &cutStore{slowStore: slowStore{Store: memlog.New(1)}}
		c := &collector{records: make(map[string]string)}
		f := logstore.NewFollower(store, testPartition, c.apply)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		store.setLatency(1400 * time.Millisecond)
		time.Sleep(20 * time.Second)
		must.False(t, f.StoreUnavailable())
		sent := store.reads.Load()
		store.cut.Store(true)
		for store.reads.Load() == sent {
			time.Sleep(syncPoll)
		}
		store.setLatency(0)
		store.cut.Store(false)
		fill(t, store.Store, 1)
		ended := time.Now()
		for c.len() == 0 {
			time.Sleep(syncPoll)
		}
		took := time.Since(ended)
		cancel()
		synctest.Wait()
		must.LessEq(t, 3*time.Second, took)
	})
}

// Guards against twice the calls to a store that refuses them at once: all calls have a
// price, and more of them keep the store over its rate.
func TestRefusedReadsAreNotSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &cutStore{slowStore: slowStore{Store: memlog.New(1)}, err: logstore.ErrUnavailable}
		c := &collector{records: make(map[string]string)}
		f := logstore.NewFollower(store, testPartition, c.apply)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		store.cut.Store(true)
		time.Sleep(time.Second)
		before := store.reads.Load()
		time.Sleep(15 * time.Second)
		sent := store.reads.Load() - before
		cancel()
		synctest.Wait()
		must.LessEq(t, 101, sent) // one per pause of 150 ms
	})
}

// slowAppends is a store that carries out each append after a latency, also if its caller
// has left. Like a host's store it knows how long its appends take.
type slowAppends struct {
	*memlog.Store
	logstore.AppendLatency
	latency time.Duration
	sent    atomic.Int64
}

func (s *slowAppends) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	s.sent.Add(1)
	return s.Store.AppendLate(ctx, s.latency, p, records, w)
}

// Guards against appends to a slow store that are all sent several times, because each
// begins with a timeout that the append before it has shown to be too short.
func TestAppendsToASlowStoreAreSentOnce(t *testing.T) {
	const appends, learning = 10, 2
	records := []logstore.Record{{Key: "key", Value: []byte("value")}}
	for name, prepare := range map[string]func(*testing.T, logstore.Store) func(context.Context) error{
		"fenced": func(t *testing.T, store logstore.Store) func(context.Context) error {
			w := logstore.NewFencedWriter(store, testPartition, "writer", 1)
			_, err := w.Open(t.Context())
			must.NoError(t, err)
			return func(ctx context.Context) error { return w.Append(ctx, records) }
		},
		"unfenced": func(_ *testing.T, store logstore.Store) func(context.Context) error {
			return func(ctx context.Context) error {
				_, err := logstore.AppendUnfenced(ctx, store, testPartition, records)
				return err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowAppends{Store: memlog.New(1)}
				send := prepare(t, store)
				store.latency = 1200 * time.Millisecond
				before, began := store.sent.Load(), time.Now()
				for range appends {
					must.NoError(t, send(t.Context()))
				}
				t.Logf("%d appends took %v", appends, time.Since(began))
				sent := store.sent.Load() - before
				time.Sleep(5 * time.Second) // for the late ones
				must.LessEq(t, appends+learning, sent)
			})
		})
	}
}

// Guards against a partition that is listed once more for each read that reports late
// that its offset was deleted.
func TestLateReportOfDeletedRecordsDoesNotListAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memlog.New(1)}
		fill(t, store.Store, 20)
		store.Delete(testPartition)
		c := &collector{records: make(map[string]string)}
		f := logstore.NewFollower(store, testPartition, c.apply)
		f.StartFromLog()
		store.setLatency(time.Second)
		go func() { _ = f.CatchUp(t.Context()) }() // its first read is answered after 1 s
		synctest.Wait()
		store.setLatency(100 * time.Millisecond)
		must.NoError(t, f.CatchUp(t.Context()))
		must.True(t, f.HasSynced())
		listed := store.listings
		time.Sleep(5 * time.Second)
		must.EqOp(t, listed, store.listings)
	})
}

// serialAppends is a store whose partition carries out appends one at a time, each in the
// time of latency, also those whose caller has left.
type serialAppends struct {
	*memlog.Store
	latency time.Duration
	mu      sync.Mutex
	idleAt  time.Time // when all appends received so far are carried out
}

func (s *serialAppends) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	s.mu.Lock()
	wait := max(time.Until(s.idleAt), 0)
	if wait > 2*time.Second {
		s.mu.Unlock()
		return 0, logstore.ErrUnavailable
	}
	s.idleAt = time.Now().Add(wait + s.latency)
	s.mu.Unlock()
	return s.Store.AppendLate(ctx, wait+s.latency, p, records, w)
}

// Guards against a partition that no host acquires, because each attempt waits behind the
// appends of the attempts that were given up before it.
func TestWriterOpensAPartitionWithSlowAppends(t *testing.T) {
	const acquireTimeout, recoveryTime = 3 * time.Second, 15 * time.Second // see package fronthost
	for _, latency := range []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &serialAppends{Store: memlog.New(1), latency: latency}
				w := logstore.NewFencedWriter(store, testPartition, "writer", 1)
				began := time.Now()
				err := logstore.ErrOutcomeUnknown
				for err != nil && time.Since(began) < recoveryTime {
					ctx, cancel := context.WithTimeout(t.Context(), acquireTimeout)
					_, err = w.Open(ctx)
					cancel()
				}
				took := time.Since(began)
				time.Sleep(10 * time.Second) // for the late appends
				must.NoError(t, err)
				must.LessEq(t, recoveryTime, took)
			})
		})
	}
}
