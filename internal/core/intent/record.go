// Package intent decides which host may send a non-idempotent call, so that the
// call runs at most once in the whole system.
//
// A host appends an intent for the call's key to the log and reads the log up
// to its own record. An intent becomes active if no intent of the key is active
// at its offset. Only its originator sends the call, and only once. An
// originator that aborts first marks the attempt as abandoned in memory, so
// that it never sends the call, and then appends an abandon record, after which
// a later intent of the key can become active. An intent that finds another one
// active is rejected for good: its originator never sends the call, and a
// repeated record of the intent is ignored.
package intent

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Kind distinguishes intents from abandon records.
type Kind string

// Kinds of records.
const (
	KindIntent  Kind = "intent"
	KindAbandon Kind = "abandon"
)

// maxHostBytes bounds the length of a host name in a record.
const maxHostBytes = 256

// Key identifies a call. It is a UUIDv7.
type Key [16]byte

// ParseKey parses the canonical text form of a UUIDv7.
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

// InWorkspace returns the key of a call that a workspace's caller sends with the key. Equal
// keys of two workspaces are different ones. The result is a UUIDv7 of the same time, with a
// digest in place of the random bits.
func (k Key) InWorkspace(name string) Key {
	const timeBytes = 6
	digest := sha256.Sum256(append(k[:], name...))
	derived := k
	copy(derived[timeBytes:], digest[:])
	derived[6] = derived[6]&0x0f | k[6]&0xf0 // version
	derived[8] = derived[8]&0x3f | k[8]&0xc0 // variant
	return derived
}

// Time returns the time that the caller encoded in the key, in whole
// milliseconds.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Nonce distinguishes the intents of a key. It is a UUID of any version.
type Nonce [16]byte

// ParseNonce parses the canonical text form.
func ParseNonce(text string) (Nonce, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) {
		return Nonce{}, eris.New("nonce is not a UUID")
	}
	return Nonce(id), nil
}

// String returns the canonical text form.
func (n Nonce) String() string { return uuid.UUID(n).String() }

// Originator is one incarnation of an entry host. A restarted host is another
// originator, because it has lost its state.
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

// wireRecord is the JSON form of a record in the log.
type wireRecord struct {
	Kind        Kind   `json:"kind"`
	Key         string `json:"key"`
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Encode returns the JSON form of the record in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(wireRecord{
		Kind: r.Kind, Key: r.Key.String(), Host: r.Originator.Host, Incarnation: r.Originator.Incarnation, Nonce: r.Nonce.String(),
	})
	return data, eris.Wrap(err, "encode intent record")
}

// Decode parses and validates the JSON form of a record in the log.
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
		return Record{}, eris.Errorf("intent record has unknown kind %q", wire.Kind)
	case wire.Host == "" || len(wire.Host) > maxHostBytes:
		return Record{}, eris.Errorf("intent record has a host name of %d bytes, want 1 to %d", len(wire.Host), maxHostBytes)
	}
	return Record{wire.Kind, key, Originator{wire.Host, wire.Incarnation}, nonce}, nil
}
