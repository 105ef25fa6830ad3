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
	// longPollMargin is the least time beyond its long poll after which a read is sent
	// again, and lateMargin that after which it has failed: its response may be late or
	// lost. Both are well below 3 s, the time after an outage from which hosts count as
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
	keepFresh time.Duration    // see KeepFresh; 0 if unset
	now       func() time.Time // runs while the machine is suspended

	mu            sync.Mutex
	synced        bool      // all records up to some time were delivered; cleared to list again
	everSynced    bool      // synced was set at least once
	fromLog       bool      // see StartFromLog; cleared if the start of the log was deleted
	startEnd      int64     // end of the log when its reading from the start began, or unknownEnd
	listing       Listing   // pages read so far
	listAfter     string    // key after which the next page begins
	nextOffset    int64     // offset to read next
	reads         int64     // number of reads sent
	completeRead  int64     // newest read after which all records that it could see were delivered
	completeAsOf  time.Time // time up to which the delivered records are complete
	lastResponse  time.Time
	lastOutageEnd time.Time
	unavailable   bool
	patient       bool // a patient read is under way
	pacing        pacing
	advanced      chan struct{} // closed and replaced when nextOffset advances
}

// NewFollower returns a follower that calls apply for each batch, one at a time.
func NewFollower(store Store, p Partition, apply func(Batch)) *Follower {
	return &Follower{store: store, partition: p, apply: apply, now: boottime.Now, startEnd: unknownEnd, pacing: newPacing(), advanced: make(chan struct{})}
}

// YieldWhile makes the follower begin with a small read, and pause after slow ones until it
// has read the partition, while yields returns true, so that hosts which need the partition
// sooner get more of the store's bandwidth. It must be called before Run.
func (f *Follower) YieldWhile(yields func() bool) { f.yields = yields }

// KeepFresh makes the follower send patient reads, at this interval at most, whenever its
// newest complete read is older than age, also while others are under way. On a store that
// takes patientTimeout for an answer, CompleteAsOf is then older than that by age at most.
// It must be called before Run.
func (f *Follower) KeepFresh(age time.Duration) { f.keepFresh = age }

// unknownEnd is the end of a log of which no page was read yet.
const unknownEnd = -1

// StartFromLog makes the follower read the log from its start, as long as nothing of it was
// deleted, instead of a listing: a read returns several thousand small records, a page of
// a listing 500. No batch is Complete then. It must be called before Run.
func (f *Follower) StartFromLog() { f.fromLog = true }

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.lastResponse = time.Now()
	if f.yields != nil && f.yields() {
		f.pacing.readBytes = yieldReadBytes
	}
	f.mu.Unlock()
	if f.keepFresh > 0 {
		go f.refresh(ctx)
	}
	var yielded time.Duration
	for ctx.Err() == nil {
		began, listing := time.Now(), !f.isSynced()
		err := f.step(ctx, longPollTimeout)
		switch {
		case err != nil:
			f.recordFailure(err)
			if !errors.Is(err, ErrUnavailable) {
				f.readPatiently(ctx)
			}
			sleep(ctx, readRetryPause)
		case listing && f.yields != nil && f.yields():
			pause := yieldPause(time.Since(began), yielded)
			yielded += pause
			sleep(ctx, pause)
		case !listing:
			yielded = 0
		}
	}
}

// readPatiently sends a read with more time in the background, if reads have failed and no
// such read is under way. A store that answers slowly would otherwise count as unavailable
// for as long as it is slow; the short reads go on, because one that is sent before a
// store recovers gets no response.
func (f *Follower) readPatiently(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.patient || !f.synced || !f.pacing.needsPatience() {
		return
	}
	f.patient = true
	go func() {
		err := f.read(ctx, 0, patientTimeout, patientTimeout)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.patient = false
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("log store gave no answer to a patient read", "partition", f.partition, "err", err)
		}
	}()
}

// refreshChecks is the number of checks within the age of KeepFresh.
const refreshChecks = 10

