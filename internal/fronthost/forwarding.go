package fronthost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
)

// refusedSends is how many servers may refuse one request as full or as
// misdirected, beyond the route's attempts, before the request is refused.
const refusedSends = 3

// Refusal is a request that this host answers itself.
type Refusal struct {
	cluster.Refusal
	// RetryAfter is when the caller should come back; 0 leaves it to the caller.
	RetryAfter time.Duration
}

func notRun(reason cluster.Reason, message string) *Refusal {
	return &Refusal{Refusal: cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}}
}

func unknown(reason cluster.Reason, message string) *Refusal {
	return &Refusal{Refusal: cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: reason, Message: message}}
}

// try is one request sent to one server.
type try struct {
	server deployment.Server
	sent   time.Time
	hedge  bool
	answer *backend.Answer
	err    error
}

// forwarding is the state of one plain request on this host.
type forwarding struct {
	host        *Host
	request     *backend.Request
	route       *deployment.Route
	service     string
	deadline    time.Time
	fingerprint string
	results     chan *try
	excluded    map[string]bool
	runs        int // sends that may have run
	open        int // sends without a result
	refusals    int
	last        *backend.Answer // a server's own failure
}

// newForwarding returns the state of a request and a context that ends with the
// time that the request has.
func (h *Host) newForwarding(ctx context.Context, request *backend.Request, route *deployment.Route, deadline time.Time) (*forwarding, context.Context, func()) {
	now := time.Now()
	if limit := now.Add(route.Timeout); route.Timeout > 0 && (deadline.IsZero() || limit.Before(deadline)) {
		deadline = limit
	}
	if deadline.IsZero() {
		deadline = now.Add(h.settings.Timing.RequestTimeout)
	}
	f := &forwarding{
		host: h, request: request, route: route, deadline: deadline,
		service:     serviceOf(route, request.ID),
		results:     make(chan *try, route.MaxAttempts+refusedSends+1),
		excluded:    make(map[string]bool),
		fingerprint: suspect.Fingerprint(route.Name, request.Method+" "+request.URI, string(request.Body), 0, 0),
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return f, ctx, cancel
}

// crashRefusal refuses a request whose content has crashed too many servers.
func (f *forwarding) crashRefusal() *Refusal {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	if !f.host.refused(f.fingerprint) {
		return nil
	}
	return notRun(cluster.ReasonCrashInducing, "this request has crashed several backend servers")
}

// Forward has a plain request answered by a backend server.
func (h *Host) Forward(ctx context.Context, request *backend.Request, route *deployment.Route, deadline time.Time) (*backend.Answer, *Refusal) {
	began := time.Now()
	f, ctx, cancel := h.newForwarding(ctx, request, route, deadline)
	defer cancel()
	if refusal := f.crashRefusal(); refusal != nil {
		f.record(nil, refusal, 0)
		return nil, refusal
	}
	answer, refusal := f.run(ctx)
	f.record(answer, refusal, time.Since(began))
	return answer, refusal
}

func (f *forwarding) record(answer *backend.Answer, refusal *Refusal, took time.Duration) {
	outcome, status := "refused", 0
	if answer != nil {
		outcome, status = "answered", answer.Status
	}
	details := []any{"route", f.route.Name, "service", f.service, "outcome", outcome, "status", status, "sends", f.runs, "refusals", f.refusals, "took_ms", took.Milliseconds(), "left_ms", time.Until(f.deadline).Milliseconds()}
	if refusal != nil {
		details = append(details, "reason", string(refusal.Reason), "not_run", refusal.Outcome == cluster.OutcomeNotRun)
	}
	f.host.recorder.Decision("request", f.request.ID, details...)
	f.host.recorder.Count("requests_total", "route", f.route.Name, "outcome", outcome)
	f.host.recorder.Observe("request_seconds", took.Seconds(), "route", f.route.Name)
}

func (f *forwarding) run(ctx context.Context) (*backend.Answer, *Refusal) {
	f.send(ctx, false)
	hedge := f.hedgeTimer()
	defer hedge.Stop()
	for {
		if f.open == 0 {
			return f.giveUp()
		}
		select {
		case t := <-f.results:
			if answer := f.take(t); answer != nil {
				f.cleared()
				return answer, nil
			}
			if f.mayRepeat(t) {
				f.send(ctx, false)
			}
		case <-hedge.C:
			if f.mayHedge() {
				f.send(ctx, true)
			}
		case <-ctx.Done():
			return nil, unknown(cluster.ReasonDeadline, "no backend server answered in time")
		}
	}
}

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
	return f.runs < f.route.MaxAttempts && f.host.forward.MayHedge()
}

