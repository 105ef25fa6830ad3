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

// Guards against the loss of a part of an answer that arrived before the time was over.
func TestHedgeKeepsWhatArrivedBeforeItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, limit := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, time.Minute} {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			part, err := logstore.Hedge(ctx, time.Second, func(ctx context.Context) (string, error) {
				<-ctx.Done()
				return "part", nil
			})
			cancel()
			must.NoError(t, err)
			must.EqOp(t, "part", part)
		}
	})
}

func TestHedgeUsesTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int32
		began := time.Now()
		answer, err := logstore.Hedge(t.Context(), time.Second, func(ctx context.Context) (int32, error) {
			n := sent.Add(1)
			if n <= 2 {
				<-ctx.Done() // the response is lost
				return 0, logstore.ErrOutcomeUnknown
			}
			return n, nil
		})
		must.NoError(t, err)
		must.EqOp(t, 3, answer)
		must.EqOp(t, 2*time.Second, time.Since(began))
	})
}

// lateStore answers each read late.
type lateStore struct {
	*memlog.Store
	delay time.Duration
}

func (s lateStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	page, err := s.Store.Read(ctx, p, from, maxBytes, wait)
	select {
	case <-time.After(s.delay):
		return page, err
	case <-ctx.Done():
		return logstore.Page{}, logstore.ErrOutcomeUnknown
	}
}

// Guards against a host that takes a store for unavailable, and refuses calls on jobs, for
// as long as each answer comes late, but before its callers give up.
func TestLateAnswersAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lateStore{memlog.New(1), 1200 * time.Millisecond}
		fill(t, store.Store, 3)
		received := &collector{}
		f := logstore.NewFollower(store, testPartition, received.apply)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			must.False(t, f.StoreUnavailable())
		}
		callCtx, endCall := context.WithTimeout(ctx, 1300*time.Millisecond)
		defer endCall()
		must.NoError(t, f.CatchUp(callCtx))
		cancel()
		synctest.Wait()
	})
}
