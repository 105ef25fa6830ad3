package fronthost

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/drain"
)

// Timeouts of draining.
const (
	// drainNotice is how long the host accepts connections after it reports not
	// ready: two health checks of the load balancer and a margin.
	drainNotice = 2600 * time.Millisecond
	// killMargin is the time between the end of a drain and the platform's kill.
	killMargin = 700 * time.Millisecond
	// finalResponseTime is the part of killMargin in which requests that are still in
	// flight at the end of a drain are answered with a failure.
	finalResponseTime = 300 * time.Millisecond
	// closeTimeout is the part of killMargin in which connections are closed.
	closeTimeout = 100 * time.Millisecond
	// maxLoggedConns is the number of connections in the log line of a drain that ends
	// with requests in flight.
	maxLoggedConns = 8
	// drainPoll is the interval at which a draining host checks its in-flight requests.
	drainPoll = 20 * time.Millisecond
	// drainIdlePeriod is how long a draining host must have had no request in flight
	// before it exits.
	drainIdlePeriod = 100 * time.Millisecond
	// drainRetryAfter is the delay after which a caller that a stopping host refused
	// should retry. Other hosts can take the request at once.
	drainRetryAfter = 10 * time.Millisecond
	// jobCallTimeout bounds a call on a job: the reads that it waits for, and an append.
	jobCallTimeout = callTimeout + submitTimeout
)

// closeWhileStopping asks clients to close their connections in all responses that
// begin while the host drains.
func (h *Host) closeWhileStopping(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	response := negroni.NewResponseWriter(w)
	response.Before(func(w negroni.ResponseWriter) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	})
	next(response, r)
}

// refuseStopping returns a refusal if the host is stopping and would have to cut off a
// request that may take until limit, and nil otherwise. Clients send requests on
// connections that they keep until the host closes them. route is the name of the
// request's route, or empty.
func (h *Host) refuseStopping(id, route string, limit time.Time) *Refusal {
	window := h.window.Load()
	if window == nil {
		return nil
	}
	now := time.Now()
	h.mu.Lock()
	longest := h.durations.Longest(route, now)
	h.mu.Unlock()
	if window.Admits(now, limit, longest) {
		return nil
	}
	h.recorder.RecordDecision("refuse-stopping", id, "route", route, "may_take_ms", limit.Sub(now).Milliseconds(), "longest_recent_ms", longest.Milliseconds(), "left_ms", window.End.Sub(now).Milliseconds())
	h.recorder.Count("requests_refused_stopping_total")
	refusal := notRunRefusal(cluster.ReasonDraining, "the host is stopping and has no time for the request")
	refusal.RetryAfter = drainRetryAfter
	return refusal
}

// refuseJobCall is refuseStopping for calls on jobs.
func (h *Host) refuseJobCall(id string) *Refusal {
	return h.refuseStopping(id, "", time.Now().Add(jobCallTimeout)).withCause(causeStopping)
}

// drain releases the partitions, leaves the load balancer time to notice that the
// host is not ready, and waits for in-flight requests as long as the platform allows.
// When it returns, no request is passed on any more.
func (h *Host) drain() {
	started := time.Now()
	window := drain.Window{NoticeEnd: started.Add(drainNotice), End: started.Add(h.settings.Timing.StopGrace - killMargin)}
	klog.InfoS("entry host draining", "host", h.settings.Host.ID, "in_flight", h.active.Count(), "limit", window.End.Sub(started))
	h.window.Store(&window)
	h.draining.Store(true)
	go h.releasePartitions()
	var pace drain.Pace
	idleSince, end := started, window.End
	for now := started; now.Before(end); now = time.Now() {
		if h.active.Count() > 0 {
			idleSince = now
		}
		if !now.Before(window.NoticeEnd) && now.Sub(idleSince) >= drainIdlePeriod {
			break
		}
		time.Sleep(drainPoll)
		pace.Observe(time.Since(now) - drainPoll)
		end = window.End.Add(-pace.Allowance())
		h.window.Store(&drain.Window{NoticeEnd: window.NoticeEnd, End: end})
	}
	// A request that arrives from here on is refused, so the connections can be closed
	// once the requests that arrived before have been answered.
	closed := drain.Closed()
	h.window.Store(&closed)
	h.awaitResponses(end)
	if left := h.active.Count(); left > 0 {
		klog.InfoS("requests in flight at the end of the grace period end with a failure", "host", h.settings.Host.ID, "in_flight", left, "allowance", pace.Allowance(), "longest", h.active.Longest(maxLoggedConns))
		h.stopServing()
		h.awaitResponses(time.Now().Add(finalResponseTime))
	}
	h.flushUsage()
}

// awaitResponses waits until all responses were sent, at most until the given time.
func (h *Host) awaitResponses(until time.Time) {
	for h.active.Count() > 0 && time.Now().Before(until) {
		time.Sleep(drainPoll)
	}
}

// withStop returns a context that also ends when the host has no more time for requests.
func (h *Host) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(h.serving, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}
