package logstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
)

var testPartition = logstore.Partition{Topic: "topic", Number: 1}

// collector collects the records that a follower delivers.
type collector struct {
	mu      sync.Mutex
	records map[string]string
}

func (c *collector) apply(b logstore.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Complete {
		c.records = make(map[string]string)
	}
	for _, r := range b.Records {
		c.records[r.Key] = string(r.Value)
	}
}

func (c *collector) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

func fill(t *testing.T, store logstore.Store, n int) {
	t.Helper()
	for i := range n {
		records := []logstore.Record{{Key: fmt.Sprintf("key-%03d", i), Value: []byte("value")}}
		_, err := store.Append(context.Background(), testPartition, records, nil)
		must.NoError(t, err)
	}
}

// gatedStore blocks selected calls of ListNewest until their channel is closed.
type gatedStore struct {
	*memlog.Store
	mu      sync.Mutex
	gates   map[string]chan struct{} // by the key after which the call lists
	blocked chan string              // receives the key of each blocked call
}

func (g *gatedStore) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	listing, err := g.Store.ListNewest(ctx, p, after)
	g.mu.Lock()
	wait := g.gates[after]
	delete(g.gates, after)
	g.mu.Unlock()
	if wait != nil {
		g.blocked <- after
		<-wait
	}
	return listing, err
}

func (g *gatedStore) block(after string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gates[after] = make(chan struct{})
	return g.gates[after]
}

// Guards against a listing that lacks a page because the follower's own call and
// CatchUp listed concurrently: a delayed first page replaced the pages after it.
func TestConcurrentListingsDeliverEveryPage(t *testing.T) {
	store := &gatedStore{Store: memlog.New(2), gates: make(map[string]chan struct{}), blocked: make(chan string)}
	store.SetPageSize(10)
	fill(t, store, 30)
	var received collector
	f := logstore.NewFollower(store, testPartition, received.apply)
	ctx := context.Background()
	var done sync.WaitGroup

	firstPage := store.block("")
	done.Go(func() { _ = f.Step(ctx) })
	<-store.blocked
	must.NoError(t, f.Step(ctx)) // page 1
	must.NoError(t, f.Step(ctx)) // page 2
	thirdPage := store.block("key-019")
	done.Go(func() { _ = f.Step(ctx) })
	<-store.blocked
	close(firstPage)
	time.Sleep(20 * time.Millisecond) // the delayed first page arrives before the third
	close(thirdPage)
	done.Wait()
	for !f.HasSynced() {
		must.NoError(t, f.Step(ctx))
	}
	must.EqOp(t, 30, received.len())
}

// Guards against a listing that restarts after each failed page and so never
// completes while the store is busy.
func TestListingRetainsPagesWhenALaterOneFails(t *testing.T) {
	store := memlog.New(2)
	store.SetPageSize(5)
	fill(t, store, 100)
	calls := 0
	store.SetFault(func(c memlog.Call, _ logstore.Partition) memlog.Fault {
		calls++
		if c == memlog.CallNewest && calls%2 == 0 {
			return memlog.DropRequest
		}
		return memlog.None
	})
	var received collector
	f := logstore.NewFollower(store, testPartition, received.apply)
	for !f.HasSynced() {
		_ = f.Step(context.Background()) // every second page fails
	}
	must.EqOp(t, 100, received.len())
	must.LessEq(t, 41, calls)
}

// Guards against a follower that stops, or lacks records, after the store has
// deleted those that it would read next.
func TestFollowerListsAgainAfterDeletion(t *testing.T) {
	store := memlog.New(2)
	fill(t, store, 3)
	var received collector
	f := logstore.NewFollower(store, testPartition, received.apply)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	must.NoError(t, f.CatchUp(ctx))
	fill(t, store, 6)
	store.Delete(testPartition)
	must.NoError(t, f.CatchUp(ctx))
	must.EqOp(t, 6, received.len())
}

