package services

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// readGrace is added to the wait of a read to obtain its timeout, and
	// appendTimeout bounds one append. Both are longer than the platform client's
	// own timeouts, because with shorter ones every read of a slow log would fail
	// and slow appends would be repeated.
	readGrace     = 5 * time.Second
	appendTimeout = 5 * time.Second
	// maxBatch bounds the number of records of one append.
	maxBatch = 500
	// retryDelay is the initial backoff after a failed read; it doubles up to
	// maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// tickInterval is the interval of the checks for attempts that timed out and
	// for records whose append must be retried.
	tickInterval = 50 * time.Millisecond
	// membershipInterval is the interval of the checks for dead hosts.
	membershipInterval = 500 * time.Millisecond
)

// follow reads the intent stream until ctx ends.
func (c *Controller) follow(ctx context.Context) error {
	delay := retryDelay
	for ctx.Err() == nil {
		err := c.readPage(ctx)
		if err == nil {
			delay = retryDelay
			continue
		}
		c.withLedger(func(l *intent.Ledger) bool { l.RecordReadFailure(); return true })
		c.recorder.Count("intent_read_errors_total")
		klog.V(1).InfoS("failed to read the intent stream", "err", err)
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

func (c *Controller) readPage(ctx context.Context) error {
	c.mu.Lock()
	next, wait := c.ledger.NextOffset(), c.config.PollWait
	if !c.ledger.CaughtUp() {
		wait = 0 // obtain the end of the stream without waiting for a new record
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := c.log.Read(ctx, platform.StreamIntent, next, wait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	skipped := c.ledger.SkippedRecords()
	for _, view := range c.ledger.Apply(page, time.Now()) {
		c.handleChange(view)
	}
	if skipped = c.ledger.SkippedRecords() - skipped; skipped > 0 {
		c.recorder.Add("intent_records_skipped_total", skipped)
		klog.InfoS("intent records skipped", "records", skipped, "from_offset", next)
	}
	return nil
}

// write appends queued records, one append at a time, until ctx ends.
func (c *Controller) write(ctx context.Context) error {
	backoff := intent.NewAppendBackoff(c.config.AppendInterval)
	for {
		select {
		case <-c.writerWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			outcome, found := c.appendBatch(ctx)
			if !found {
				break
			}
			sleep(ctx, backoff.Next(outcome))
		}
	}
}

// appendBatch appends one batch of queued records and reports whether there were
// any.
func (c *Controller) appendBatch(ctx context.Context) (outcome intent.AppendOutcome, found bool) {
	if ctx.Err() != nil {
		return outcome, false
	}
	c.mu.Lock()
	batch := c.ledger.NextBatch(maxBatch, time.Now())
	c.mu.Unlock()
	if len(batch.Records) == 0 {
		return outcome, false
	}
	outcome = c.appendRecords(ctx, batch.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.RecordAppend(batch, outcome, time.Now())
	return outcome, true
}

func (c *Controller) appendRecords(ctx context.Context, records []intent.Record) intent.AppendOutcome {
	data := make([][]byte, 0, len(records))
	for _, record := range records {
		encoded, err := record.Encode()
		if err != nil {
			klog.ErrorS(err, "failed to encode an intent record", "key", record.Key.String())
			continue
		}
		data = append(data, encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	started := time.Now()
	_, err := c.log.Append(ctx, platform.StreamIntent, data)
	c.recorder.Observe("intent_append_seconds", time.Since(started).Seconds())
	switch {
	case err == nil:
		c.recorder.Add("intent_records_total", int64(len(data)))
		return intent.AppendStored
	case errors.Is(err, platform.ErrRefused):
		c.recorder.Count("intent_append_errors_total", "outcome", "refused")
		return intent.AppendRefused
	}
	c.recorder.Count("intent_append_errors_total", "outcome", "unknown")
	return intent.AppendUnknown
}

// tick ends attempts that timed out and wakes the writer for appends to retry,
// until ctx ends.
func (c *Controller) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	membership := time.NewTicker(membershipInterval)
	defer membership.Stop()
	for {
		select {
		case <-ticker.C:
		case <-membership.C:
			c.liveness.update(time.Now())
			c.backends.retainLimits()
			c.backends.retainNotices()
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		for _, view := range c.ledger.Tick(time.Now()) {
			c.handleChange(view)
		}
		c.mu.Unlock()
		c.wakeWriter()
	}
}

func (c *Controller) wakeWriter() {
	select {
	case c.writerWake <- struct{}{}:
	default:
	}
}
