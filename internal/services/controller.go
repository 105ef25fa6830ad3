// Package services serves callers' requests to plain services.
//
// Repeatable requests are sent to a live backend server and retried within a
// retry budget. All other requests need an idempotency key and run at most once
// in the whole system: a host appends an intent to the log before it sends the
// call, and package core/intent decides from the log whose intent becomes active.
// A refusal has the outcome "not-run" only if this host did not send the call and
// never will.
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

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Config holds the controller's settings. Zero values select the defaults.
type Config struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// Account counts the responses of backend servers.
	Account *account.Account
	// RequestTimeout is the timeout of requests that do not set one.
	RequestTimeout time.Duration
	// BackendToken is sent to backend servers; if empty, none is sent.
	BackendToken string
	// Retention is the retention period of the intent stream in the log.
	Retention time.Duration
	// ClockSkew is the maximum allowed difference between two hosts' clocks.
	ClockSkew time.Duration
	// AppendInterval is the minimum time between two appends to the intent stream.
	AppendInterval time.Duration
	// IntentTimeout is the maximum time to wait until an intent of this host is
	// active.
	IntentTimeout time.Duration
	// PollWait is the maximum time that one read of the log waits for a record.
	PollWait time.Duration
	// RetryShare and RetryReserve limit the retries of repeatable requests, see
	// flight.Budget.
	RetryShare   float64
	RetryReserve int
}

// Defaults and limits.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultRequestTimeout = 60 * time.Second
	defaultRetention      = 24 * time.Hour
	defaultClockSkew      = 5 * time.Second
	defaultAppendInterval = 5 * time.Millisecond
	defaultIntentTimeout  = 5 * time.Second
	defaultPollWait       = time.Second
	defaultRetryShare     = 0.10
	defaultRetryReserve   = 3

	// maxRequestTimeout bounds callers' timeouts, because a waiting call occupies
	// memory.
	maxRequestTimeout = 10 * time.Minute
	// resendDelay is the time after which an unanswered append is retried.
	resendDelay = 300 * time.Millisecond
	// readAgeMargin plus PollWait is the maximum age of the last successful read.
	// Beyond it the log counts as unavailable, even if no read has failed yet.
	readAgeMargin = 1500 * time.Millisecond
	// maxWaitingCalls bounds the number of calls that wait for the log.
	maxWaitingCalls = 4096
	// maxStoredResponseBytes bounds the memory for responses of finished calls.
	maxStoredResponseBytes = 8 << 20
)

// Controller serves /v1/services/{name}/*path. It is safe for concurrent use.
type Controller struct {
	config     Config
	log        platform.Log
	configs    cluster.Configs
	members    cluster.Members
	peers      peer.Clients
	recorder   *telemetry.Recorder
	backends   *backends
	client     *client
	budget     *retryBudget
	liveness   *hostLiveness
	refuser    cluster.Refuser
	gate       *access.Gate
	writerWake chan struct{} // wakes the writer
	querySlots chan struct{} // semaphore of the calls for which all hosts are queried

	mu       sync.Mutex
	ledger   *intent.Ledger
	attempts map[int64]*attempt // not final, by ID
}

var (
	_ http.Handler       = (*Controller)(nil)
	_ peer.IntentHandler = (*Controller)(nil)
)

// RefuseBy sets what refuses requests that this host may not take any more. It must be
// called before the first request.
func (c *Controller) RefuseBy(r cluster.Refuser) { c.refuser = r }

// AdmitBy sets what admits the requests of callers. It must be called before the first
// request; without it, all are admitted.
func (c *Controller) AdmitBy(gate *access.Gate) { c.gate = gate }

