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

// keep collects what a follower hands on.
type keep struct {
	mu      sync.Mutex
	records map[string]string
}

func (k *keep) apply(b logstore.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.Complete {
		k.records = make(map[string]string)
	}
	for _, r := range b.Records {
		k.records[r.Key] = string(r.Value)
	}
}

func (k *keep) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.records)
}

func fill(t *testing.T, store logstore.Store, n int) {
	t.Helper()
	for i := range n {
		records := []logstore.Record{{Key: fmt.Sprintf("key-%03d", i), Value: []byte("value")}}
		_, err := store.Append(context.Background(), testPartition, records, nil)
		must.NoError(t, err)
	}
}

// gate holds back calls of Newest until they are let through.
type gate struct {
	*memlog.Store
	mu   sync.Mutex
	held map[string]chan struct{} // by the key after which the call lists
	come chan string
}

func (g *gate) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	listing, err := g.Store.ListNewest(ctx, p, after)
	g.mu.Lock()
	wait := g.held[after]
	delete(g.held, after)
	g.mu.Unlock()
	if wait != nil {
		g.come <- after
		<-wait
	}
	return listing, err
}

func (g *gate) hold(after string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[after] = make(chan struct{})
	return g.held[after]
}

// Guards against a listing that lacks a page because two calls, the follower's
// own and one that confirms, listed at once: the first page came again late and
// took the place of the pages after it.
func TestListingIsWholeWhenTwoCallsListAtOnce(t *testing.T) {
	store := &gate{Store: memlog.New(2), held: make(map[string]chan struct{}), come: make(chan string)}
	store.SetPageSize(10)
	fill(t, store, 30)
	var k keep
	f := logstore.NewFollower(store, testPartition, k.apply)
	ctx := context.Background()
	var done sync.WaitGroup

	firstPage := store.hold("")
	done.Go(func() { _ = f.Step(ctx) })
	<-store.come
	must.NoError(t, f.Step(ctx)) // page 1
	must.NoError(t, f.Step(ctx)) // page 2
	thirdPage := store.hold("key-019")
	done.Go(func() { _ = f.Step(ctx) })
	<-store.come
	close(firstPage)
	time.Sleep(20 * time.Millisecond) // the late first page arrives before the third
	close(thirdPage)
	done.Wait()
	for !f.HasSynced() {
		must.NoError(t, f.Step(ctx))
	}
	must.EqOp(t, 30, k.len())
}

// Guards against a listing that begins anew after each failed page and so never
// ends while the store is busy.
func TestListingKeepsItsPagesWhenALaterOneFails(t *testing.T) {
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
	var k keep
	f := logstore.NewFollower(store, testPartition, k.apply)
	for !f.HasSynced() {
		_ = f.Step(context.Background()) // every second page fails
	}
	must.EqOp(t, 100, k.len())
	must.LessEq(t, 41, calls)
}

// Guards against a reader that stops or forgets when the store deletes records.
func TestFollowerListsAgainAfterDeletion(t *testing.T) {
	store := memlog.New(2)
	fill(t, store, 3)
	var k keep
	f := logstore.NewFollower(store, testPartition, k.apply)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	must.NoError(t, f.CatchUp(ctx))
	fill(t, store, 6)
	store.Delete(testPartition)
	must.NoError(t, f.CatchUp(ctx))
	must.EqOp(t, 6, k.len())
}

// Guards against an append that is carried out twice or after its writer lost
// the partition: answers are lost, and calls are carried out late.
func TestFencedWriterAppendsOnceUnderLostAnswers(t *testing.T) {
	store := memlog.New(2)
	ctx := context.Background()
	faults := []memlog.Fault{memlog.LoseAnswer, memlog.DropRequest, memlog.Refuse, memlog.Delay, memlog.None}
	n := 0
	store.SetFault(func(c memlog.Call, _ logstore.Partition) memlog.Fault {
		if c != memlog.CallAppend {
			return memlog.None
		}
		n++
		return faults[n%len(faults)]
	})
	w, _, err := logstore.OpenFencedWriter(ctx, store, testPartition, "writer", 5)
	must.NoError(t, err)
	for i := range 10 {
		must.NoError(t, w.Append(ctx, []logstore.Record{{Key: fmt.Sprint(i), Value: []byte("v")}}))
	}
	store.SetFault(nil)
	next, end, err := logstore.OpenFencedWriter(ctx, store, testPartition, "writer", 6)
	must.NoError(t, err)
	store.ReleaseDelayed()
	must.NoError(t, next.Append(ctx, []logstore.Record{{Key: "next", Value: []byte("v")}}))
	must.ErrorIs(t, w.Append(ctx, []logstore.Record{{Key: "late", Value: []byte("v")}}), logstore.ErrFenced)
	page, err := store.Read(ctx, testPartition, 0, 1<<20, 0)
	must.NoError(t, err)
	must.EqOp(t, 10, end)
	must.EqOp(t, 11, len(page.Records))
}

// Guards against "nothing was done" for an append that may still arrive.
func TestAppendOnceIsRefusedOnlyIfNothingWasDone(t *testing.T) {
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
