package fronthost

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/spill"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/usage"
)

// maxRefusals is the number of refusals by servers, because they are full or the
// request is misdirected, after which the host still sends a request to another
// server. Refusals do not count towards the route's attempts.
const maxRefusals = 3

// Refusal is the host's own response to a request that no backend server answered.
type Refusal struct {
	cluster.Refusal
	cause refusalCause // of a call on a job
}

func notRunRefusal(reason cluster.Reason, message string) *Refusal {
	return &Refusal{Refusal: cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}}
}

func unknownRefusal(reason cluster.Reason, message string) *Refusal {
	return &Refusal{Refusal: cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: reason, Message: message}}
}

// attempt is one send of a request to one server.
type attempt struct {
	server   deployment.Server
	request  *backend.Request
	sent     time.Time
	ended    time.Time // the response or the error arrived
	hedge    bool
	began    bool // a stream began
	response *backend.Response
	err      error
	// published is closed when the crash under the attempt is published; nil without one.
	published <-chan struct{}
}

// turn says whether a request had its turn at servers with a rate limit.
type turn int

const (
	noTurn      turn = iota // it needed no grant, or its caller left
	turnRefused             // it needed a grant and got none
	turnGranted
)

// forwarding is the state of one request that this host forwards to backend servers.
// Type streaming extends it for streams.
type forwarding struct {
	host         *Host
	caller       Caller
	denied       workspace.Verdict // why the last send was not allowed, or workspace.Admitted
	request      *backend.Request
	route        *deployment.Route
	service      string
	call         backend.CallKind
	deadline     time.Time
	fingerprint  string // identifies content that may crash servers; empty if it cannot
	results      chan *attempt
	excluded     map[string]bool
	possibleRuns int // sends that a server may have run
	inFlight     int // sends without a result
	refusals     int
	turn         turn
	usage        *usage.Request        // nil if the request is not counted
	firstSend    *attempt              // send by which usage counts the request
	background   bool                  // the request can be sent later
	rateLimited  []ratelimit.Candidate // servers for which no request was granted
	allLeaving   bool                  // the servers that were not tried are all leaving
	verdict      spill.Verdict         // why the last selected server is local or not
	lastFailure  *backend.Response     // last response with a status of 500 or above
	published    []<-chan struct{}     // see attempt.published
	noMemory     bool                  // this host had no memory for the last response
	failures     int                   // responses with status 500: the server ran the request and failed
}

// newForwarding returns the state of a request and a context that ends at the
// request's deadline.
func (h *Host) newForwarding(ctx context.Context, caller Caller, request *backend.Request, route *deployment.Route, deadline time.Time) (*forwarding, context.Context, func()) {
	now := time.Now()
	sent := *request
	sent.Sender = caller.sender()
	if limit := now.Add(route.Timeout); route.Timeout > 0 && (deadline.IsZero() || limit.Before(deadline)) {
		deadline = limit
	}
	if deadline.IsZero() {
		deadline = now.Add(h.settings.Timing.RequestTimeout)
	}
	f := &forwarding{
		host: h, caller: caller, request: &sent, route: route, deadline: deadline,
		service:     serviceOf(route, request.ID),
		call:        backend.CallRequest,
		results:     make(chan *attempt, route.MaxAttempts+maxRefusals+1),
		excluded:    make(map[string]bool),
		fingerprint: suspect.InWorkspace(caller.Workspace(), suspect.Fingerprint(route.Name, request.Method+" "+request.URI, string(request.Body), 0, 0)),
	}
	ctx, release := h.withStop(ctx)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	f.usage = h.duties.usage.NewRequest(caller.Workspace())
	return f, ctx, func() {
		cancel()
		release()
	}
}

// serviceOf returns the service of a route for a request or a job. It is the same
// for an ID as long as the route does not change.
func serviceOf(route *deployment.Route, id string) string {
	const steps = 1 << 53 // numbers that a float64 can hold exactly
	return route.Pick(float64(xxhash.Sum64String(id)>>11) / steps)
}