// pick chooses the best server that was not tried yet, and counts a send to it.
// It returns nil if there is none.
func (f *forwarding) pick(hedge bool) *try {
	h := f.host
	now := time.Now()
	h.mu.Lock()
	server := h.forward.Choose(h.byService[f.service], h.settings.Host.DataCentre, f.excluded, now)
	if server == nil {
		h.mu.Unlock()
		return nil
	}
	t := &try{server: *server, sent: now, hedge: hedge}
	h.forward.RecordSent(&t.server, hedge)
	h.mu.Unlock()
	f.excluded[t.server.ID] = true
	f.runs++
	h.recorder.Decision("send", f.request.ID, "server", t.server.ID, "service", f.service, "hedge", hedge, "left_ms", time.Until(f.deadline).Milliseconds())
	return t
}

// send starts a try at the best server that was not tried yet.
func (f *forwarding) send(ctx context.Context, hedge bool) {
	t := f.pick(hedge)
	if t == nil {
		return
	}
	h := f.host
	f.open++
	go func() {
		target := backend.Target{ID: t.server.ID, Addr: t.server.Addr}
		t.answer, t.err = h.backends.Call(ctx, target, f.request, time.Until(f.deadline))
		h.finished(t, ctx.Err() != nil)
		f.results <- t
	}()
}

// finished updates what is known of a server after a try.
func (h *Host) finished(t *try, abandoned bool) {
	result := forward.Answered
	switch {
	case t.err != nil && abandoned:
		result = forward.Abandoned
	case t.err != nil:
		result = forward.Failure
	case t.answer.InstanceMismatch:
		result = forward.Misdirected
	case t.answer.NotRun:
		result = forward.Full
	case t.answer.Status >= http.StatusInternalServerError:
		result = forward.Failure
	}
	now := time.Now()
	h.mu.Lock()
	h.forward.RecordResult(&t.server, result, now.Sub(t.sent), now)
	h.mu.Unlock()
}

// take returns the answer for the caller, or nil if the request goes on.
func (f *forwarding) take(t *try) *backend.Answer {
	f.open--
	switch {
	case errors.Is(t.err, backend.ErrNotSent), t.err == nil && t.answer.NotRun:
		f.runs--
		f.refusals++
		return nil
	case t.err != nil:
		f.crashed(t)
		return nil
	case t.answer.Status >= http.StatusInternalServerError && f.route.Kind == deployment.Idempotent:
		f.last = t.answer
		return nil
	}
	return t.answer
}

// crashed marks the request's content when its server broke the connection, and
// tells the other hosts, because the caller comes back to any of them.
func (f *forwarding) crashed(t *try) {
	h := f.host
	crash := fmt.Sprintf("%s-%d", t.server.ID, t.server.Incarnation)
	h.mu.Lock()
	changed := h.suspects.RecordCrash(f.fingerprint, crash, false, time.Now())
	h.mu.Unlock()
	h.recorder.Decision("broken", f.request.ID, "server", t.server.ID, "err", t.err.Error())
	if changed {
		h.tellSuspect(f.fingerprint, crash)
	}
}

// cleared takes marks off content that was answered after all.
func (f *forwarding) cleared() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	f.host.suspects.Clear(f.fingerprint, time.Now())
}

func (f *forwarding) mayRepeat(t *try) bool {
	ran := t.err != nil && !errors.Is(t.err, backend.ErrNotSent) || t.err == nil && !t.answer.NotRun
	if !ran {
		return f.refusals <= refusedSends && f.open == 0
	}
	return f.route.Kind == deployment.Idempotent && f.runs < f.route.MaxAttempts && f.open == 0
}

// busyRetry is when a caller should come back to a service whose servers are
// all full: about the work of one request.
const busyRetry = 50 * time.Millisecond

// giveUp answers a request that no server is left for.
func (f *forwarding) giveUp() (*backend.Answer, *Refusal) {
	if f.last != nil {
		return f.last, nil
	}
	if f.runs > 0 {
		return nil, unknown(cluster.ReasonBackendFailed, "the backend server broke off")
	}
	refusal := notRun(cluster.ReasonNoReplica, "no backend server can take the request")
	refusal.RetryAfter = busyRetry
	return nil, refusal
}
