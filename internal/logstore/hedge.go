package logstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrUnwanted reports a read that was given up because nobody waits for it any more.
var ErrUnwanted = errors.New("nobody waits for the read any more")

// maxInFlight bounds the attempts of one read that are under way.
const maxInFlight = 2

// Hedge calls read, and again whenever the time of retry has passed, until one attempt
// succeeds, one fails before its time is over, or ctx ends. Each attempt has the time of
// two, so that an answer that is late, not lost, is used. What an attempt returns when its
// time is over, such as a truncated page, counts as well.
func Hedge[T any](ctx context.Context, retry time.Duration, read func(context.Context) (T, error)) (T, error) {
	return HedgeWhile(ctx, 2*retry, func(int) (time.Duration, <-chan struct{}) { return retry, nil }, read)
}

// HedgeWhile is Hedge for a read that several calls may wait for. due returns the time after
// the last attempt at which read is called again, given the number of attempts, or 0 while
// nobody waits, and a channel that is closed when this changes. Attempts that are under way
// go on meanwhile, and the error is ErrUnwanted if they end without an answer. An attempt
// lasts for the given time at most and ends with the second one after it.
func HedgeWhile[T any](ctx context.Context, timeout time.Duration, due func(attempts int) (time.Duration, <-chan struct{}), read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, returned := make(chan hedgeAnswer[T]), make(chan struct{})
	defer close(returned)
	var inFlight []*hedgeAttempt // oldest first
	var last hedgeAnswer[T]
	var lastSent time.Time
	attempts := 0
	send := func() {
		if len(inFlight) == maxInFlight {
			inFlight[0].cancel()
		}
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		attempt := &hedgeAttempt{cancel}
		inFlight = append(inFlight, attempt)
		attempts, lastSent = attempts+1, time.Now()
		go func() {
			defer cancel()
			value, err := read(attemptCtx)
			select {
			case answers <- hedgeAnswer[T]{attempt, value, err, attemptCtx.Err() != nil}:
			case <-returned:
			}
		}()
	}
	send()
	for {
		after, changed := due(attempts)
		var resend <-chan time.Time
		if after > 0 && ctx.Err() == nil {
			resend = time.After(after - time.Since(lastSent))
		}
		if len(inFlight) == 0 && ctx.Err() != nil {
			return last.value, last.err
		}
		if len(inFlight) == 0 && after == 0 {
			return last.value, fmt.Errorf("%w: %w", ErrUnwanted, last.err)
		}
		select {
		case last = <-answers:
			inFlight = slices.DeleteFunc(inFlight, func(a *hedgeAttempt) bool { return a == last.attempt })
			if last.err == nil || !last.timedOut {
				return last.value, last.err
			}
		case <-resend:
			send()
		case <-changed:
		case <-whenIdle(ctx, len(inFlight)):
		}
	}
}

type hedgeAttempt struct{ cancel context.CancelFunc }

// hedgeAnswer is what an attempt returned, and whether its time was over then.
type hedgeAnswer[T any] struct {
	attempt  *hedgeAttempt
	value    T
	err      error
	timedOut bool
}

// whenIdle returns the channel that closes when ctx ends, or nil while attempts are
// in flight, which end with ctx.
func whenIdle(ctx context.Context, inFlight int) <-chan struct{} {
	if inFlight > 0 {
		return nil
	}
	return ctx.Done()
}
