// Package config decides which configuration is in force. It applies the
// records of the log's config stream in offset order and gives the same result
// on every host that applies the same records, wherever it began to read.
//
// A change record is accepted when its base equals the version in force and
// the merged set is valid; the version of the new set is the record's offset
// plus one. A snapshot record holds the whole set as of an offset. It never
// changes the version in force of a reader that has read up to that offset; it
// lets a reader begin after older records have expired. A reset record holds a
// whole set that comes into force whatever was before; operators write one when
// no snapshot covers the expired records. The version in force never decreases.
package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"
)

// Kind tells the records of the stream apart.
type Kind string

// Kinds of records.
const (
	KindChange   Kind = "change"
	KindSnapshot Kind = "snapshot"
	KindReset    Kind = "reset"
)

// maxIDBytes bounds the ID of a record.
const maxIDBytes = 64

// Record is one record of the config stream.
type Record struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Base is the version that a change builds on, or the version that a
	// snapshot holds.
	Base int64 `json:"base"`
	// ReadOffset is the offset up to which a snapshot's author had read the stream:
	// the snapshot holds the effect of all records below it.
	ReadOffset int64 `json:"read,omitempty"`
	// Files holds added and replaced files of a change, or all files otherwise.
	Files map[string]string `json:"files"`
	// Removed lists the files that a change removes.
	Removed []string `json:"removed,omitempty"`
}

// Encode returns the record's form in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, eris.Wrap(err, "encode config record")
}

// Decode reads a record from its form in the log.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode config record")
	}
	switch {
	case r.ID == "" || len(r.ID) > maxIDBytes:
		return Record{}, eris.Errorf("config record has an ID of %d bytes, want 1 to %d", len(r.ID), maxIDBytes)
	case r.Kind != KindChange && r.Kind != KindSnapshot && r.Kind != KindReset:
		return Record{}, eris.Errorf("config record %s has the unknown kind %q", r.ID, r.Kind)
	case r.Base < 0 || r.ReadOffset < 0:
		return Record{}, eris.Errorf("config record %s has a negative base or read offset", r.ID)
	}
	return r, nil
}

// Diff returns the files that a change must add or replace and remove to turn
// the set from into the set to.
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

// merge returns from with the change applied, or the files of a reset; from
// stays as it is.
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