// New returns a controller. Until Run has read the intent stream, it refuses
// calls that need the log.
func New(c Config, log platform.Log, configs cluster.Configs, members cluster.Members,
	inventory cluster.Inventory, peers peer.Clients, limits *limits.Controller, recorder *telemetry.Recorder) *Controller {
	c = withDefaults(c)
	self, now := members.Self(), time.Now()
	backends := newBackends(inventory, limits, self.DataCentre, recorder)
	return &Controller{
		config: c, log: log, configs: configs, members: members, peers: peers, recorder: recorder,
		backends:   backends,
		client:     newClient(c.BackendToken, httpapi.NewBodyBudget(c.Account), backends.observe),
		budget:     &retryBudget{budget: flight.NewBudget(c.RetryShare, c.RetryReserve)},
		liveness:   newHostLiveness(members, c.Retention),
		writerWake: make(chan struct{}, 1),
		querySlots: make(chan struct{}, maxQueryingCalls),
		attempts:   make(map[int64]*attempt),
		ledger: intent.NewLedger(intent.Config{
			// The log uses an incarnation of its own, which identifies the process:
			// membership may increment its incarnation while the process, and so the
			// ledger in its memory, stays the same.
			Self:      intent.Originator{Host: self.ID, Incarnation: now.UnixNano()},
			StartTime: now,
			Retention: c.Retention, MaxClockSkew: c.ClockSkew, GrantTimeout: c.IntentTimeout,
			ResendInterval: resendDelay, MaxReadAge: readAgeMargin + c.PollWait,
			MaxOpenAttempts: maxWaitingCalls, MaxResultBytes: maxStoredResponseBytes,
		}),
	}
}

func withDefaults(c Config) Config {
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.ClockSkew, defaultClockSkew)
	setDefault(&c.AppendInterval, defaultAppendInterval)
	setDefault(&c.IntentTimeout, defaultIntentTimeout)
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

// Ready reports whether the intent stream has been read up to its end at least
// once.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CaughtUp()
}

// Run reads and writes the intent stream until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.write(ctx) })
	group.Go(func() error { return c.tick(ctx) })
	return group.Wait()
}

// ServeHTTP serves one request to a plain service.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(httpapi.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	w.Header().Set(httpapi.HeaderRequestID, requestID)
	caller, refusal := c.gate.Admit(r, isPublic(r.URL.Path))
	if refusal != nil {
		c.refuse(w, requestID, refusal)
		return
	}
	key, keyErr := intent.ParseKey(r.Header.Get(httpapi.HeaderIdempotencyKey))
	if caller.Workspace != "" {
		key = key.InWorkspace(caller.Workspace)
	}
	request, refusal := c.parse(w, r, requestID)
	if refusal != nil && keyErr == nil {
		c.refuseOrReplay(w, r, requestID, key, refusal)
		return
	}
	if refusal != nil {
		c.refuse(w, requestID, refusal)
		return
	}
	request.caller = caller
	refusal = c.refuser.Refuse(requestID, request.deadline)
	if refusal != nil && (request.repeatable() || keyErr != nil) {
		c.refuse(w, requestID, refusal)
		return
	}
	if refusal != nil {
		c.refuseOrReplay(w, r, requestID, key, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline)
	defer cancel()
	if request.repeatable() {
		c.serveRepeatable(ctx, w, request)
		return
	}
	if keyErr != nil {
		c.refuse(w, requestID, notRun(cluster.ReasonKeyInvalid, "this call needs the header "+
			httpapi.HeaderIdempotencyKey+" with a UUIDv7: "+keyErr.Error()))
		return
	}
	answer, refusal, final := c.runAtMostOnce(ctx, key, request)
	switch {
	case refusal == nil:
		answer.write(w, requestID)
	case final:
		c.refuse(w, requestID, refusal)
	default:
		c.refuseOrReplay(w, r, requestID, key, refusal)
	}
}

// refuseOrReplay refuses a call that this host has not sent and never will. An
// earlier attempt of the caller may have run at another host whose intent this
// host has not read yet, so the other hosts are queried before the response
// states "not-run".
func (c *Controller) refuseOrReplay(w http.ResponseWriter, r *http.Request, requestID string, key intent.Key, refusal *cluster.Refusal) {
	if r.Context().Err() != nil {
		return // the caller has disconnected
	}
	answer, other := c.queryAllHosts(r.Context(), key)
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
	c.recorder.RecordDecision("service-refusal", requestID, "outcome", refusal.Outcome, "reason", refusal.Reason,
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
	klog.ErrorS(err, "service call failed with an unclassified error")
	return unknown(cluster.ReasonBackendFailed, err.Error(), "")
}
