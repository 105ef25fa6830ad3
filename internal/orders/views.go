package orders

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// readsPerTerm is the number of reads of the view stream per lease term. Each
	// read that reaches the end of the stream renews the lease, so that the lease
	// is renewed long before it expires.
	readsPerTerm = 4
	// readRetryDelay is the backoff after a failed read, before jitter.
	readRetryDelay = 300 * time.Millisecond
	// proposeInterval is the time between two checks whether to propose a view.
	proposeInterval = 200 * time.Millisecond
	// appendTimeout bounds one append to the view stream.
	appendTimeout = 3 * time.Second
)

// followViews reads and applies the view stream until ctx ends.
func (c *Controller) followViews(ctx context.Context) error {
	offset := int64(0)
	for ctx.Err() == nil {
		wait := c.cfg.LeaseTerm / readsPerTerm
		readCtx, cancel := context.WithTimeout(ctx, wait+c.cfg.LeaseTerm/2)
		start := time.Now()
		page, err := c.log.Read(readCtx, platform.StreamView, offset, wait)
		cancel()
		if err != nil {
			c.count("view_read_errors_total")
			klog.V(1).ErrorS(err, "reading the view stream failed", "offset", offset)
			sleep(ctx, readRetryDelay+rand.N(readRetryDelay))
			continue
		}
		offset = c.applyPage(start, offset, page)
	}
	return nil
}

// applyPage applies one page of the view stream and returns the offset to read
// next. start is the time at which the read of the page started.
func (c *Controller) applyPage(start time.Time, offset int64, page platform.Page) int64 {
	c.mu.Lock()
	now := time.Now()
	if page.Earliest > offset { // the log deleted records before they were read
		c.authorizer.Views.SkipTo(page.Earliest)
		c.count("view_records_lost_total")
	}
	for _, record := range page.Records {
		c.applyRecordLocked(now, record)
	}
	next := max(offset, page.Next)
	if next >= page.End {
		c.authorizer.RecordRead(start, now)
	}
	c.authorizer.Views.Prune(now, c.cfg.LeaseTerm)
	c.mu.Unlock()
	if len(page.Records) > 0 {
		c.refresh()
	}
	return next
}

func (c *Controller) applyRecordLocked(now time.Time, record platform.Record) {
	view, verdict, err := c.authorizer.Views.Apply(now, record.Offset, record.Time, record.Data)
	switch verdict {
	case lease.Invalid:
		c.count("view_records_total", "verdict", "bad")
		klog.ErrorS(err, "skipped an invalid record of the view stream", "offset", record.Offset)
	case lease.Stale:
		c.count("view_records_total", "verdict", "stale")
	case lease.Accepted:
		c.count("view_records_total", "verdict", "accepted")
		c.decision("what", "view", "data_centre", view.DataCentre, "epoch", record.Offset, "base", view.BaseEpoch,
			"hosts", view.Hosts, "proposer", view.Proposer)
	}
}

// proposeViews proposes a view whenever core/lease asks for one. At most one
// append is in flight; whether it took effect is learned by reading the stream.
func (c *Controller) proposeViews(ctx context.Context) error {
	return every(ctx, proposeInterval, func(now time.Time) {
		live := c.liveHosts()
		c.mu.Lock()
		var record lease.Record
		wanted := false
		// A proposal based on an old read would be rejected as stale.
		current := !c.authorizer.LastReadStart.IsZero() && now.Sub(c.authorizer.LastReadStart) < c.cfg.LeaseTerm
		if !c.appendInFlight && current {
			record, wanted = c.proposer.Next(now, c.authorizer.Views, live)
			c.appendInFlight = wanted
		}
		c.mu.Unlock()
		if wanted {
			go c.propose(ctx, record)
		}
	})
}

func (c *Controller) propose(ctx context.Context, record lease.Record) {
	defer func() {
		c.mu.Lock()
		c.appendInFlight = false
		c.mu.Unlock()
	}()
	record.ID = uuid.NewString()
	data, err := record.Encode()
	if err != nil {
		klog.ErrorS(err, "encoding a view proposal failed")
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.log.Append(appendCtx, platform.StreamView, [][]byte{data})
	switch {
	case err == nil:
		c.count("view_proposals_total", "outcome", "appended")
	case errors.Is(err, platform.ErrRefused):
		c.count("view_proposals_total", "outcome", "refused")
	default:
		c.count("view_proposals_total", "outcome", "unknown")
	}
	klog.V(1).InfoS("append of a view proposal ended", "base", record.BaseEpoch, "hosts", record.Hosts, "err", err)
}

// liveHosts returns the sorted IDs of the hosts of the local data centre that
// may own replicas.
func (c *Controller) liveHosts() []string {
	var live []string
	for _, m := range c.members.All() {
		if m.DataCentre == c.self.DataCentre && (m.State == cluster.MemberAlive || m.State == cluster.MemberSuspect) {
			live = append(live, m.ID)
		}
	}
	slices.Sort(live)
	return live
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
