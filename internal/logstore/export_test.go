package logstore

import "context"

// Step lets a test take single steps.
func (f *Follower) Step(ctx context.Context) error { return f.step(ctx, 0) }
