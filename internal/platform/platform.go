// Package platform holds the interfaces to what the platform provides: the
// append-only log, the host list and the weight store, with their HTTP clients.
package platform

import (
	"context"
	"errors"
	"time"
)

// Stream names of the log.
const (
	StreamConfig = "config"
	StreamIntent = "intent"
	StreamView   = "view"
)

// ErrOutcomeUnknown reports an append whose answer was lost: the records may
// or may not be in the log.
var ErrOutcomeUnknown = errors.New("append outcome is unknown")

// ErrRefused reports an append that the log answered with a refusal: the
// records are not in the log.
var ErrRefused = errors.New("append was refused")

// Record is one entry of a stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // set by the log
	Data   []byte    `json:"data"`
}

// Page is the result of one read.
type Page struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"` // oldest offset still kept
	Next     int64    `json:"next"`     // offset to read next
	End      int64    `json:"end"`      // offset that the next append will get
}

// Log is the platform's append-only log service.
// HTTP: POST /streams/{stream}/records with a JSON array of base64 strings
// answers {"offset": first}; GET /streams/{stream}/records?offset=N&wait_ms=M&max=K
// answers a Page. A read below the earliest offset starts at the earliest.
type Log interface {
	// Append adds records in order and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from offset on and waits up to wait for the first one.
	Read(ctx context.Context, stream string, offset int64, wait time.Duration) (Page, error)
}

// BackendKind tells engines from plain services.
type BackendKind string

// Kinds of backend servers in the host list.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is one row of the host list.
type BackendServer struct {
	ID         string      `json:"id"`
	Kind       BackendKind `json:"kind"`
	Service    string      `json:"service,omitempty"` // name of the plain service
	Model      string      `json:"model,omitempty"`   // model that an engine was started for
	Addr       string      `json:"addr"`              // IP:port
	DataCentre string      `json:"data_centre"`
	Leaving    bool        `json:"leaving"`
}

// HostList is the platform's lagging list of backend servers. HTTP: GET /hosts.
type HostList interface {
	BackendServers(ctx context.Context) ([]BackendServer, error)
}

// WeightStore lists weight versions. HTTP: GET /models/{model}/versions
// answers {"versions": [1, 2]}.
type WeightStore interface {
	Versions(ctx context.Context, model string) ([]int64, error)
}
