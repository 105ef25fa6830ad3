package logstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Times of a follower.
const (
	// followWait is how long the store may hold a read. It bounds the age of
	// what a quiet partition is known to hold.
	followWait = 500 * time.Millisecond
	// followBytes bounds one read.
	followBytes = 1 << 20
	// callMargin is added to a call's own waiting time before it is given up.
	// It is well under the 3 s after which hosts count as reachable again.
	callMargin = 900 * time.Millisecond
	// downWait bounds a read while the store does not answer. A read that was
	// sent before the store came back gets no answer, so tries are short.
	downWait = 400 * time.Millisecond
	// followRetry is the pause after a failed read.
	followRetry = 150 * time.Millisecond
	// outageAfter is the time without an answer that counts as an outage.
	outageAfter = 1200 * time.Millisecond
)

// Batch is a run of records that a follower hands to its receiver.
type Batch struct {
	Records []Record
	// Complete says that the batch lists the newest record of every key: a key
	// that it lacks does not exist.
	Complete bool
	// LastOutageEnd says when the store last came back after an outage.
	LastOutageEnd time.Time
}

// Follower reads one partition and hands its records on in order.
type Follower struct {
	store     Store
	partition Partition
	apply     func(Batch)

	mu          sync.Mutex
	listed      bool
	listing     Listing   // pages read so far
	next        int64     // offset to read next
	current     time.Time // up to when the tables are known to be current
	lastAnswer  time.Time
	afterOutage time.Time
	down        bool
	changed     chan struct{} // closed and replaced when next moves
}

// NewFollower returns a follower that calls apply for each batch, one at a time.
func NewFollower(store Store, p Partition, apply func(Batch)) *Follower {
	return &Follower{store: store, partition: p, apply: apply, changed: make(chan struct{})}
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.lastAnswer = time.Now()
	f.mu.Unlock()
	for ctx.Err() == nil {
		if err := f.step(ctx, followWait); err != nil {
			f.failed(err)
			sleep(ctx, followRetry)
		}
	}
}

// step lists the partition if that was not done yet, and else reads on.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	listed, from, down := f.listed, f.next, f.down
	f.mu.Unlock()
	limit := wait + callMargin
	if down {
		wait, limit = 0, downWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !listed {
		return f.list(ctx)
	}
	sent := time.Now()
	page, err := f.store.Read(ctx, f.partition, from, followBytes, wait)
	if errors.Is(err, ErrDeleted) {
		klog.InfoS("records were deleted, listing again", "partition", f.partition, "offset", from)
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	f.accept(page, sent, wait)
	return nil
}

// list reads the next page of a listing, and hands the listing on when it is
// complete. Pages that were read are kept when a later one fails.
func (f *Follower) list(ctx context.Context) error {
	sent := time.Now()
	f.mu.Lock()
	after := f.listing.last()
	f.mu.Unlock()
	page, err := f.store.ListNewest(ctx, f.partition, after)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	if f.listed || after != f.listing.last() {
		return nil // another call has read on meanwhile
	}
	if after == "" {
		// What changes after the first page is read again from its end on.
		f.listing = Listing{End: page.End}
	}
	f.listing.Records = append(f.listing.Records, page.Records...)
	if page.More && len(page.Records) > 0 {
		return nil
	}
	complete := f.listing
	f.listing, f.listed = Listing{}, true
	f.apply(Batch{Records: complete.Records, Complete: true, LastOutageEnd: f.afterOutage})
	f.moveTo(max(complete.End, f.next))
	if len(complete.Records) == len(page.Records) {
		f.current = sent
	}
	return nil
}

// accept hands on the records of a page that were not handed on yet.
func (f *Follower) accept(page Page, sent time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	records := page.Records
	for len(records) > 0 && records[0].Offset < f.next {
		records = records[1:]
	}
	if len(records) > 0 {
		f.apply(Batch{Records: records, LastOutageEnd: f.afterOutage})
		f.moveTo(records[len(records)-1].Offset + 1)
	}
	if f.next >= page.End {
		f.current = sent
		if len(page.Records) == 0 {
			// The store held the call and had nothing new until its end.
			f.current = sent.Add(wait)
		}
	}
}

func (f *Follower) moveTo(next int64) {
	f.next = next
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) answered() {
	now := time.Now()
	if f.down {
		f.down = false
		f.afterOutage = now
		klog.InfoS("log store regained", "partition", f.partition, "outage", now.Sub(f.lastAnswer))
	}
	f.lastAnswer = now
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || time.Since(f.lastAnswer) < outageAfter {
		return
	}
	f.down = true
	klog.InfoS("log store lost", "partition", f.partition, "since", f.lastAnswer, "err", err)
}

// HasSynced says whether the partition was read at least once.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed || f.next > 0
}

// StoreUnavailable says whether the store has not answered for some time.
func (f *Follower) StoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// Staleness returns how old the newest knowledge of the partition is.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.current)
}

// CatchUp reads on until everything that the store held when it was called has
// been handed on.
func (f *Follower) CatchUp(ctx context.Context) error {
	start := time.Now()
	for {
		f.mu.Lock()
		done := f.listed && f.current.After(start)
		f.mu.Unlock()
		if done {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := f.step(ctx, 0); err != nil {
			return err
		}
	}
}

// WaitForOffset waits until all records before an offset have been handed on.
func (f *Follower) WaitForOffset(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		reached, changed := f.next >= offset, f.changed
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
