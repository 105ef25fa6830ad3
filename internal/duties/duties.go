// Package duties has the calls to the platform's control API, which one host makes at a
// time: the owner of the control partition. A duty is a kind of such work. It appends
// what it is about to call to the control partition, and the next holder continues from
// there. The decision when a call may be sent is in core/duty.
package duties

import (
	"context"
	"errors"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Tenure identifies the time during which one host is the holder.
type Tenure struct {
	Holder string // name of the host
	// Fence is the fencing number: the epoch at which the host acquired the control
	// partition. It increases when the holder changes.
	Fence int64
	// Expires is the time on the clock of boottime.Now after which a call must not reach
	// the API. Office.Call sets it; zero means no limit.
	Expires time.Time
}

// UsageReport has the requests that began to run in one window. The
// API rejects two reports of one window that differ, so its counts never change.
type UsageReport struct {
	Window int64
	Counts map[string]int64 // by workspace
}

// ScaleOrder orders a number of servers of one kind of a service in a data centre. The
// number is absolute, so that a repeated order changes nothing.
type ScaleOrder struct {
	Service    string
	DataCentre string
	Count      int
	Spot       bool
}

// ControlAPI is the platform's control API. Nothing can be read back from it.
type ControlAPI interface {
	ReportUsage(context.Context, Tenure, UsageReport) error
	Scale(context.Context, Tenure, ScaleOrder) error
}

// Errors of ControlAPI.
var (
	// ErrFenced: the API has seen a call with a higher fencing number for the subject.
	ErrFenced = errors.New("the control API has seen a higher fencing number")
	// ErrRefused: nothing was done, because the API was not reached, has too many calls, or
	// has failed.
	ErrRefused = errors.New("the control API refused the call or was not reached")
	// ErrNoCapacity: the ordered servers are not available at the moment.
	ErrNoCapacity = errors.New("the ordered servers are not available")
	// ErrOutcomeUnknown: there was no response. The call may be executed seconds later,
	// after newer calls.
	ErrOutcomeUnknown = errors.New("the control API did not respond")
)

// Errors of Office.
var (
	// ErrNotHolder: the tenure ended or is not certain, and the call was not sent.
	ErrNotHolder = errors.New("this host is not certain to hold the duties")
	// ErrNotStored: records are not known to be in the control partition. They may still
	// get there.
	ErrNotStored = errors.New("records not stored in the control partition")
	// ErrExpired: the records of a call were stored too slowly, and the call was not sent.
	// It may be repeated.
	ErrExpired = errors.New("the records of the call were stored too slowly")
)

// KeyPrefix begins the keys of all records of duties in the control partition.
const KeyPrefix = "duty/"

// Call is one call of the control API.
type Call struct {
	// Subject is what the fencing numbers of calls are compared for, e.g. "usage" or
	// "scale/SERVICE/DATA CENTRE".
	Subject string
	// Records are stored together with the intent to call.
	Records []logstore.Record
	// Send makes the call, once the records are stored. It returns an error of ControlAPI.
	Send func(context.Context, Tenure) error
}

// Office gives a duty access to the control partition and to the control API during one
// tenure. It is safe for concurrent use, but two calls of one subject must not overlap.
type Office interface {
	Tenure() Tenure
	// Records returns the newest records of the control partition whose keys begin with
	// prefix, without removed ones and in the order of their keys. They include all those
	// of former holders. For a moment, they may show an older value of a key that this host
	// itself has written. The values must not be changed.
	Records(prefix string) []logstore.Record
	// Age returns how long this host has known the newest record of a key. The record may be
	// older, but not newer.
	Age(key string) time.Duration
	// Append stores records whose keys begin with KeyPrefix, in their order. Those without
	// a value remove their key. Without an error they are stored.
	Append(context.Context, []logstore.Record) error
	// Call waits until calls of former holders cannot arrive any more and the rate of
	// calls allows it, stores the intent with the call's records, and sends the call. It
	// returns the error of Send. If the call was not sent, it returns an error of Office, or
	// that of the context.
	Call(context.Context, Call) error
}

// Duty is work that the holder does.
type Duty interface {
	// Hold does the work until ctx ends, which it does when the tenure is no longer
	// certain. It is called again if the tenure becomes certain again or another one
	// begins; the calls do not overlap.
	Hold(ctx context.Context, office Office)
}
