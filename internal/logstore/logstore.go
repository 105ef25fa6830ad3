// Package logstore defines the interface to a partitioned log store with consumer
// groups and builds on it a partition follower, a fenced writer and a group member.
//
// Every topic is compacted: the store retains the newest record of each key
// indefinitely, so that state written here outlives the retention of the log.
package logstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of store calls. Any other error leaves the outcome of the call unknown,
// as ErrOutcomeUnknown does.
var (
	// ErrUnavailable reports that the store refused the call; it had no effect.
	ErrUnavailable = errors.New("log store refused the call")
	// ErrOutcomeUnknown reports that no response arrived. The call may have taken
	// effect, or may still do so.
	ErrOutcomeUnknown = errors.New("log store did not answer")
	// ErrFenced reports that another writer has already used a higher epoch.
	ErrFenced = errors.New("another writer has a higher epoch")
	// ErrDeleted reports that the records at the requested offset were deleted.
	ErrDeleted = errors.New("records at the requested offset were deleted")
	// ErrFull reports that the store has no space for the records.
	ErrFull = errors.New("log store is full")
)

// SequenceError reports an append whose sequence number was not the expected one.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence, expected %d", e.Expected)
}

// DeletedError is an ErrDeleted that says which records are retained.
type DeletedError struct{ First int64 } // offset of the first retained record

func (e *DeletedError) Error() string {
	return fmt.Sprintf("%v, the first one retained is at %d", ErrDeleted, e.First)
}

// Is reports that the error is an ErrDeleted.
func (e *DeletedError) Is(target error) bool { return target == ErrDeleted }

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is a keyed record. A record with an empty value is a tombstone: it
// removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set by the store
}

// IsTombstone reports whether the record removes its key.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// Page is the result of one read.
type Page struct {
	Records []Record
	End     int64 // offset of the next append
	First   int64 // offset of the first record that was not deleted
	// Truncated is set if the call ended before all records of the page had arrived.
	// Records holds those that arrived whole.
	Truncated bool
}

// Listing is a list of the newest record of each key, or one page of it. Records
// at or after End may be included or missing.
type Listing struct {
	Records []Record
	End     int64
	More    bool // further pages follow, starting after the last record's key
	// Truncated is set if the call ended before the whole page had arrived. Records holds
	// those that arrived whole, More is set, and End is zero.
	Truncated bool
}

// next returns the key after which the next page of a listing begins. The page itself
// began after the given key, and has records.
func (l Listing) next(after string) (string, error) {
	last := l.Records[len(l.Records)-1].Key
	if last > after {
		return last, nil
	}
	// The empty key sorts first, and an empty parameter means the first page. Keys that
	// are not UTF-8 are listed with U+FFFD in place of bytes that may sort after it.
	switch prefix, _, replaced := strings.Cut(last, "\uFFFD"); {
	case last == "" && after == "":
		return "\x00", nil
	case replaced && prefix+"\xff\xff" > after:
		return prefix + "\xff\xff", nil
	}
	return "", fmt.Errorf("listing makes no progress: page after key %q ends with key %q", after, last)
}

// Writer identifies a fenced writer and the sequence number of one of its appends. The
// store rejects an append with an epoch below the highest one that a writer of the same
// name has used, or with a sequence number out of order.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Membership describes a member of a consumer group.
type Membership struct {
	Group      string
	Member     string
	Topic      string
	TTL        time.Duration
	Generation int64 // generation of the last assignment received
}

// Assignment is the set of partitions that the store assigns to a member.
type Assignment struct {
	Generation int64
	Partitions []int
}

// Store is a client of the platform's log store.
type Store interface {
	// Append appends records atomically and in order, and returns the end of the
	// partition after them. A nil writer appends without fencing. With a writer
	// and no records it only registers the writer's epoch.
	Append(ctx context.Context, p Partition, records []Record, w *Writer) (end int64, err error)
	// Read returns the records from an offset on, up to about maxBytes, and waits
	// up to wait for the first one. The error is a DeletedError or ErrDeleted if the
	// record at that offset was deleted.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Page, error)
	// ListNewest returns the next page of the newest records of all keys, in key
	// order and starting after the given key. The pages are not a snapshot.
	ListNewest(ctx context.Context, p Partition, after string) (Listing, error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Owners returns the member that owns each partition of a topic in a group.
	Owners(ctx context.Context, group, topic string) (map[int]string, error)
	// Leave removes a member from a group and releases its partitions.
	Leave(ctx context.Context, group, member string) error
}

// HasRecords reports whether records were ever appended to a partition.
func HasRecords(ctx context.Context, store Store, p Partition) (bool, error) {
	page, err := store.Read(ctx, p, 0, 1, 0)
	if errors.Is(err, ErrDeleted) {
		return true, nil
	}
	return page.End > 0, err
}
