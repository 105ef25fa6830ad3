// Package intent decides which host may send a non-idempotent call, so that
// the call runs at most once in the whole system.
//
// A host writes an intent for the call's key to the log and reads the log up
// to its own record. An intent comes into force when no intent of the key is in
// force at its offset. Only its author sends the call, and only once. An author
// that gives up first marks the attempt as abandoned in memory, so that it
// never sends, and then writes an abandon record, after which a later intent of
// the key can come into force. An intent that finds another one in force has
// lost for good: its author never sends it, and a repeated record of it is
// ignored.
package intent

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Kind tells intents from abandon records.
type Kind string

// Kinds of records.
const (
	KindIntent  Kind = "intent"
	KindAbandon Kind = "abandon"
)

// maxHostBytes bounds the name of a host in a record.
const maxHostBytes = 256

// Key identifies a call. It is a UUIDv7.
type Key [16]byte

// ParseKey reads the canonical text form of a UUIDv7.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) {
		return Key{}, eris.New("idempotency key is not a UUID")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, eris.Errorf("idempotency key is a UUID of version %d, want 7", id.Version())
	}
	return Key(id), nil
}

// String returns the canonical text form.
func (k Key) String() string { return uuid.UUID(k).String() }

// Time is the time that the caller put into the key, in whole milliseconds.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Nonce tells the intents of a key apart. It is a UUID of any version.
type Nonce [16]byte

// ParseNonce reads the canonical text form.
func ParseNonce(text string) (Nonce, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) {
		return Nonce{}, eris.New("nonce is not a UUID")
	}
	return Nonce(id), nil
}

// String returns the canonical text form.
func (n Nonce) String() string { return uuid.UUID(n).String() }

// Originator is one life of an entry host. A host that starts again is another
// author, because it has lost its memory.
type Originator struct {
	Host        string
	Incarnation int64
}

// Record is one record of the intent stream.
type Record struct {
	Kind       Kind
	Key        Key
	Originator Originator
	Nonce      Nonce
}

// wireRecord is the form of a record in the log.
type wireRecord struct {
	Kind        Kind   `json:"kind"`
	Key         string `json:"key"`
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Encode returns the record's form in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(wireRecord{
		Kind: r.Kind, Key: r.Key.String(), Host: r.Originator.Host, Incarnation: r.Originator.Incarnation, Nonce: r.Nonce.String(),
	})
	return data, eris.Wrap(err, "encode intent record")
}

// Decode reads a record from its form in the log.
func Decode(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, eris.Wrap(err, "decode intent record")
	}
	key, keyErr := ParseKey(wire.Key)
	nonce, nonceErr := ParseNonce(wire.Nonce)
	switch {
	case keyErr != nil:
		return Record{}, eris.Wrap(keyErr, "decode intent record")
	case nonceErr != nil:
		return Record{}, eris.Wrap(nonceErr, "decode intent record")
	case wire.Kind != KindIntent && wire.Kind != KindAbandon:
		return Record{}, eris.Errorf("intent record has the unknown kind %q", wire.Kind)
	case wire.Host == "" || len(wire.Host) > maxHostBytes:
		return Record{}, eris.Errorf("intent record names a host of %d bytes, want 1 to %d", len(wire.Host), maxHostBytes)
	}
	return Record{wire.Kind, key, Originator{wire.Host, wire.Incarnation}, nonce}, nil
}
