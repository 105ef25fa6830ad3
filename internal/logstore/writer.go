package logstore

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"
)

// Timeouts of appends.
const (
	// firstAppendTimeout bounds the first attempt of an append. A healthy store
	// answers within tens of milliseconds, a slow one within a few hundred, and a
	// longer wait does not recover a lost response. The timeout doubles with each
	// attempt, up to maxAppendTimeout.
	firstAppendTimeout = 400 * time.Millisecond
	// maxAppendTimeout exceeds the queueing delay of 2 s at which the store
	// refuses appends.
	maxAppendTimeout = 2500 * time.Millisecond
	// appendRetryPause is the pause between two attempts.
	appendRetryPause = 100 * time.Millisecond
)

// FencedWriter appends to a partition as its only writer, under one epoch. It is
// not safe for concurrent use.
type FencedWriter struct {
	store     Store
	partition Partition
	writer    Writer
	appended  bool // an append under this epoch succeeded
}

// OpenFencedWriter registers the epoch of a new writer and returns the end of the
// partition at that time: no writer with a lower epoch can append at or after it.
func OpenFencedWriter(ctx context.Context, store Store, p Partition, name string, epoch int64) (*FencedWriter, int64, error) {
	w := &FencedWriter{store: store, partition: p, writer: Writer{Name: name, Epoch: epoch}}
	var end int64
	err := w.retry(ctx, func(ctx context.Context) (err error) {
		end, err = store.Append(ctx, p, nil, &w.writer)
		return err
	})
	return w, end, err
}

// Append appends records, retrying until the store answers, ctx ends or another
// writer takes over. When ctx ends, the outcome is unknown and the writer must
// not be used again.
func (w *FencedWriter) Append(ctx context.Context, records []Record) error {
	w.writer.Sequence++
	err := w.retry(ctx, func(ctx context.Context) error {
		_, err := w.store.Append(ctx, w.partition, records, &w.writer)
		var sequence *SequenceError
		switch {
		case !errors.As(err, &sequence):
			return err
		case w.appended && sequence.Expected == w.writer.Sequence+1:
			return nil // an earlier attempt took effect
		case !w.appended && sequence.Expected != w.writer.Sequence:
			w.writer.Sequence = sequence.Expected
			_, err = w.store.Append(ctx, w.partition, records, &w.writer)
		}
		return err
	})
	w.appended = w.appended || err == nil
	return err
}

func (w *FencedWriter) retry(ctx context.Context, call func(context.Context) error) error {
	for timeout := firstAppendTimeout; ; timeout = nextTimeout(timeout) {
		err := callWithTimeout(ctx, timeout, call)
		var sequence *SequenceError
		switch {
		case err == nil, errors.Is(err, ErrFenced), errors.As(err, &sequence):
			return err
		case ctx.Err() != nil:
			return ErrOutcomeUnknown
		}
		klog.V(1).InfoS("retrying append", "partition", w.partition, "epoch", w.writer.Epoch, "sequence", w.writer.Sequence, "err", err)
		sleep(ctx, appendRetryPause)
	}
}

// AppendUnfenced appends records without fencing, retrying while the outcome is
// unknown. The records must be idempotent, because they may be appended more than
// once and with a delay. The error is ErrUnavailable or ErrFull only if no attempt
// has taken effect or still can.
func AppendUnfenced(ctx context.Context, store Store, p Partition, records []Record) (int64, error) {
	uncertain := false
	for timeout := firstAppendTimeout; ; timeout = nextTimeout(timeout) {
		var end int64
		err := callWithTimeout(ctx, timeout, func(ctx context.Context) (err error) {
			end, err = store.Append(ctx, p, records, nil)
			return err
		})
		switch {
		case err == nil:
			return end, nil
		case errors.Is(err, ErrUnavailable), errors.Is(err, ErrFull):
			if !uncertain {
				return 0, err
			}
		default:
			uncertain = true
		}
		if ctx.Err() != nil {
			return 0, ErrOutcomeUnknown
		}
		sleep(ctx, appendRetryPause)
	}
}

// nextTimeout returns the timeout of the attempt after one with the given timeout.
func nextTimeout(timeout time.Duration) time.Duration { return min(2*timeout, maxAppendTimeout) }

func callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}
