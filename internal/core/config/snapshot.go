package config

import (
	"time"
)

const (
	// maxChangesPerSnapshot is the number of changes after which a snapshot is
	// due. It limits how many records a host that starts reading applies one by
	// one.
	maxChangesPerSnapshot = 100
	// snapshotStagger is the delay between the hosts, by rank, before they
	// write a snapshot that is due.
	snapshotStagger = 5 * time.Second
)

// DueSnapshot returns the snapshot that this host should append now. Rank is
// the position of the host among the live hosts ordered by ID: each host waits
// rank times snapshotStagger, so that usually only one writes the snapshot.
// More than one snapshot is harmless.
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

// recordPosition stores the position of a processed record.
func (f *Follower) recordPosition(p position) {
	if len(f.positions) == maxPositions {
		f.positions = f.positions[1:]
	}
	f.positions = append(f.positions, p)
	if f.checkpoint.time.IsZero() && p.offset >= f.checkpoint.offset {
		f.checkpoint.time = p.time
	}
}

// advanceCheckpoint moves the checkpoint to the read offset of a snapshot. A
// snapshot is usable by new readers as long as the log retains the records from
// its read offset on. Its age is therefore the age of the first of these
// records, not that of the snapshot itself.
func (f *Follower) advanceCheckpoint(snapshot Record, offset int64) {
	if snapshot.ReadOffset <= f.checkpoint.offset || snapshot.ReadOffset > offset {
		return
	}
	if len(f.positions) == 0 || f.positions[0].offset > snapshot.ReadOffset {
		return // older than the stored positions, so its age is unknown
	}
	changes := 0
	for i := len(f.positions) - 1; i >= 0 && f.positions[i].offset >= snapshot.ReadOffset; i-- {
		f.checkpoint = position{snapshot.ReadOffset, f.positions[i].time}
		changes++
	}
	f.changes = changes - 1 // exclude the snapshot record itself
}
