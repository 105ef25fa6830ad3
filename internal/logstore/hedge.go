package logstore

import (
	"context"
	"fmt"
	"time"
)

// Hedge calls read, and again whenever the time of retry has passed, until one attempt
// succeeds, one fails before its time is over, or ctx ends. Each attempt has the time of
// two, so that an answer that is late, not lost, is used. What an attempt returns when its
// time is over, such as a truncated page, counts as well.
func Hedge[T any](ctx context.Context, retry time.Duration, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		value    T
		err      error
		timedOut bool
	}
	answers, returned := make(chan answer), make(chan struct{})
	defer close(returned)
	pending := 0
	send := func() {
		pending++
		go func() {
			attemptCtx, cancel := context.WithTimeout(ctx, 2*retry)
			defer cancel()
			value, err := read(attemptCtx)
			select {
			case answers <- answer{value, err, attemptCtx.Err() != nil}:
			case <-returned:
			}
		}()
	}
	ticker := time.NewTicker(retry)
	defer ticker.Stop()
	send()
	for {
		select {
		case a := <-answers:
			pending--
			if a.err == nil || !a.timedOut {
				return a.value, a.err
			}
			if pending == 0 && ctx.Err() != nil {
				return a.value, a.err
			}
		case <-ticker.C:
			if ctx.Err() == nil {
				send()
			}
		case <-whenIdle(ctx, pending):
			var none T
			return none, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// whenIdle returns the channel that closes when ctx ends, or nil while attempts are
// pending, which end with ctx.
func whenIdle(ctx context.Context, pending int) <-chan struct{} {
	if pending > 0 {
		return nil
	}
	return ctx.Done()
}
