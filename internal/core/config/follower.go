package config

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// State is a configuration together with the offset below which all records
// have been applied to it. Its maps are shared and must not be modified.
type State struct {
	Version int64
	Offset  int64
	Files   map[string]string
	Set     *declare.Set // parsed from Files
}

// Event describes the effect of one record.
type Event struct {
	Offset int64
	ID     string
	Kind   Kind
	// Accepted reports that the record became the active configuration.
	Accepted bool
	// Version is the active version after the record.
	Version int64
	// Err is the reason for skipping an undecodable or invalid record. It is
	// nil for a change that was rejected because its base is not the active
	// version.
	Err error
}

// position is the offset of a record and the time at which the log stored it.
type position struct {
	offset int64
	time   time.Time
}

// maxPositions is the maximum number of positions stored. A snapshot whose read
// offset is older than all of them does not postpone the next snapshot.
const maxPositions = 256

// Follower applies the pages of the config stream. It is not safe for
// concurrent use.
//
// If records expire before the Follower has read them, it retains its state,
// buffers records up to the end of the stream, and restores the newest snapshot
// or reset among them that covers the gap. A Follower that starts reading the
// stream does the same.
type Follower struct {
	state  State
	parser *declare.Parser
	// caughtUp reports that state includes the effect of all records below
	// state.Offset.
	caughtUp bool
	// started reports that a page was applied; until then it is unknown whether
	// records are missing.
	started bool
	// next is the offset to read next; while there is a gap it exceeds
	// state.Offset.
	next         int64
	gapEnd       int64             // first offset available after the gap
	restorePoint State             // newest state found that covers the gap; its Set is nil if there is none
	buffered     []platform.Record // records from the offset of restorePoint on, in offset order

	positions  []position // positions of the newest records, in offset order
	checkpoint position   // a reader that starts at this offset obtains the full state
	changes    int        // change and reset records processed since the checkpoint
}

// NewFollower returns a Follower at the start of the stream with the empty
// configuration, version 0.
func NewFollower() *Follower {
	parser := declare.NewParser()
	set, _ := parser.Parse(nil)
	return &Follower{state: State{Files: map[string]string{}, Set: set}, parser: parser}
}

// Next returns the offset to read next.
func (f *Follower) Next() int64 { return f.next }

// State returns the active configuration.
func (f *Follower) State() State { return f.state }

// CaughtUp reports that no record is missing from the state: it includes the
// effect of all records below the state's offset. A Follower that has not read
// anything is not caught up.
func (f *Follower) CaughtUp() bool { return f.caughtUp }

// Apply applies the next page of the stream and returns the effects of its
// records. Pages must be applied in the order in which they were read.
func (f *Follower) Apply(page platform.Page) []Event {
	if !f.started && !f.caughtUp {
		f.restorePoint = f.state // the empty state, unless the first records have expired
	}
	f.started = true
	if page.Earliest > f.next {
		f.caughtUp, f.gapEnd, f.restorePoint, f.buffered = false, page.Earliest, State{}, nil
		f.next, f.positions = page.Earliest, nil
	}
	var events []Event
	for _, record := range page.Records {
		if record.Offset < f.next {
			continue
		}
		f.next = record.Offset + 1
		if f.caughtUp {
			events = append(events, f.applyRecord(record))
			continue
		}
		f.buffer(record)
	}
	f.next = max(f.next, page.Next)
	if f.caughtUp {
		f.state.Offset = f.next
		return events
	}
	if f.next < page.End || f.restorePoint.Set == nil || f.restorePoint.Version < f.state.Version {
		return nil
	}
	return f.restore(f.restorePoint)
}

// buffer stores a record until the gap is covered. It discards the records that
// a newer snapshot covers, so that a host that starts reading applies few of
// them.
func (f *Follower) buffer(record platform.Record) {
	f.buffered = append(f.buffered, record)
	state, ok := f.fullState(record)
	if !ok || state.Offset < f.gapEnd || state.Offset < f.restorePoint.Offset {
		return
	}
	set, findings := f.parser.Parse(state.Files)
	if findings.Err() != nil {
		return
	}
	state.Set = set
	f.restorePoint = state
	f.buffered = slices.DeleteFunc(f.buffered, func(r platform.Record) bool { return r.Offset < state.Offset })
}

// fullState returns the state contained in a snapshot or reset record, without
// its Set. The state of a reset has the offset of the record itself, which is
// then applied on top of it.
func (f *Follower) fullState(record platform.Record) (State, bool) {
	decoded, err := Decode(record.Data)
	switch {
	case err != nil:
		return State{}, false
	case decoded.Kind == KindReset:
		return State{Version: f.state.Version, Offset: record.Offset, Files: decoded.Files}, true
	case decoded.Kind == KindSnapshot && decoded.ReadOffset <= record.Offset:
		return State{Version: decoded.Base, Offset: decoded.ReadOffset, Files: decoded.Files}, true
	}
	return State{}, false
}

// restore installs a state that covers the gap and applies the buffered records
// after it.
func (f *Follower) restore(state State) []Event {
	buffered := f.buffered
	f.state, f.caughtUp, f.buffered, f.restorePoint = state, true, nil, State{}
	f.checkpoint, f.changes = position{offset: state.Offset}, 0
	var events []Event
	for _, record := range buffered {
		if record.Offset >= state.Offset {
			events = append(events, f.applyRecord(record))
		}
	}
	f.next = max(f.next, state.Offset)
	f.state.Offset = f.next
	return events
}

// applyRecord applies one record to a caught-up state.
func (f *Follower) applyRecord(record platform.Record) Event {
	f.recordPosition(position{record.Offset, record.Time})
	event := Event{Offset: record.Offset, Version: f.state.Version}
	decoded, err := Decode(record.Data)
	if err != nil {
		event.Err = err
		return event
	}
	event.ID, event.Kind = decoded.ID, decoded.Kind
	if decoded.Kind == KindSnapshot {
		f.advanceCheckpoint(decoded, record.Offset)
		return event
	}
	f.changes++
	if decoded.Kind == KindChange && decoded.Base != f.state.Version {
		return event
	}
	files := decoded.merge(f.state.Files)
	set, findings := f.parser.Parse(files)
	if event.Err = findings.Err(); event.Err != nil {
		return event
	}
	f.state.Version, f.state.Files, f.state.Set = record.Offset+1, files, set
	event.Accepted, event.Version = true, f.state.Version
	return event
}

// Install installs a state received from another host and reports whether it is
// now used. A state older than the active version is never installed.
func (f *Follower) Install(version, offset int64, files map[string]string, now time.Time) bool {
	older := version < f.state.Version || version == f.state.Version && offset <= f.state.Offset
	if older || offset < version {
		return false
	}
	set, findings := f.parser.Parse(files)
	if findings.Err() != nil {
		return false
	}
	state := State{Version: version, Offset: offset, Files: files, Set: set}
	if !f.caughtUp && (offset < f.gapEnd || offset < f.restorePoint.Offset) {
		f.state = state // records between this state and the buffered ones are missing
		return true
	}
	f.restore(state)
	if f.checkpoint.time.IsZero() {
		f.checkpoint.time = now
	}
	return true
}