// Guards against an append that takes effect twice, or after its writer was
// fenced, when responses are lost and calls are delayed.
func TestFencedWriterAppendsOnceUnderLostAnswers(t *testing.T) {
	store := memlog.New(2)
	ctx := context.Background()
	faults := []memlog.Fault{memlog.LoseResponse, memlog.DropRequest, memlog.Refuse, memlog.Delay, memlog.None}
	n := 0
	store.SetFault(func(c memlog.Call, _ logstore.Partition) memlog.Fault {
		if c != memlog.CallAppend {
			return memlog.None
		}
		n++
		return faults[n%len(faults)]
	})
	w := logstore.NewFencedWriter(store, testPartition, "writer", 5)
	_, err := w.Open(ctx)
	must.NoError(t, err)
	for i := range 10 {
		must.NoError(t, w.Append(ctx, []logstore.Record{{Key: fmt.Sprint(i), Value: []byte("v")}}))
	}
	store.SetFault(nil)
	next := logstore.NewFencedWriter(store, testPartition, "writer", 6)
	end, err := next.Open(ctx)
	must.NoError(t, err)
	store.ReleaseDelayed()
	must.NoError(t, next.Append(ctx, []logstore.Record{{Key: "next", Value: []byte("v")}}))
	must.ErrorIs(t, w.Append(ctx, []logstore.Record{{Key: "late", Value: []byte("v")}}), logstore.ErrFenced)
	page, err := store.Read(ctx, testPartition, 0, 1<<20, 0)
	must.NoError(t, err)
	must.EqOp(t, 10, end)
	must.EqOp(t, 11, len(page.Records))
}

// Guards against ErrUnavailable for an append that may still take effect.
func TestAppendUnfencedReportsUnavailableOnlyWithoutEffect(t *testing.T) {
	store := memlog.New(2)
	n := 0
	store.SetFault(func(memlog.Call, logstore.Partition) memlog.Fault {
		n++
		if n == 1 {
			return memlog.Delay
		}
		return memlog.Refuse
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := logstore.AppendUnfenced(ctx, store, testPartition, []logstore.Record{{Key: "k", Value: []byte("v")}})
	must.False(t, errors.Is(err, logstore.ErrUnavailable))
	must.ErrorIs(t, err, logstore.ErrOutcomeUnknown)
}

// earlyStore answers every read immediately, however long the caller lets it wait.
type earlyStore struct{ *memlog.Store }

func (s earlyStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, _ time.Duration) (logstore.Page, error) {
	return s.Store.Read(ctx, p, from, maxBytes, 0)
}

// Guards against a CatchUp that trusts a read from before the call: the store answered
// a long poll early, and a record was appended after that.
func TestCatchUpReadsAfterTheCall(t *testing.T) {
	store := earlyStore{memlog.New(2)}
	var received collector
	f := logstore.NewFollower(store, testPartition, received.apply)
	must.NoError(t, f.CatchUp(t.Context()))
	must.NoError(t, f.LongPoll(t.Context()))
	must.GreaterEq(t, 0, f.Staleness())
	fill(t, store, 1)
	must.NoError(t, f.CatchUp(t.Context()))
	must.EqOp(t, 1, received.len())
}

// Guards against a CatchUp that returns after the first of several pages.
func TestCatchUpReadsAllPages(t *testing.T) {
	store := memlog.New(2)
	var received collector
	f := logstore.NewFollower(store, testPartition, received.apply)
	must.NoError(t, f.CatchUp(t.Context()))
	const records = 4
	value := make([]byte, 700<<10) // a page holds one
	for i := range records {
		_, err := store.Append(t.Context(), testPartition, []logstore.Record{{Key: fmt.Sprint(i), Value: value}}, nil)
		must.NoError(t, err)
	}
	must.NoError(t, f.CatchUp(t.Context()))
	must.EqOp(t, records, received.len())
}
