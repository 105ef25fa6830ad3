// Package logstore describes a partitioned log store with consumer groups, as
// far as an entry host needs one, and follows and writes its partitions.
//
// Every topic keeps the newest record of each key for good, so that state
// written here outlives the store's retention.
package logstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of store calls. An error that is none of these leaves the outcome
// unknown, like ErrUnknown.
var (
	// ErrUnavailable reports that the store refused the call and did nothing.
	ErrUnavailable = errors.New("log store refused the call")
	// ErrOutcomeUnknown reports a call without an answer. It may take effect later.
	ErrOutcomeUnknown = errors.New("log store did not answer")
	// ErrFenced reports that another writer has used a higher epoch.
	ErrFenced = errors.New("another writer has a higher epoch")
	// ErrDeleted reports that the records at an offset are gone.
	ErrDeleted = errors.New("records were deleted")
	// ErrFull reports that the store has no room for the records.
	ErrFull = errors.New("log store is full")
)

// SequenceError reports an append whose sequence number was not the next one.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence, expected %d", e.Expected)
}

// Partition names one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is one keyed record. A record without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set by the store
}

// IsTombstone says whether the record removes its key.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// Page is the result of one read.
type Page struct {
	Records []Record
	End     int64 // offset of the next append
}

// Listing holds the newest record of each key. Records at or after End may be
// missing or present.
type Listing struct {
	Records []Record
	End     int64
	More    bool // continue after the last record's key
}

// last returns the last key listed so far.
func (l Listing) last() string {
	if len(l.Records) == 0 {
		return ""
	}
	return l.Records[len(l.Records)-1].Key
}

// Writer fences the appends of one writer to one partition.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Membership is one member's part in a consumer group.
type Membership struct {
	Group      string
	Member     string
	Topic      string
	TTL        time.Duration
	Generation int64 // last one received
}

// Assignment is what the store deals to a member.
type Assignment struct {
	Generation int64
	Partitions []int
}

// Store is the platform's log store.
type Store interface {
	// Append adds records in order, all or none, and returns the partition's
	// end after them. A nil writer is not fenced. With a writer and no records
	// it only sets the writer's epoch.
	Append(ctx context.Context, p Partition, records []Record, w *Writer) (end int64, err error)
	// Read returns records from an offset on, not much more than maxBytes of
	// them, and waits up to wait for the first.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Page, error)
	// ListNewest lists the newest record of each key after a key, in the order of
	// keys. Pages are no snapshot.
	ListNewest(ctx context.Context, p Partition, after string) (Listing, error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Owners returns the member that holds each partition of a topic in a group.
	Owners(ctx context.Context, group, topic string) (map[int]string, error)
	// Leave gives up all partitions of a member.
	Leave(ctx context.Context, group, member string) error
}
