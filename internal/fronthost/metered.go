package fronthost

import (
	"context"
	"errors"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// meteredStore wraps a store and records the outcome and duration of all calls except
// Owners and Leave.
type meteredStore struct {
	logstore.Store
	logstore.AppendLatency
	recorder *telemetry.Recorder
}

func (m *meteredStore) observe(call string, started time.Time, err error) {
	m.recorder.Count("store_calls_total", "call", call, "outcome", storeOutcome(err))
	m.recorder.Observe("store_call_seconds", time.Since(started).Seconds(), "call", call)
}

func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, logstore.ErrUnavailable):
		return "refused"
	case errors.Is(err, logstore.ErrDeleted):
		return "deleted"
	case isFenced(err):
		return "fenced"
	}
	return "unknown"
}

// Append implements logstore.Store.
func (m *meteredStore) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	started := time.Now()
	end, err := m.Store.Append(ctx, p, records, w)
	m.observe("append", started, err)
	return end, err
}

// Read implements logstore.Store. The recorded duration includes the time that the
// store was asked to wait for records.
func (m *meteredStore) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	started := time.Now()
	page, err := m.Store.Read(ctx, p, from, maxBytes, wait)
	m.observe("read", started, err)
	return page, err
}

// ListNewest implements logstore.Store.
func (m *meteredStore) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	started := time.Now()
	listing, err := m.Store.ListNewest(ctx, p, after)
	m.observe("newest", started, err)
	return listing, err
}

// Join implements logstore.Store.
func (m *meteredStore) Join(ctx context.Context, membership logstore.Membership) (logstore.Assignment, error) {
	started := time.Now()
	assignment, err := m.Store.Join(ctx, membership)
	m.observe("join", started, err)
	return assignment, err
}
