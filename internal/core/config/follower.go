package config

import (
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
	// Accepted says that the record is a change that came into force.
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
// its state and collects records until it finds a snapshot that closes the gap.
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
	waiting []platform.Record // records after the gap, in offset order

	positions  []position // of the newest records, in offset order
	checkpoint position   // a reader that begins at this offset can get the whole state
	changes    int        // change records applied since the checkpoint
}

// NewFollower returns a follower at the beginning of the stream with the empty
// configuration, version 0.
func NewFollower() *Follower {
	parser := declare.NewParser()
	set, _ := parser.Parse(nil)
	return &Follower{state: State{Files: map[string]string{}, Set: set}, parser: parser, whole: true}
}

// Next returns the offset to read next.
func (f *Follower) Next() int64 { return f.next }

// State returns the configuration in force.
func (f *Follower) State() State { return f.state }

// Whole says that no record was missed: the state is what the log says up to
// the state's offset. A follower that has read nothing is not whole.
func (f *Follower) Whole() bool { return f.whole && (f.began || f.state.Offset > 0) }

// Apply takes the next page of the stream and returns what its records did.
// Pages must be applied in the order in which they were read.
func (f *Follower) Apply(page platform.Page) []Event {
	f.began = true
	if page.Earliest > f.next {
		f.whole, f.gapEnd, f.waiting = false, page.Earliest, nil
		f.next, f.positions = page.Earliest, nil
	}
	searched := len(f.waiting)
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
		f.waiting = append(f.waiting, record)
	}
	f.next = max(f.next, page.Next)
	if f.whole {
		f.state.Offset = f.next
		return events
	}
	return f.closeGap(f.waiting[searched:])
}

// closeGap looks among new records for the newest snapshot that covers the
// gap, and applies the collected records that it does not yet hold.
func (f *Follower) closeGap(added []platform.Record) []Event {
	var best State
	for _, record := range added {
		decoded, err := Decode(record.Data)
		if err != nil || decoded.Kind != KindSnapshot || decoded.Read < f.gapEnd ||
			decoded.Read > record.Offset || decoded.Read < best.Offset {
			continue
		}
		if set, findings := f.parser.Parse(decoded.Files); findings.Err() == nil {
			best = State{Version: decoded.Base, Offset: decoded.Read, Files: decoded.Files, Set: set}
		}
	}
	if best.Set == nil || best.Version < f.state.Version {
		return nil
	}
	return f.resume(best)
}

// resume installs a state that covers the gap and applies the records after it.
func (f *Follower) resume(state State) []Event {
	waiting := f.waiting
	f.state, f.whole, f.waiting = state, true, nil
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
	if decoded.Base != f.state.Version {
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
	if !f.whole && offset < f.gapEnd {
		f.state = state // records between the state and the gap's end are still missing
		return true
	}
	f.resume(state)
	if f.checkpoint.time.IsZero() {
		f.checkpoint.time = now
	}
	return true
}
