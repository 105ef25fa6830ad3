// Package platform defines interfaces to the services of the platform, namely
// the append-only log, the host list and the weight store, and implements HTTP
// clients for them.
package platform

import (
	"context"
	"errors"
	"time"
)

// Names of the log's streams.
const (
	StreamConfig = "config"
	StreamIntent = "intent"
	StreamView   = "view"
)

// ErrOutcomeUnknown reports an append whose response was lost: the records may
// or may not be in the log.
var ErrOutcomeUnknown = errors.New("append outcome is unknown")

// ErrRefused reports an append that the log refused or that never reached it:
// the records are not in the log.
var ErrRefused = errors.New("append was refused")

// Record is one record of a stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // assigned by the log
	Data   []byte    `json:"data"`
}

// Page is the result of one read of a stream.
type Page struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"` // oldest offset still retained
	Next     int64    `json:"next"`     // offset of the next read
	End      int64    `json:"end"`      // offset that the next appended record will get
}

// Log is the platform's append-only log service.
//
// Over HTTP, POST /streams/{stream}/records takes a JSON array of base64 strings
// and returns {"offset": first}; GET /streams/{stream}/records?offset=N&wait_ms=M&max=K
// returns a Page. A read below the earliest offset starts at the earliest.
type Log interface {
	// Append appends records in order and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records starting at offset. If there are none yet, it blocks
	// until one is appended, but no longer than wait.
	Read(ctx context.Context, stream string, offset int64, wait time.Duration) (Page, error)
}

// BackendKind distinguishes inference engines from plain services.
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
	Model      string      `json:"model,omitempty"`   // model that the engine was started with
	Addr       string      `json:"addr"`              // IP:port
	DataCentre string      `json:"data_centre"`
	Leaving    bool        `json:"leaving"`
}

// HostList is the platform's list of backend servers, which lags behind the actual
// state. Over HTTP, GET /hosts returns {"hosts": [...]}; its ETag allows
// conditional requests.
type HostList interface {
	BackendServers(ctx context.Context) ([]BackendServer, error)
}

// WeightStore lists the weight versions of a model. Over HTTP,
// GET /models/{model}/versions returns {"versions": [1, 2]}.
type WeightStore interface {
	Versions(ctx context.Context, model string) ([]int64, error)
}