// refuseUnsent returns a refusal of a caller's request that must not be sent to any
// server: its content has crashed too many of them, or the host is stopping.
func (f *forwarding) refuseUnsent() *Refusal {
	if refusal := f.crashRefusal(); refusal != nil {
		return refusal
	}
	return f.host.refuseStopping(f.request.ID, f.route.Name, f.deadline)
}

// givenUp is the refusal of a request that ended without a response.
func (f *forwarding) givenUp() *Refusal {
	if f.host.serving.Err() != nil {
		return unknownRefusal(cluster.ReasonDraining, "the host stopped before a backend server answered")
	}
	return unknownRefusal(cluster.ReasonDeadline, "no backend server answered in time")
}

// Forward sends a request that is neither a job nor a stream to a backend server, and
// returns the server's response or the host's refusal.
func (h *Host) Forward(ctx context.Context, caller Caller, request *backend.Request, route *deployment.Route, deadline time.Time) (*backend.Response, *Refusal) {
	began := time.Now()
	f, ctx, cancel := h.newForwarding(ctx, caller, request, route, deadline)
	defer cancel()
	if refusal := f.refuseUnsent(); refusal != nil {
		f.recordOutcome(nil, refusal, 0)
		return nil, refusal
	}
	response, refusal := f.run(ctx)
	if refusal != nil {
		f.awaitPublished()
	}
	f.recordOutcome(response, refusal, time.Since(began))
	return response, refusal
}

func (f *forwarding) recordOutcome(response *backend.Response, refusal *Refusal, took time.Duration) {
	outcome, status := "refused", 0
	if response != nil {
		outcome, status = "answered", response.Status
		f.host.mu.Lock()
		f.host.durations.Record(f.route.Name, took, time.Now())
		f.host.mu.Unlock()
	}
	f.recordTurn()
	details := []any{"route", f.route.Name, "service", f.service, "outcome", outcome, "status", status, "sends", f.possibleRuns, "refusals", f.refusals, "took_ms", took.Milliseconds(), "left_ms", time.Until(f.deadline).Milliseconds()}
	if f.caller.workspace != nil {
		details = append(details, "workspace", f.caller.Workspace())
	}
	if refusal != nil {
		details = append(details, "reason", string(refusal.Reason), "not_run", refusal.Outcome == cluster.OutcomeNotRun)
	}
	f.host.recorder.RecordDecision("request", f.request.ID, details...)
	f.host.recorder.Count("requests_total", "route", f.route.Name, "outcome", outcome)
	f.host.recorder.Observe("request_seconds", took.Seconds(), "route", f.route.Name)
}

// recordTurn records whether a workspace's request that needed a grant got one. A key may
// have been removed meanwhile, and with it the workspace.
func (f *forwarding) recordTurn() {
	if f.caller.workspace == nil || f.turn == noTurn {
		return
	}
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	if f.host.state.Config.Workspaces.Named(f.caller.Workspace()) != nil {
		f.host.turns.Record(f.caller.Workspace(), f.turn == turnGranted, time.Now())
	}
}

func (f *forwarding) run(ctx context.Context) (*backend.Response, *Refusal) {
	f.send(ctx, false)
	hedge := f.hedgeTimer()
	defer hedge.Stop()
	for {
		if f.inFlight == 0 {
			return f.exhausted()
		}
		select {
		case a := <-f.results:
			if response := f.handleResult(a); response != nil {
				f.clearSuspicion()
				return response, nil
			}
			if f.mayRetry(a) {
				f.send(ctx, false)
			}
		case <-hedge.C:
			if f.mayHedge() {
				f.send(ctx, true)
			}
		case <-ctx.Done():
			go takeBackUnsent(f.usage, f.results, f.inFlight, f.possibleRuns)
			return nil, f.givenUp()
		}
	}
}

// hedgeTimer returns a timer that fires when the request may be hedged, or after its
// deadline if it must not be.
func (f *forwarding) hedgeTimer() *time.Timer {
	wait := f.host.forward.HedgeDelay(f.route)
	if f.route.Kind != deployment.Idempotent || wait <= 0 {
		wait = time.Until(f.deadline) + time.Hour
	}
	return time.NewTimer(wait)
}

