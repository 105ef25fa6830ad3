package logstore

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"
)

// Timeouts of appends.
const (
	// firstAppendTimeout bounds the first attempt of an append to a store that is not
	// known to be slow (AppendLatency). A healthy store answers within tens of
	// milliseconds, and a longer wait does not recover a lost response. The timeout
	// doubles with each attempt, up to maxAppendTimeout.
	firstAppendTimeout = 400 * time.Millisecond
	// maxAppendTimeout exceeds the queueing delay of 2 s at which the store
	// refuses appends.
	maxAppendTimeout = 2500 * time.Millisecond
	// appendRetryPause is the pause between two attempts.
	appendRetryPause = 100 * time.Millisecond
)

// FencedWriter appends to a partition as its only writer, under one epoch. It is
// not safe for concurrent use. There must be one FencedWriter for each epoch: the
// store answers a sequence number that it knows with the response to the first append
// of that number, whatever the records are.
type FencedWriter struct {
	store     Store
	partition Partition
	writer    Writer
	latency   *AppendLatency
	appended  bool     // an append under this epoch succeeded
	unsettled []Record // records of an append whose outcome is unknown
}

// NewFencedWriter returns a writer that must be opened before its first append.
func NewFencedWriter(store Store, p Partition, name string, epoch int64) *FencedWriter {
	return &FencedWriter{store: store, partition: p, latency: latencyOf(store), writer: Writer{Name: name, Epoch: epoch}}
}

// Open registers the epoch and returns the end of the partition at that time: no
// writer with a lower epoch can append at or after it. Open repeats an append whose
// outcome is unknown first, so that the end includes its records. It may be called
// again after an append that failed with ErrOutcomeUnknown.
func (w *FencedWriter) Open(ctx context.Context) (end int64, err error) {
	if w.unsettled != nil {
		if err := w.send(ctx, w.unsettled); err != nil {
			return 0, err
		}
	}
	err = w.retry(ctx, 0, func(ctx context.Context) (err error) {
		end, err = w.store.Append(ctx, w.partition, nil, &w.writer)
		return err
	})
	return end, err
}

// Append appends records, retrying until the store answers, ctx ends or another
// writer takes over. When ctx ends, the outcome is unknown and the writer must be
// opened again before the next append.
func (w *FencedWriter) Append(ctx context.Context, records []Record) error {
	w.writer.Sequence++
	return w.send(ctx, records)
}

// send appends records under the current sequence number.
func (w *FencedWriter) send(ctx context.Context, records []Record) error {
	err := w.retry(ctx, sizeOf(records), func(ctx context.Context) error {
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
	w.unsettled = nil
	var sequence *SequenceError
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		w.unsettled = records
	case errors.As(err, &sequence):
		w.writer.Sequence = sequence.Expected - 1 // for the next append, once opened again
	}
	return err
}

func (w *FencedWriter) retry(ctx context.Context, bytes int, call func(context.Context) error) error {
	for timeout := w.latency.firstTimeout(); ; timeout = nextTimeout(timeout) {
		err := w.latency.call(ctx, timeout, bytes, call)
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
	latency := latencyOf(store)
	for timeout := latency.firstTimeout(); ; timeout = nextTimeout(timeout) {
		var end int64
		err := latency.call(ctx, timeout, sizeOf(records), func(ctx context.Context) (err error) {
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

// call makes one attempt of an append of some bytes and records how long it took.
func (l *AppendLatency) call(ctx context.Context, timeout time.Duration, bytes int, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	err := attempt(ctx)
	switch {
	case err == nil:
		l.answered(time.Since(began), bytes)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		l.timedOut(time.Since(began))
	}
	return err
}
