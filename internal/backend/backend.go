// Package backend defines the client interface to backend servers. A replica is a
// backend server that holds weight versions of models.
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
	// ErrOutcomeUnknown reports that no valid response arrived; the request may have
	// run.
	ErrOutcomeUnknown = errors.New("no valid answer from the backend server")
	// ErrExpired reports that the permission of a run or a request expired before the
	// backend server had received it. It comes with ErrNotSent, or with ErrOutcomeUnknown
	// if a part of it was sent. It says nothing about the server.
	ErrExpired = errors.New("permission to send has expired")
	// ErrNoMemory reports that this process had no memory for the response. It comes with
	// ErrOutcomeUnknown, and says nothing about the server.
	ErrNoMemory = errors.New("no memory for the answer")
)

// IsLocal reports whether a call failed for a reason on this host, so that its error says
// nothing about the server or the request's content.
func IsLocal(err error) bool { return errors.Is(err, ErrExpired) || errors.Is(err, ErrNoMemory) }

// Target identifies a backend server and the address at which it is registered.
type Target struct {
	ID   string
	Addr string
	// Incarnation distinguishes successive processes with the same ID, so that the idle
	// connections and the responses of one are not taken for those of another.
	Incarnation int64
}

// Request is a caller's request to a backend server.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query as received from the caller
	HostName string // value of the Host header
	Header   http.Header
	Body     []byte
	Sender
	// Expires is the time on the clock of boottime.Now after which the request must not
	// reach the server; zero means no limit.
	Expires time.Time
}

// Sender says for whom a request is sent.
type Sender struct {
	// Workspace is the name of the workspace, or empty.
	Workspace string
	// Checked is set if the host decided on the workspace: what the request itself says of
	// it, and the key, are not sent.
	Checked bool
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the server's signature of the response, or empty.
	Signature string
	// SentAfter is how long after the call the request was written.
	SentAfter time.Duration
	// NotRun is set if the server has not run the request and never will.
	NotRun bool
	// InstanceMismatch is set if a server other than the target answered, because it
	// uses the address now.
	InstanceMismatch bool
	// VersionMismatch is set if the replica has another weight version.
	VersionMismatch bool
}

// Run is one execution of an item, which is a request of a batch job, on a replica.
type Run struct {
	ID       string
	HostName string
	Path     string
	Headers  map[string]string
	Body     []byte
	// Version is the weight version that the replica must have; 0 accepts any.
	Version int64
	// LastEventID is the ID of the last event received so far, if Resumed is set.
	LastEventID int64
	Resumed     bool
	// Expires is the time on the clock of boottime.Now after which the run must not reach
	// the server; zero means no limit.
	Expires time.Time
	Sender
}

// Event is one event of a run.
type Event struct {
	ID      int64
	Data    string
	Version int64  // weight version that generated the event
	Raw     []byte // the event as the server sent it; only for streams
}

// Stream is a caller's request that is answered with a stream of events.
type Stream struct {
	Request *Request
	// LastEventID is the ID of the last event that the caller has, if Resumed is set.
	LastEventID int64
	Resumed     bool
	Timeout     time.Duration // time until the caller's deadline
	// OnHeaders is called once, before the first event, with the status and header
	// of the response.
	OnHeaders func(*Response)
	// OnEvent is called for each complete event.
	OnEvent func(Event)
}

// RunEnd is the outcome of a run or a stream.
type RunEnd struct {
	// Response is set if the server answered with a status other than 200 instead of
	// a stream of events.
	Response *Response
	// Complete is set if the stream ended properly, after a complete event.
	Complete bool
	// SentAfter is how long after the call the request was written; zero if it was not.
	SentAfter time.Duration
	Err       error
}

// Order instructs a replica to load a version of a model.
type Order struct {
	Model       string
	Version     int64
	WaitForRuns bool   // let current runs finish under their version first
	OrderOwner  string // member name of the order owner
	Fence       int64  // fencing number of the order owner
	// ExpectedOrders is the number of orders that the replica must have accepted so
	// far; otherwise the order conflicts.
	ExpectedOrders int64
}

// OrderOutcome is a replica's response to an order.
type OrderOutcome int

// Outcomes of orders.
const (
	OrderUnknown  OrderOutcome = iota // no response; the order may still be carried out
	OrderAccepted                     // the order is being carried out
	OrderUpToDate                     // the replica already has the version
	OrderConflict                     // another order is in progress, or the order count differs
	OrderFenced                       // the replica has seen a higher fencing number
	OrderRefused                      // the order was not sent, the version is unknown, or another server has the address
)

func (o OrderOutcome) String() string {
	return [...]string{"unknown", "taken", "holds", "conflict", "fenced", "refused"}[o]
}

// Report is the state of a replica. It may be a few hundred milliseconds old.
type Report struct {
	Versions       map[string]int64
	Busy           bool  // an order is in progress
	AcceptedOrders int64 // orders accepted since the replica started
	Waiting        int   // requests waiting
	Running        int   // requests running
}

// CallKind says what a host asked of a backend server.
type CallKind string

// Kinds of calls.
const (
	CallRequest CallKind = "request"
	CallStream  CallKind = "stream"
	CallRun     CallKind = "run"
	CallOrder   CallKind = "order"
	CallReport  CallKind = "report"
)

// LimitObservation is what one response of a server says about its rate limit.
type LimitObservation struct {
	Target Target
	Call   CallKind
	Status int
	// Named is set if the response names a limit.
	Named bool
	// PerSecond is the number of requests per second that the server accepts from
	// all hosts together.
	PerSecond float64
	// Sent is when the request was sent.
	Sent time.Time
}

// LimitObserver is called for each response that names a rate limit, and for each
// signed response that names none.
type LimitObserver func(LimitObservation)

// LeavingNotice is a response in which a server says that it is leaving.
type LeavingNotice struct {
	// Target is the server that was called, or the server that the response names if
	// another one has the address now. The incarnation of the latter is not known.
	Target Target
	// Other is set if the response names another server than the one that was called.
	Other     bool
	Call      CallKind
	RequestID string // empty for reports and orders
	Status    int
}

// LeavingObserver is called for each response that says that its server is leaving,
// before the response is passed on.
type LeavingObserver func(LeavingNotice)

// Client sends requests to backend servers.
type Client interface {
	// Call sends a request and reads the complete response. It never sends the
	// request twice.
	Call(ctx context.Context, t Target, r *Request, timeout time.Duration) (*Response, error)
	// Stream sends a request and delivers the header and the events of its response
	// as they arrive. A response that is not a stream is returned in RunEnd.
	Stream(ctx context.Context, t Target, s *Stream) RunEnd
	// Run runs an item and delivers its events as they arrive.
	Run(ctx context.Context, t Target, r *Run, onEvent func(Event)) RunEnd
	// Order sends an order to a replica.
	Order(ctx context.Context, t Target, o Order) (OrderOutcome, error)
	// Report reads the state of a replica.
	Report(ctx context.Context, t Target) (Report, error)
}
