package logstore

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"
)

// Times of appends.
const (
	// firstAppendTimeout bounds the first try of an append. A healthy store
	// answers in tens of milliseconds, a slow one in some hundred; an answer that
	// is lost never comes, however long the try waits. Each further try may take
	// twice as long, up to maxAppendTimeout.
	firstAppendTimeout = 400 * time.Millisecond
	// maxAppendTimeout is more than the 2 s of queue at which the store refuses
	// an append.
	maxAppendTimeout = 2500 * time.Millisecond
	// appendRetry is the pause between two tries.
	appendRetry = 100 * time.Millisecond
)

// FencedWriter appends to a partition as its only writer under one epoch. It is
// not safe for concurrent use.
type FencedWriter struct {
	store     Store
	partition Partition
	writer    Writer
	appended  bool // an append under this epoch succeeded
}

// OpenFencedWriter sets the epoch of a new writer and returns the partition's end then:
// no writer of a lower epoch can append at or after it.
func OpenFencedWriter(ctx context.Context, store Store, p Partition, name string, epoch int64) (*FencedWriter, int64, error) {
	w := &FencedWriter{store: store, partition: p, writer: Writer{Name: name, Epoch: epoch}}
	var end int64
	err := w.repeat(ctx, func(ctx context.Context) (err error) {
		end, err = store.Append(ctx, p, nil, &w.writer)
		return err
	})
	return w, end, err
}

// Append adds records and repeats the call until the store answers, ctx ends
// or another writer took over. When ctx ends the outcome is unknown, and the
// writer must not be used again.
func (w *FencedWriter) Append(ctx context.Context, records []Record) error {
	w.writer.Sequence++
	err := w.repeat(ctx, func(ctx context.Context) error {
		_, err := w.store.Append(ctx, w.partition, records, &w.writer)
		var sequence *SequenceError
		switch {
		case !errors.As(err, &sequence):
			return err
		case w.appended && sequence.Expected == w.writer.Sequence+1:
			return nil // an earlier try took effect
		case !w.appended && sequence.Expected != w.writer.Sequence:
			w.writer.Sequence = sequence.Expected
			_, err = w.store.Append(ctx, w.partition, records, &w.writer)
		}
		return err
	})
	w.appended = w.appended || err == nil
	return err
}

func (w *FencedWriter) repeat(ctx context.Context, call func(context.Context) error) error {
	for limit := firstAppendTimeout; ; limit = longer(limit) {
		err := within(ctx, limit, call)
		var sequence *SequenceError
		switch {
		case err == nil, errors.Is(err, ErrFenced), errors.As(err, &sequence):
			return err
		case ctx.Err() != nil:
			return ErrOutcomeUnknown
		}
		klog.V(1).InfoS("append is repeated", "partition", w.partition, "epoch", w.writer.Epoch, "sequence", w.writer.Sequence, "err", err)
		sleep(ctx, appendRetry)
	}
}

// AppendUnfenced adds records without a fence. The records must do no harm when
// they arrive twice or late. The error is ErrUnavailable only if no try can
// take effect.
func AppendUnfenced(ctx context.Context, store Store, p Partition, records []Record) (int64, error) {
	uncertain := false
	for limit := firstAppendTimeout; ; limit = longer(limit) {
		var end int64
		err := within(ctx, limit, func(ctx context.Context) (err error) {
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
		sleep(ctx, appendRetry)
	}
}

// longer returns the limit of the try after one that took up to limit.
func longer(limit time.Duration) time.Duration { return min(2*limit, maxAppendTimeout) }

func within(ctx context.Context, limit time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx)
}
