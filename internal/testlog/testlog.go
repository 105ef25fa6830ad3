// Package testlog implements an in-memory platform.Log for tests, which can inject
// outages, lost requests and responses, refused appends and expired records.
package testlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// maxPageRecords is the maximum number of records in one page.
const maxPageRecords = 100

// Fault is a failure of one append.
type Fault int

// Faults of appends.
const (
	// LoseResponse stores the records, but loses the response.
	LoseResponse Fault = iota + 1
	// LoseRequest loses the request, so that nothing is stored. The caller gets
	// the same error as for LoseResponse.
	LoseRequest
	// Refuse rejects the append, so that nothing is stored.
	Refuse
)

// Log is an in-memory platform.Log. The zero value is not usable; call New.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	unavailable bool
	faults      []Fault
	appends     int
	changed     chan struct{}
}

type stream struct {
	records  []platform.Record
	earliest int64
}

var _ platform.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

// SetUnavailable begins or ends an outage. Pending reads fail when an outage begins.
func (l *Log) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.notifyReaders()
}

// InjectFaults sets the faults of the next appends, one each.
func (l *Log) InjectFaults(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// Expire removes all records of a stream below offset.
func (l *Log) Expire(name string, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).earliest = offset
}

// Records returns the records of a stream that have not expired.
func (l *Log) Records(name string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return slices.Clone(s.records[s.earliest:])
}

// Appends returns the number of appends made while the log was available,
// including those with an injected fault.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable || ctx.Err() != nil {
		return 0, platform.ErrOutcomeUnknown
	}
	l.appends++
	var fault Fault
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case Refuse:
		return 0, platform.ErrRefused
	case LoseRequest:
		return 0, platform.ErrOutcomeUnknown
	}
	s := l.stream(name)
	first := int64(len(s.records))
	for i, data := range records {
		s.records = append(s.records, platform.Record{Offset: first + int64(i), Time: time.Now(), Data: slices.Clone(data)})
	}
	l.notifyReaders()
	if fault == LoseResponse {
		return 0, platform.ErrOutcomeUnknown
	}
	return first, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, offset int64, wait time.Duration) (platform.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for expired := wait <= 0; ; {
		page, changed, err := l.page(name, offset)
		if err != nil || len(page.Records) > 0 || expired {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

func (l *Log) page(name string, offset int64) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.Page{}, nil, context.DeadlineExceeded
	}
	s := l.stream(name)
	end := int64(len(s.records))
	from := min(max(offset, s.earliest), end)
	next := min(from+maxPageRecords, end)
	return platform.Page{Records: slices.Clone(s.records[from:next]), Earliest: s.earliest, Next: next, End: end}, l.changed, nil
}