// refresh implements KeepFresh until ctx ends.
func (f *Follower) refresh(ctx context.Context) {
	var sent time.Time
	for ; ctx.Err() == nil; sleep(ctx, f.keepFresh/refreshChecks) {
		now := f.now()
		if now.Sub(sent) < f.keepFresh || !f.isSynced() || f.Staleness() < f.keepFresh {
			continue
		}
		sent = now
		go func() {
			if err := f.read(ctx, 0, patientTimeout, patientTimeout); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("log store gave no answer to a read that keeps a partition fresh", "partition", f.partition, "err", err)
			}
		}()
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
	synced, unavailable, pace := f.synced, f.unavailable, f.pacing
	f.mu.Unlock()
	switch {
	case !synced:
		return f.read(ctx, 0, pace.pageTimeout(), pace.pageTimeout())
	case unavailable:
		return f.read(ctx, 0, pace.outageTimeout(), pace.outageTimeout())
	}
	margin := pace.margin()
	return f.read(ctx, wait, wait+margin, wait+max(margin, lateMargin))
}

// read is step with times. wait is how long the store may hold the read open, resend the
// time after which the read is sent a second time.
func (f *Follower) read(ctx context.Context, wait, resend, timeout time.Duration) error {
	f.mu.Lock()
	synced, fromLog, from, size := f.synced, f.fromLog, f.nextOffset, f.pacing.readBytes
	f.reads++
	read := f.reads
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !synced && !fromLog {
		return f.list(ctx, read)
	}
	var attempts atomic.Int32
	answered, err := Hedge(ctx, resend, func(ctx context.Context) (a answeredRead, err error) {
		a.sent = f.now()
		if attempts.Add(1) == 1 {
			a.wait = wait
		}
		began := time.Now()
		a.page, err = f.store.Read(ctx, f.partition, from, size, a.wait)
		a.latency = time.Since(began) - a.wait
		return a, err
	})
	if errors.Is(err, ErrDeleted) {
		klog.InfoS("records to read next were deleted, listing the partition", "partition", f.partition, "offset", from)
		f.mu.Lock()
		if from == f.nextOffset {
			f.synced, f.fromLog = false, false
		}
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pacing.answered(answered.latency)
	f.applyPage(answered, read)
	return nil
}

// answeredRead is an answer to a read, and when and with which long poll it was sent.
type answeredRead struct {
	page    Page
	sent    time.Time
	wait    time.Duration
	latency time.Duration // time until the answer beyond the long poll
}

// errNoEnd reports a first page that broke off: without the end that it reports, the
// follower does not know from which offset on to read the log.
var errNoEnd = errors.New("first page of the listing broke off")

// list reads the next page of the listing and, after the last one, delivers the
// listing. Pages already read are retained when a later one fails.
func (f *Follower) list(ctx context.Context, read int64) error {
	sent, began := f.now(), time.Now()
	f.mu.Lock()
	after := f.listAfter
	f.mu.Unlock()
	page, err := f.store.ListNewest(ctx, f.partition, after)
	if err != nil {
		return err
	}
	if page.Truncated && after == "" {
		return errNoEnd
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
	f.pacing.answered(time.Since(began))
	if page.Truncated {
		f.pacing.failed()
	} else {
		f.pacing.succeeded()
	}
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
	f.listing, f.listAfter, f.synced, f.everSynced = Listing{}, "", true, true
	f.apply(Batch{Records: complete.Records, Complete: true, LastOutageEnd: f.lastOutageEnd})
	f.advanceTo(max(complete.End, f.nextOffset))
	if len(complete.Records) == len(page.Records) {
		f.recordComplete(sent, read)
	}
	return nil
}

// recordComplete records that the delivered records are complete up to a time, according
// to a read. A late answer to an older read changes nothing. The caller holds mu.
func (f *Follower) recordComplete(asOf time.Time, read int64) {
	if asOf.After(f.completeAsOf) {
		f.completeAsOf = asOf
	}
	f.completeRead = max(f.completeRead, read)
}

// applyPage delivers the records of a page that were not delivered yet. The caller holds
// mu.
func (f *Follower) applyPage(answered answeredRead, read int64) {
	page := answered.page
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
	if f.fromLog && f.startEnd == unknownEnd {
		f.startEnd = page.End
	}
	if f.fromLog && f.nextOffset >= f.startEnd {
		f.synced, f.everSynced, f.fromLog = true, true, false
	}
	if f.nextOffset >= page.End {
		asOf := answered.sent
		if len(page.Records) == 0 && answered.latency >= 0 {
			// The store held the read open and nothing was appended meanwhile.
			asOf = asOf.Add(answered.wait)
		}
		f.recordComplete(asOf, read)
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

// HasSynced reports whether all records up to some time were delivered at least once.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everSynced
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

// CompleteAsOf returns the time on the clock of boottime.Now up to which the delivered
// records are complete; zero before the first complete read.
func (f *Follower) CompleteAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeAsOf
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
