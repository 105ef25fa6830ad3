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

// lossyStore executes all calls and loses the responses of some: those calls block
// until their context ends.
type lossyStore struct {
	*memlog.Store
	lose  func(call int64) bool
	calls atomic.Int64
}

func (s *lossyStore) loseResponse(ctx context.Context) error {
	if s.lose(s.calls.Add(1)) {
		<-ctx.Done()
		return logstore.ErrOutcomeUnknown
	}
	return nil
}

func (s *lossyStore) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	end, err := s.Store.Append(ctx, p, records, w)
	if lost := s.loseResponse(ctx); lost != nil {
		return 0, lost
	}
	return end, err
}

func (s *lossyStore) Join(ctx context.Context, m logstore.Membership) (logstore.Assignment, error) {
	a, err := s.Store.Join(ctx, m)
	if lost := s.loseResponse(ctx); lost != nil {
		return logstore.Assignment{}, lost
	}
	return a, err
}

// visibilityBound is the time within which results must be readable at every host
// (settle_ms of the platform). An append that loses one response must be confirmed
// within it.
const visibilityBound = time.Second

// Guards against results that are delayed by seconds because one response of the
// store was lost.
func TestLostAnswerDelaysAnAppendBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lossyStore{Store: memlog.New(2), lose: func(call int64) bool { return call == 2 }}
		ctx := context.Background()
		writer := logstore.NewFencedWriter(store, testPartition, "writer", 1)
		_, err := writer.Open(ctx)
		must.NoError(t, err)
		began := time.Now()
		must.NoError(t, writer.Append(ctx, []logstore.Record{{Key: "key", Value: []byte("value")}}))
		must.Less(t, visibilityBound, time.Since(began))
		page, err := store.Read(ctx, testPartition, 0, 1<<10, 0)
		must.NoError(t, err)
		must.EqOp(t, 1, len(page.Records))

		store.lose = func(call int64) bool { return call == 4 }
		began = time.Now()
		_, err = logstore.AppendUnfenced(ctx, store, testPartition, []logstore.Record{{Key: "other", Value: []byte("value")}})
		must.NoError(t, err)
		must.Less(t, visibilityBound, time.Since(began))
	})
}

// Guards against a member that regards its membership as expired although the
// store renewed it, because some of the responses were lost.
func TestMemberRetainsPartitionsWhenAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 800 * time.Millisecond
		store := &lossyStore{Store: memlog.New(2), lose: func(call int64) bool { return call%3 != 1 }}
		var changes atomic.Int64
		group := logstore.NewGroup(store, logstore.Membership{Group: "group", Member: "member", Topic: "topic", TTL: ttl}, func() { changes.Add(1) })
		group.SetClock(time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go group.Run(ctx)
		time.Sleep(ttl / 2)
		for range 30 {
			synctest.Wait()
			must.MapLen(t, 2, group.Owned())
			time.Sleep(ttl / 8)
		}
		must.EqOp(t, 1, changes.Load())
	})
}
