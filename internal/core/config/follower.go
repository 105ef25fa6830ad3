package config

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// State is a configuration together with the offset below which all records
// have been applied to it. Its maps are shared and must not be changed.
type State struct {
	Version int64
	Offset  int64
	Files   map[string]string
	Set     *declare.Set
}

// Event tells what one record did.
type Event struct {
	Offset int64
	ID     string
	Kind   Kind
	// Accepted says that the record came into force.
	Accepted bool
	// Version is the version in force after the record.
	Version int64
	// Err is why a record was skipped: undecodable or invalid. A change that
	// lost against another one has no error.
	Err error
}

// position is an offset with the log's time of the record there.
type position struct {
	offset int64
	time   time.Time
}

// maxPositions bounds the remembered positions. A snapshot that was written
// more records ago than this does not postpone the next one.
const maxPositions = 256

// Follower applies the pages of the config stream. It is not safe for
// concurrent use. A follower whose records expired before it read them keeps
// its state, collects records up to the end of the stream, and goes on from the
// newest snapshot among them that covers the gap. One that begins to read does
// the same.
type Follower struct {
	state  State
	parser *declare.Parser
	// whole says that state is the effect of all records below state.Offset.
	whole bool
	// began says that a page was applied; before that, the gap is not known.
	began bool
	// next is the offset to read next; with a gap it is ahead of state.Offset.
	next    int64
	gapEnd  int64             // first offset that was read after the gap
	best    State             // newest state found after the gap; without a set there is none
	waiting []platform.Record // records from best on, in offset order

	positions  []position // of the newest records, in offset order
	checkpoint position   // a reader that begins at this offset can get the whole state
	changes    int        // change records applied since the checkpoint
}

// NewFollower returns a follower at the beginning of the stream with the empty
// configuration, version 0.
func NewFollower() *Follower {
	parser := declare.NewParser()
	set, _ := parser.Parse(nil)
	return &Follower{state: State{Files: map[string]string{}, Set: set}, parser: parser}
}

// Next returns the offset to read next.
func (f *Follower) Next() int64 { return f.next }

// State returns the configuration in force.
func (f *Follower) State() State { return f.state }

// CaughtUp says that no record was missed: the state is what the log says up to
// the state's offset. A follower that has read nothing is not whole.
func (f *Follower) CaughtUp() bool { return f.whole }

// Apply takes the next page of the stream and returns what its records did.
// Pages must be applied in the order in which they were read.
func (f *Follower) Apply(page platform.Page) []Event {
	if !f.began && !f.whole {
		f.best = f.state // the empty state, unless the first records are gone
	}
	f.began = true
	if page.Earliest > f.next {
		f.whole, f.gapEnd, f.best, f.waiting = false, page.Earliest, State{}, nil
		f.next, f.positions = page.Earliest, nil
	}
	var events []Event
	for _, record := range page.Records {
		if record.Offset < f.next {
			continue
		}
		f.next = record.Offset + 1
		if f.whole {
			events = append(events, f.record(record))
			continue
		}
		f.collect(record)
	}
	f.next = max(f.next, page.Next)
	if f.whole {
		f.state.Offset = f.next
		return events
	}
	if f.next < page.End || f.best.Set == nil || f.best.Version < f.state.Version {
		return nil
	}
	return f.resume(f.best)
}

// collect keeps a record for the time when the gap is closed. It drops those
// that a newer snapshot covers, so that a host that begins to read applies few.
func (f *Follower) collect(record platform.Record) {
	f.waiting = append(f.waiting, record)
	state, ok := f.wholeState(record)
	if !ok || state.Offset < f.gapEnd || state.Offset < f.best.Offset {
		return
	}
	set, findings := f.parser.Parse(state.Files)
	if findings.Err() != nil {
		return
	}
	state.Set = set
	f.best = state
	f.waiting = slices.DeleteFunc(f.waiting, func(r platform.Record) bool { return r.Offset < state.Offset })
}

// wholeState returns the state that a snapshot or a reset holds, without its
// set. That of a reset ends before the record, which is then applied.
func (f *Follower) wholeState(record platform.Record) (State, bool) {
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

// resume installs a state that covers the gap and applies the records after it.
func (f *Follower) resume(state State) []Event {
	waiting := f.waiting
	f.state, f.whole, f.waiting, f.best = state, true, nil, State{}
	f.checkpoint, f.changes = position{offset: state.Offset}, 0
	var events []Event
	for _, record := range waiting {
		if record.Offset >= state.Offset {
			events = append(events, f.record(record))
		}
	}
	f.next = max(f.next, state.Offset)
	f.state.Offset = f.next
	return events
}

// record applies one record to a whole state.
func (f *Follower) record(record platform.Record) Event {
	f.remember(position{record.Offset, record.Time})
	event := Event{Offset: record.Offset, Version: f.state.Version}
	decoded, err := Decode(record.Data)
	if err != nil {
		event.Err = err
		return event
	}
	event.ID, event.Kind = decoded.ID, decoded.Kind
	if decoded.Kind == KindSnapshot {
		f.noteSnapshot(decoded, record.Offset)
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

// Install takes a state from another host. It reports whether the state came
// into use. A state below the version in force never does.
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
	if !f.whole && (offset < f.gapEnd || offset < f.best.Offset) {
		f.state = state // records between the state and the collected ones are missing
		return true
	}
	f.resume(state)
	if f.checkpoint.time.IsZero() {
		f.checkpoint.time = now
	}
	return true
}
