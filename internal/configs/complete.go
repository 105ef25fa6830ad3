package configs

import (
	"context"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// maxConfirmations bounds the reads of confirm that are under way.
const maxConfirmations = 4

// CompleteAsOf returns a time on the clock of boottime.Now: the current configuration
// includes each record whose append was acknowledged before it. It is zero until this host
// has read the stream to its end; a configuration of a peer does not count.
func (c *Controller) CompleteAsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// recordComplete records a read that was sent at a time, if the current configuration
// includes all records that the log had when it answered. The caller holds mu.
func (c *Controller) recordComplete(page platform.Page, sent time.Time) {
	complete := c.ready && c.follower.CaughtUp() && c.follower.Next() >= page.End &&
		c.follower.State().Version == c.current.Version
	if complete && sent.After(c.asOf) {
		c.asOf = sent
	}
}

// confirm reads the end of the stream when the newest complete read gets old: a long poll
// ends late, and a slow log or a silent connection holds up the reads of Run.
func (c *Controller) confirm(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	slots := make(chan struct{}, maxConfirmations)
	ticker := time.NewTicker(c.config.ConfirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if boottime.Now().Sub(c.CompleteAsOf()) < c.config.ConfirmInterval {
			continue
		}
		select {
		case slots <- struct{}{}:
			reads.Go(func() {
				defer func() { <-slots }()
				c.confirmOnce(ctx)
			})
		default:
		}
	}
}

func (c *Controller) confirmOnce(ctx context.Context) {
	c.mu.Lock()
	next := c.follower.Next()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxConfirmations*c.config.ConfirmInterval)
	defer cancel()
	sent := boottime.Now()
	page, err := c.log.Read(ctx, platform.StreamConfig, next, 0)
	if err != nil {
		c.recorder.Count("config_confirm_errors_total")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Records of the page are applied by Run, in order.
	c.recordComplete(page, sent)
}
