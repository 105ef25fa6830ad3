// Package testlog is a platform log in memory for tests. Its faults are set by
// the test: outages, lost answers and expired records.
package testlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// pageRecords bounds the records of one page.
const pageRecords = 100

// Fault is what happens to the next append.
type Fault int

// Faults of appends.
const (
	// LoseAnswer stores the records and loses the answer.
	LoseAnswer Fault = iota + 1
	// LoseRequest loses the request, which looks the same to the caller.
	LoseRequest
	// Refuse answers that the records are not stored.
	Refuse
)

// Log is a platform.Log in memory. The zero value is not usable; see New.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	faults  []Fault
	appends int
	changed chan struct{}
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

// SetUnavailable begins or ends an outage. Reads that wait end with an error.
func (l *Log) SetUnavailable(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// InjectFaults sets the faults of the next appends, one each.
func (l *Log) InjectFaults(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// Expire drops all records of a stream below offset.
func (l *Log) Expire(name string, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).earliest = offset
}

// Records returns the records that a stream keeps.
func (l *Log) Records(name string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return slices.Clone(s.records[s.earliest:])
}

// Appends returns the number of appends that reached the log.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) wake() {
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
	if l.down || ctx.Err() != nil {
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
	l.wake()
	if fault == LoseAnswer {
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
	if l.down {
		return platform.Page{}, nil, context.DeadlineExceeded
	}
	s := l.stream(name)
	end := int64(len(s.records))
	from := min(max(offset, s.earliest), end)
	next := min(from+pageRecords, end)
	return platform.Page{Records: slices.Clone(s.records[from:next]), Earliest: s.earliest, Next: next, End: end}, l.changed, nil
}
