// Package services answers callers' requests to plain services.
//
// Requests that may be repeated are sent to a live backend server and retried
// within a budget. All other requests need an idempotency key and run at most
// once in the whole system: see package core/intent for the decision. A refusal
// says "not run" only when this host did not send the call and never will.
package services

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Config holds the controller's settings. Zero values take the defaults.
type Config struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// RequestTimeout is the deadline of callers that name none.
	RequestTimeout time.Duration
	// BackendToken is sent to backend servers; empty sends none.
	BackendToken string
	// Retention is how long the log keeps records of the intent stream.
	Retention time.Duration
	// ClockSkew is the largest allowed difference of two clocks.
	ClockSkew time.Duration
	// AppendInterval is the shortest time between two appends of intents.
	AppendInterval time.Duration
	// IntentTimeout is the longest wait for an own intent to come into force.
	IntentTimeout time.Duration
	// PollWait is how long one read of the log waits for a record.
	PollWait time.Duration
	// RetryShare and RetryReserve bound the retries of repeatable requests.
	RetryShare   float64
	RetryReserve int
}

// Defaults and bounds.
const (
	defaultBodyBytes      = 1 << 20
	defaultRequestTimeout = 60 * time.Second
	defaultRetention      = 24 * time.Hour
	defaultClockSkew      = 5 * time.Second
	defaultAppendInterval = 5 * time.Millisecond
	defaultPatience       = 5 * time.Second
	defaultPollWait       = time.Second
	defaultRetryShare     = 0.10
	defaultRetryReserve   = 3

	// maxRequestTimeout bounds callers' deadlines, because a waiting call takes memory.
	maxRequestTimeout = 10 * time.Minute
	// resendDelay is the time after which an unanswered append is repeated.
	resendDelay = 300 * time.Millisecond
	// contactTimeout is added to PollWait for the age of the last read at which the
	// log counts as out although no read has failed yet.
	contactTimeout = 1500 * time.Millisecond
	// maxWaitingCalls bounds the calls that wait for the log.
	maxWaitingCalls = 4096
	// maxStoredAnswers bounds the memory for answers of calls that ran.
	maxStoredAnswers = 8 << 20
)

// Controller serves /v1/services/{name}/*path. It is safe for concurrent use.
type Controller struct {
	config    Config
	log       platform.Log
	configs   cluster.Configs
	members   cluster.Members
	peers     peer.Clients
	recorder  *telemetry.Recorder
	backends  *backends
	client    *client
	budget    *budget
	deaths    *deaths
	appending chan struct{} // wakes the writer
	asking    chan struct{} // one entry for each call for which all hosts are asked

	mu     sync.Mutex
	ledger *intent.Ledger
	calls  map[int64]*call // by attempt, until final
}

var (
	_ http.Handler       = (*Controller)(nil)
	_ peer.IntentHandler = (*Controller)(nil)
)

// New returns a controller that refuses calls which need the log until Run has
// read the intent stream.
func New(c Config, log platform.Log, configs cluster.Configs, members cluster.Members,
	inventory cluster.Inventory, peers peer.Clients, recorder *telemetry.Recorder) *Controller {
	c = withDefaults(c)
	self, now := members.Self(), time.Now()
	return &Controller{
		config: c, log: log, configs: configs, members: members, peers: peers, recorder: recorder,
		backends:  newBackends(inventory, self.DataCentre),
		client:    newClient(c.BackendToken),
		budget:    &budget{budget: flight.NewBudget(c.RetryShare, c.RetryReserve)},
		deaths:    newDeaths(members, c.Retention),
		appending: make(chan struct{}, 1),
		asking:    make(chan struct{}, maxAskingCalls),
		calls:     make(map[int64]*call),
		ledger: intent.NewLedger(intent.Config{
			// The incarnation in the log is that of the process, because membership
			// may raise its own without a loss of memory.
			Self:      intent.Originator{Host: self.ID, Incarnation: now.UnixNano()},
			StartTime: now,
			Retention: c.Retention, MaxClockSkew: c.ClockSkew, GrantTimeout: c.IntentTimeout,
			ResendInterval: resendDelay, MaxReadAge: contactTimeout + c.PollWait,
			MaxOpenAttempts: maxWaitingCalls, MaxResultBytes: maxStoredAnswers,
		}),
	}
}