func (f *forwarding) mayHedge() bool {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	suspected := f.host.suspects.Verdict(f.fingerprint) != suspect.Run
	return !suspected && f.possibleRuns < f.route.MaxAttempts && f.host.forward.MayHedge()
}

// pick selects the best server that was not tried yet and records a send to it. It
// returns nil if there is none, or if the request must not be sent. A request may wait for
// its turn at a server with a rate limit, or for another send of suspected content; a
// hedge does not.
func (f *forwarding) pick(ctx context.Context, hedge bool) *attempt {
	if !f.claimContent(ctx, hedge) {
		return nil
	}
	a := f.pickServer(ctx, hedge)
	if a == nil {
		f.releaseContent()
	}
	return a
}

// pickServer is pick after the content was claimed.
func (f *forwarding) pickServer(ctx context.Context, hedge bool) *attempt {
	h := f.host
	server := f.selectServer(ctx, hedge)
	if server == nil {
		return nil
	}
	// The request may have waited for its turn.
	expires, verdict := h.readmit(f.caller)
	if f.denied = verdict; verdict != workspace.Admitted || f.crashRefusal() != nil {
		return nil
	}
	request := *f.request
	request.Expires = expires
	a := &attempt{server: *server, request: &request, sent: time.Now(), hedge: hedge}
	h.mu.Lock()
	h.forward.RecordSent(&a.server, hedge)
	h.recordLeaving(a.server.DataCentre, a.sent)
	h.mu.Unlock()
	f.excluded[a.server.ID] = true
	f.possibleRuns++
	details := []any{"server", a.server.ID, "service", f.service, "hedge", hedge, "left_ms", time.Until(f.deadline).Milliseconds()}
	details = append(details, h.placeDetails(f.call, a.server.DataCentre, f.placeReason(a.server.DataCentre))...)
	h.recorder.RecordDecision("send", f.request.ID, details...)
	return a
}

// send sends the request in the background to the best server that was not tried
// yet, if there is one.
func (f *forwarding) send(ctx context.Context, hedge bool) {
	a := f.pick(ctx, hedge)
	if a == nil {
		return
	}
	h := f.host
	f.inFlight++
	f.countSend(a)
	go func() {
		a.response, a.err = h.backends.Call(ctx, targetOf(&a.server), a.request, time.Until(f.deadline))
		a.ended = time.Now()
		f.endAttempt(a, ctx.Err() != nil)
		f.results <- a
	}()
}

// endAttempt records the end of an attempt. A crash is recorded before the next send of
// the same content may begin.
func (f *forwarding) endAttempt(a *attempt, abandoned bool) {
	f.host.recordAttempt(a, abandoned)
	if a.err != nil && !abandoned && !errors.Is(a.err, backend.ErrNotSent) && !backend.IsLocal(a.err) {
		f.recordCrash(a)
	}
	f.releaseContent()
}

// recordAttempt updates the balancer with the result of an attempt.
func (h *Host) recordAttempt(a *attempt, abandoned bool) {
	result := forward.Answered
	switch {
	case a.err != nil && (abandoned || backend.IsLocal(a.err)):
		result = forward.Abandoned
	case a.err != nil:
		result = forward.Failure
	case a.response.InstanceMismatch:
		result = forward.Misdirected
	case a.response.NotRun:
		result = forward.Full
	case a.response.Status >= http.StatusInternalServerError:
		result = forward.Failure
	}
	now := time.Now()
	h.mu.Lock()
	h.forward.RecordResult(&a.server, result, now.Sub(a.sent), now)
	if result != forward.Abandoned && !backend.IsLocal(a.err) {
		h.recordReach(a.server.ID, a.response != nil || a.began, now)
	}
	h.mu.Unlock()
}

