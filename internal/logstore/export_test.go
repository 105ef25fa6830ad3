package logstore

import (
	"context"
	"time"
)

// Step performs one call of a follower.
func (f *Follower) Step(ctx context.Context) error { return f.step(ctx, 0) }

// LongPoll performs one call of a follower that may wait for records.
func (f *Follower) LongPoll(ctx context.Context) error { return f.step(ctx, longPollTimeout) }

// SetClock replaces the clock of a follower.
func (f *Follower) SetClock(now func() time.Time) { f.now = now }

// SetClock replaces the clock of a group member.
func (g *Group) SetClock(now func() time.Time) { g.now = now }

// Renew sends one renewal.
func (g *Group) Renew(ctx context.Context) { g.renew(ctx, time.Second) }
