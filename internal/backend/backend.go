// Package backend describes what an entry host needs of backend servers.
package backend

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Errors of calls to backend servers.
var (
	// ErrNotSent reports that no byte of the request left this host.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown reports a request that may have run: no proper answer came.
	ErrOutcomeUnknown = errors.New("backend server gave no proper answer")
)

// Target is one start of one backend server.
type Target struct {
	ID   string
	Addr string
}

// Request is a plain request for a backend server.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query as the client sent them
	HostName string
	Header   http.Header
	Body     []byte
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// InstanceMismatch says that another server has the address now.
	InstanceMismatch bool
	// VersionMismatch says that the replica has another weight version.
	VersionMismatch bool
}

// Run is one run of an item on a replica.
type Run struct {
	ID       string
	HostName string
	Path     string
	Headers  map[string]string
	Body     []byte
	// Version is the weight version that the replica must have.
	Version int64
	// LastEventID is the ID of the last event that is known already.
	LastEventID int64
	Resumed     bool
}

// Event is one event of a run.
type Event struct {
	ID      int64
	Data    string
	Version int64  // weight version that made it
	Raw     []byte // as the server sent it; streams only
}

// Stream is a plain request that is answered with events.
type Stream struct {
	Request *Request
	// LastEventID is the ID of the last event that the client has.
	LastEventID int64
	Resumed     bool
	Timeout     time.Duration // how long the client waits
	// OnHeaders is called once, before the first event, with the answer's head.
	OnHeaders func(*Answer)
	// OnEvent is called for each whole event.
	OnEvent func(Event)
}

// RunEnd says how a run ended.
type RunEnd struct {
	// Answer holds the status when the replica did not stream events.
	Answer *Answer
	// Complete says that the stream ended as a whole.
	Complete bool
	Err      error
}

// Order asks a replica to load a version of a model.
type Order struct {
	Model       string
	Version     int64
	WaitForRuns bool // let runs finish under their version first
	Holder      string
	Fence       int64
	// ExpectedOrders is the replica's count of orders so far.
	ExpectedOrders int64
}

// OrderOutcome is a replica's answer to an order.
type OrderOutcome int

// Outcomes of orders.
const (
	OrderUnknown  OrderOutcome = iota // no answer; it may be carried out later
	OrderAccepted                     // it is being carried out
	OrderUpToDate                     // nothing to do
	OrderConflict                     // another order is under way, or the count differs
	OrderFenced                       // a higher fencing number was seen
	OrderRefused                      // the replica does not know the version, or is another one
)

func (o OrderOutcome) String() string {
	return [...]string{"unknown", "taken", "holds", "conflict", "fenced", "refused"}[o]
}

// Report is a replica's state as it was some hundred milliseconds ago.
type Report struct {
	Versions       map[string]int64
	Busy           bool  // an order is under way
	AcceptedOrders int64 // orders accepted since the start
	Waiting        int
	Running        int
}

// Client speaks to backend servers.
type Client interface {
	// Call sends a request and reads the whole answer. It never sends twice.
	Call(ctx context.Context, t Target, r *Request, left time.Duration) (*Answer, error)
	// Stream sends a request and hands on the head and the events of its answer
	// as they come. An answer that is no stream of events is returned whole.
	Stream(ctx context.Context, t Target, s *Stream) RunEnd
	// Run runs an item and hands on its events as they come.
	Run(ctx context.Context, t Target, r *Run, on func(Event)) RunEnd
	// Order sends an order.
	Order(ctx context.Context, t Target, o Order) (OrderOutcome, error)
	// Report reads a replica's state.
	Report(ctx context.Context, t Target) (Report, error)
}