func withDefaults(c Config) Config {
	setDefault(&c.BodyBytes, defaultBodyBytes)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.ClockSkew, defaultClockSkew)
	setDefault(&c.AppendInterval, defaultAppendInterval)
	setDefault(&c.IntentTimeout, defaultPatience)
	setDefault(&c.PollWait, defaultPollWait)
	setDefault(&c.RetryShare, defaultRetryShare)
	setDefault(&c.RetryReserve, defaultRetryReserve)
	return c
}

func setDefault[T int | int64 | float64 | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}

// Ready says that the intent stream was read up to its end once.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CaughtUp()
}

// Run follows and writes the intent stream until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.write(ctx) })
	group.Go(func() error { return c.tick(ctx) })
	return group.Wait()
}

// ServeHTTP answers one request to a plain service.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(httpapi.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	w.Header().Set(httpapi.HeaderRequestID, requestID)
	key, err := intent.ParseKey(r.Header.Get(httpapi.HeaderIdempotencyKey))
	request, refusal := c.parse(w, r, requestID)
	if refusal != nil && err == nil {
		c.refuseOrReplay(w, r, requestID, key, refusal)
		return
	}
	if refusal != nil {
		c.refuse(w, requestID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline)
	defer cancel()
	if request.repeatable() {
		c.serveRepeatable(ctx, w, request)
		return
	}
	if err != nil {
		c.refuse(w, requestID, notRun(cluster.ReasonKeyInvalid, "this call needs the header "+
			httpapi.HeaderIdempotencyKey+" with a UUIDv7: "+err.Error()))
		return
	}
	answer, refusal, settled := c.once(ctx, key, request)
	switch {
	case refusal == nil:
		answer.write(w, requestID)
	case settled:
		c.refuse(w, requestID, refusal)
	default:
		c.refuseOrReplay(w, r, requestID, key, refusal)
	}
}

// refuseOrReplay refuses a call that this host has not sent and never will. An
// earlier try of the caller may have run at another host that is not yet known
// from the log, so the others are asked before the answer says "not run".
func (c *Controller) refuseOrReplay(w http.ResponseWriter, r *http.Request, requestID string, key intent.Key, refusal *cluster.Refusal) {
	if r.Context().Err() != nil {
		return // the caller is gone
	}
	answer, other := c.askAll(r.Context(), key)
	switch {
	case answer != nil:
		answer.write(w, requestID)
	case other != nil:
		other.Message += " (here: " + refusal.Message + ")"
		c.refuse(w, requestID, other)
	default:
		c.refuse(w, requestID, refusal)
	}
}

func (c *Controller) refuse(w http.ResponseWriter, requestID string, refusal *cluster.Refusal) {
	c.recorder.Count("service_refusals_total", "outcome", string(refusal.Outcome), "reason", string(refusal.Reason))
	c.recorder.Decision("service-refusal", requestID, "outcome", refusal.Outcome, "reason", refusal.Reason,
		"backend_server", refusal.BackendServer, "message", refusal.Message)
	httpapi.WriteRefusal(w, requestID, refusal)
}

func (c *Controller) service(name string) *declare.Service {
	set, _ := c.configs.Current()
	if set == nil {
		return nil
	}
	return set.Services[name]
}

func notRun(reason cluster.Reason, message string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
}

func unknown(reason cluster.Reason, message, backendServer string) *cluster.Refusal {
	return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: reason, Message: message, BackendServer: backendServer}
}

func asRefusal(err error) *cluster.Refusal {
	var refusal *cluster.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	klog.ErrorS(err, "untyped failure of a service call")
	return unknown(cluster.ReasonBackendFailed, err.Error(), "")
}