// countSend counts the request by its first send.
func (f *forwarding) countSend(a *attempt) {
	if f.firstSend == nil {
		f.firstSend = a
		f.usage.Began(a.sent)
	}
}

// countResult corrects when the request began, or that it did not run so far.
func (f *forwarding) countResult(a *attempt) {
	switch {
	case f.possibleRuns == 0:
		f.firstSend = nil
		f.usage.Refused()
	case a == f.firstSend && a.err == nil && !a.response.NotRun:
		f.usage.Answered(a.server.Service, a.sent.Add(a.response.SentAfter), a.ended)
	}
}

// takeBackUnsent awaits the results of the sends of a request that has ended, and takes the
// count of the request back if none of its possible runs began.
func takeBackUnsent(counted *usage.Request, results <-chan *attempt, inFlight, possibleRuns int) {
	for range inFlight {
		if (<-results).notRun() {
			possibleRuns--
		}
	}
	if possibleRuns == 0 {
		counted.Refused()
	}
}

// notRun reports whether the server did not run the request.
func (a *attempt) notRun() bool {
	return errors.Is(a.err, backend.ErrNotSent) || a.err == nil && a.response.NotRun
}

// handleResult returns the response for the caller, or nil if the attempt did not
// settle the request.
func (f *forwarding) handleResult(a *attempt) *backend.Response {
	f.inFlight--
	f.notePublication(a)
	defer f.countResult(a)
	if a.err == nil && a.response.Status == http.StatusInternalServerError {
		f.failures++
	}
	switch {
	case a.notRun():
		f.possibleRuns--
		f.refusals++
		return nil
	case a.err != nil:
		f.noMemory = errors.Is(a.err, backend.ErrNoMemory)
		return nil
	case a.response.Status >= http.StatusInternalServerError && f.route.Kind == deployment.Idempotent:
		f.lastFailure = a.response
		return nil
	}
	return a.response
}

func (f *forwarding) mayRetry(a *attempt) bool {
	if a.notRun() {
		return f.refusals <= maxRefusals && f.inFlight == 0
	}
	if errors.Is(a.err, backend.ErrNoMemory) {
		return false // there would be none for the next response either
	}
	return f.route.Kind == deployment.Idempotent && f.possibleRuns < f.route.MaxAttempts && f.inFlight == 0
}

// busyRetryAfter is the delay after which a caller should retry when all servers of
// a service are full: about the service time of one request.
const busyRetryAfter = 50 * time.Millisecond

// leavingRetryAfter is the delay after which a caller should retry when all servers of a
// service are leaving: new ones need some time to start and to be registered.
const leavingRetryAfter = time.Second

// exhausted returns the response to a request that cannot be sent to any further
// server: the last failure of a server, or a refusal.
func (f *forwarding) exhausted() (*backend.Response, *Refusal) {
	if f.lastFailure != nil {
		return f.lastFailure, nil
	}
	if f.noMemory {
		return nil, unknownRefusal(cluster.ReasonOverload, backend.ErrNoMemory.Error())
	}
	if f.possibleRuns > 0 {
		return nil, unknownRefusal(cluster.ReasonBackendFailed, "the backend server broke off")
	}
	if refusal := f.crashRefusal(); refusal != nil {
		return nil, refusal
	}
	if f.denied != workspace.Admitted {
		return nil, f.host.accessRefusal(f.denied)
	}
	if len(f.rateLimited) > 0 {
		refusal := notRunRefusal(cluster.ReasonRateLimited, "the backend servers accept no further request now")
		refusal.RetryAfter = f.host.limits.RetryAfter(f.rateLimited, time.Until(f.deadline))
		return nil, refusal
	}
	refusal := notRunRefusal(cluster.ReasonNoReplica, "no backend server can take the request")
	refusal.RetryAfter = busyRetryAfter
	if f.allLeaving {
		f.host.recordTurnedAway(f.request.ID, f.call, "service", f.service)
		if len(f.excluded) == 0 {
			refusal.Message, refusal.RetryAfter = "all backend servers are leaving", leavingRetryAfter
		}
	}
	return nil, refusal
}
