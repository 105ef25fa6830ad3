package logstore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
)

// Timeouts and limits of a follower.
const (
	// longPollTimeout is how long the store may hold a read open. It bounds the
	// staleness of a partition to which nothing is appended.
	longPollTimeout = 500 * time.Millisecond
	// longPollMargin is the time beyond its long poll after which a read is sent again,
	// and lateMargin that after which it has failed: its response may be late or lost.
	// Both are well below 3 s, the time after an outage from which hosts count as
	// reachable again.
	longPollMargin = 900 * time.Millisecond
	lateMargin     = 1400 * time.Millisecond
	// readRetryPause is the pause after a failed read.
	readRetryPause = 150 * time.Millisecond
	// outageThreshold is the time without a response after which the store counts
	// as unavailable.
	outageThreshold = 1200 * time.Millisecond
)

// Batch is an ordered set of records that a follower delivers to its receiver.
type Batch struct {
	Records []Record
	// Complete is set if the batch holds the newest record of every key: a key
	// that is missing from it does not exist.
	Complete bool
	// LastOutageEnd is when the store last became available again after an
	// outage; zero if there was none.
	LastOutageEnd time.Time
}

// Follower reads one partition and delivers its records in order.
type Follower struct {
	store     Store
	partition Partition
	apply     func(Batch)
	yields    func() bool      // see YieldWhile
	now       func() time.Time // runs while the machine is suspended

	mu            sync.Mutex
	synced        bool      // a listing was delivered; cleared to list again
	listing       Listing   // pages read so far
	listAfter     string    // key after which the next page begins
	nextOffset    int64     // offset to read next
	reads         int64     // number of reads sent
	completeRead  int64     // newest read after which all records that it could see were delivered
	completeAsOf  time.Time // time up to which the delivered records are complete
	lastResponse  time.Time
	lastOutageEnd time.Time
	unavailable   bool
	pacing        pacing
	advanced      chan struct{} // closed and replaced when nextOffset advances
}

// NewFollower returns a follower that calls apply for each batch, one at a time.
func NewFollower(store Store, p Partition, apply func(Batch)) *Follower {
	return &Follower{store: store, partition: p, apply: apply, now: boottime.Now, pacing: newPacing(), advanced: make(chan struct{})}
}

// YieldWhile makes the follower pause between slow pages of a listing while yields
// returns true, so that hosts which need the partition sooner get more of the store's
// bandwidth. It must be called before Run.
func (f *Follower) YieldWhile(yields func() bool) { f.yields = yields }

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.lastResponse = time.Now()
	f.mu.Unlock()
	for ctx.Err() == nil {
		began, listing := time.Now(), !f.isSynced()
		err := f.step(ctx, longPollTimeout)
		switch {
		case err != nil:
			f.recordFailure(err)
			sleep(ctx, readRetryPause)
		case listing && f.yields != nil && f.yields():
			sleep(ctx, yieldPause(time.Since(began)))
		}
	}
}

