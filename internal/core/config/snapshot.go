package config

import (
	"time"
)

const (
	// maxChangesPerSnapshot bounds the records that a fresh host applies one by one.
	maxChangesPerSnapshot = 100
	// snapshotStagger separates the hosts' turns to write a due snapshot.
	snapshotStagger = 5 * time.Second
)

// DueSnapshot returns the snapshot that this host should append now. Rank is
// the host's place among the live hosts ordered by ID: a host waits for its
// turn, so that usually one host writes. More than one snapshot is harmless.
func (f *Follower) DueSnapshot(id string, rank int, retention time.Duration, now time.Time) (Record, bool) {
	if !f.CaughtUp() || f.state.Version == 0 || f.state.Offset < f.next {
		return Record{}, false
	}
	due := f.checkpoint.time.Add(retention / 3)
	if f.changes >= maxChangesPerSnapshot && len(f.positions) > 0 {
		due = f.positions[len(f.positions)-1].time
	}
	if now.Before(due.Add(time.Duration(rank) * snapshotStagger)) {
		return Record{}, false
	}
	return Record{ID: id, Kind: KindSnapshot, Base: f.state.Version, ReadOffset: f.state.Offset, Files: f.state.Files}, true
}

// remember keeps the position of a record that was applied.
func (f *Follower) remember(p position) {
	if len(f.positions) == maxPositions {
		f.positions = f.positions[1:]
	}
	f.positions = append(f.positions, p)
	if f.checkpoint.time.IsZero() && p.offset >= f.checkpoint.offset {
		f.checkpoint.time = p.time
	}
}

// noteSnapshot moves the checkpoint. A snapshot serves new readers for as long
// as the log keeps the records from its read offset on, so its age is the age
// of the first of these and not that of the snapshot itself.
func (f *Follower) noteSnapshot(snapshot Record, offset int64) {
	if snapshot.ReadOffset <= f.checkpoint.offset || snapshot.ReadOffset > offset {
		return
	}
	if len(f.positions) == 0 || f.positions[0].offset > snapshot.ReadOffset {
		return // too old to know its age
	}
	changes := 0
	for i := len(f.positions) - 1; i >= 0 && f.positions[i].offset >= snapshot.ReadOffset; i-- {
		f.checkpoint = position{snapshot.ReadOffset, f.positions[i].time}
		changes++
	}
	f.changes = changes - 1 // without the snapshot itself
}
