package logstore

import "context"

// Step performs one call of a follower.
func (f *Follower) Step(ctx context.Context) error { return f.step(ctx, 0) }

// LongPoll performs one call of a follower that may wait for records.
func (f *Follower) LongPoll(ctx context.Context) error { return f.step(ctx, longPollTimeout) }