func (f *Follower) isSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// step reads the next page of a listing that is not complete yet, or else the next
// records of the log.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	synced, from, unavailable, pace := f.synced, f.nextOffset, f.unavailable, f.pacing
	f.reads++
	read := f.reads
	f.mu.Unlock()
	retry, timeout := wait+longPollMargin, wait+lateMargin
	switch {
	case !synced:
		timeout = pace.pageTimeout()
	case unavailable:
		wait, retry = 0, pace.outageTimeout()
		timeout = 2 * retry
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !synced {
		return f.list(ctx, read)
	}
	var attempts atomic.Int32
	answered, err := Hedge(ctx, retry, func(ctx context.Context) (a answeredRead, err error) {
		a.sent = f.now()
		if attempts.Add(1) == 1 {
			a.wait = wait
		}
		a.page, err = f.store.Read(ctx, f.partition, from, pace.readBytes, a.wait)
		return a, err
	})
	if errors.Is(err, ErrDeleted) {
		klog.InfoS("records to read next were deleted, listing the partition again", "partition", f.partition, "offset", from)
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	f.applyPage(answered.page, read, answered.sent, answered.wait)
	return nil
}

// answeredRead is an answer to a read, and when and with which long poll it was sent.
type answeredRead struct {
	page Page
	sent time.Time
	wait time.Duration
}

// list reads the next page of the listing and, after the last one, delivers the
// listing. Pages already read are retained when a later one fails.
func (f *Follower) list(ctx context.Context, read int64) error {
	sent := f.now()
	f.mu.Lock()
	after := f.listAfter
	f.mu.Unlock()
	page, err := f.store.ListNewest(ctx, f.partition, after)
	if err != nil {
		return err
	}
	next := ""
	if page.More && len(page.Records) > 0 {
		if next, err = page.next(after); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse()
	f.pacing.succeeded()
	if f.synced || after != f.listAfter {
		return nil // a concurrent call has already read this page
	}
	if after == "" {
		// Later pages may miss records that are appended after the first page, so
		// the log is read from the end that the first page reported.
		f.listing = Listing{End: page.End}
	}
	f.listing.Records = append(f.listing.Records, page.Records...)
	if next != "" {
		f.listAfter = next
		return nil
	}
	complete := f.listing
	f.listing, f.listAfter, f.synced = Listing{}, "", true
	f.apply(Batch{Records: complete.Records, Complete: true, LastOutageEnd: f.lastOutageEnd})
	f.advanceTo(max(complete.End, f.nextOffset))
	if len(complete.Records) == len(page.Records) {
		f.completeAsOf, f.completeRead = sent, max(f.completeRead, read)
	}
	return nil
}

// applyPage delivers the records of a page that were not delivered yet.
func (f *Follower) applyPage(page Page, read int64, sent time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse()
	if page.Truncated {
		f.pacing.truncated()
	} else {
		f.pacing.succeeded()
	}
	records := page.Records
	for len(records) > 0 && records[0].Offset < f.nextOffset {
		records = records[1:]
	}
	if len(records) > 0 {
		f.apply(Batch{Records: records, LastOutageEnd: f.lastOutageEnd})
		f.advanceTo(records[len(records)-1].Offset + 1)
	}
	if f.nextOffset >= page.End {
		f.completeAsOf, f.completeRead = sent, max(f.completeRead, read)
		if len(page.Records) == 0 && f.now().Sub(sent) >= wait {
			// The store held the read open and nothing was appended meanwhile.
			f.completeAsOf = sent.Add(wait)
		}
	}
}

// advanceTo sets the offset to read next and wakes the callers of WaitForOffset. The
// caller holds mu.
func (f *Follower) advanceTo(next int64) {
	f.nextOffset = next
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// recordResponse records that the store has answered, which ends an outage. The caller
// holds mu.
func (f *Follower) recordResponse() {
	now := time.Now()
	if f.unavailable {
		f.unavailable = false
		f.lastOutageEnd = now
		klog.InfoS("log store is available again", "partition", f.partition, "outage", now.Sub(f.lastResponse))
	}
	f.lastResponse = now
}

// recordFailure records a failed call. An outage begins once the store has not answered
// for outageThreshold.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pacing.failed()
	if f.unavailable || time.Since(f.lastResponse) < outageThreshold {
		return
	}
	f.unavailable = true
	klog.InfoS("log store is unavailable", "partition", f.partition, "since", f.lastResponse, "err", err)
}

// HasSynced reports whether a complete listing was delivered at least once.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced || f.nextOffset > 0
}

// StoreUnavailable reports whether the store has not answered for at least
// outageThreshold.
func (f *Follower) StoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable
}

// Staleness returns the time since the delivered records were known to be complete.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.completeAsOf)
}

// Progress returns the offset to read next, and the time since the delivered records
// were known to be complete.
func (f *Follower) Progress() (nextOffset int64, staleness time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset, f.now().Sub(f.completeAsOf)
}

// CatchUp reads until every record that the store held at the time of the call
// has been delivered.
func (f *Follower) CatchUp(ctx context.Context) error {
	f.mu.Lock()
	before := f.reads
	f.mu.Unlock()
	for {
		f.mu.Lock()
		// Times prove nothing: a read may be answered early.
		done := f.synced && f.completeRead > before
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

// WaitForOffset waits until all records before an offset have been delivered.
func (f *Follower) WaitForOffset(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		reached, advanced := f.nextOffset >= offset, f.advanced
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-advanced:
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
