// Package config determines the active configuration. It applies the records of
// the log's config stream in offset order, with the same result on every host
// that applies the same records, regardless of the offset at which it started
// to read.
//
// There are three kinds of records:
//
//   - A change is accepted if its base equals the active version and the merged
//     set is valid. The version of the new set is the offset of the record plus
//     one.
//   - A snapshot contains the complete set as of an offset. It never changes
//     the active version of a reader that has read up to that offset; it allows
//     a reader to start after older records have expired.
//   - A reset contains a complete set that becomes active regardless of the
//     previous one. Operators write a reset when no snapshot covers the expired
//     records.
//
// The active version never decreases.
package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"
)

// Kind is the kind of a Record.
type Kind string

// Kinds of records.
const (
	KindChange   Kind = "change"
	KindSnapshot Kind = "snapshot"
	KindReset    Kind = "reset"
)

// maxIDBytes is the maximum length of a record's ID.
const maxIDBytes = 64

// Record is one record of the config stream.
type Record struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Base is the version that a change builds on, or the version that a
	// snapshot contains.
	Base int64 `json:"base"`
	// ReadOffset is the offset up to which the writer of a snapshot had read
	// the stream: the snapshot includes the effect of all records below it.
	ReadOffset int64 `json:"read,omitempty"`
	// Files contains the added and replaced files of a change, or all files of
	// a snapshot or reset.
	Files map[string]string `json:"files"`
	// Removed lists the paths of the files that a change removes.
	Removed []string `json:"removed,omitempty"`
}

// Encode returns the JSON encoding of the record as stored in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, eris.Wrap(err, "encode config record")
}

// Decode decodes and validates a record read from the log.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode config record")
	}
	switch {
	case r.ID == "" || len(r.ID) > maxIDBytes:
		return Record{}, eris.Errorf("config record has an ID of %d bytes, want 1 to %d", len(r.ID), maxIDBytes)
	case r.Kind != KindChange && r.Kind != KindSnapshot && r.Kind != KindReset:
		return Record{}, eris.Errorf("config record %s has unknown kind %q, want change, snapshot or reset", r.ID, r.Kind)
	case r.Base < 0 || r.ReadOffset < 0:
		return Record{}, eris.Errorf("config record %s has a negative base or read offset", r.ID)
	}
	return r, nil
}

// Diff returns the files that a change must add or replace, and those that it
// must remove, to turn the set from into the set to.
func Diff(from, to map[string]string) (files map[string]string, removed []string) {
	files = make(map[string]string)
	for path, content := range to {
		if old, ok := from[path]; !ok || old != content {
			files[path] = content
		}
	}
	for path := range from {
		if _, ok := to[path]; !ok {
			removed = append(removed, path)
		}
	}
	return files, removed
}

// merge returns the files after applying the change to from, or the files of a
// reset. It does not modify from.
func (r Record) merge(from map[string]string) map[string]string {
	if r.Kind == KindReset {
		return r.Files
	}
	merged := make(map[string]string, len(from)+len(r.Files))
	maps.Copy(merged, from)
	for _, path := range r.Removed {
		delete(merged, path)
	}
	maps.Copy(merged, r.Files)
	return merged
}
