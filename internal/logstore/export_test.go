package logstore

import "context"

// Step performs one call of a follower.
func (f *Follower) Step(ctx context.Context) error { return f.step(ctx, 0) }
