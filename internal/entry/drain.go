package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/drain"
	"github.com/sesamestand/sesamestand/internal/httpapi"
)

const (
	// stopTimeout limits the shutdown of the HTTP server after a drain.
	stopTimeout = 5 * time.Second
	// idleCheckInterval is the interval at which a drain checks whether requests
	// are still in flight.
	idleCheckInterval = 20 * time.Millisecond
	// finalResponseTime is how long requests that are still in flight at the end of a
	// drain have to be answered with a failure.
	finalResponseTime = 300 * time.Millisecond
)

// drain waits for in-flight requests to finish and then stops the servers.
// The readiness check fails first, and the listeners and the connections of callers stay
// open meanwhile, because the balancer, callers and other entry hosts continue to send
// requests until they detect the change.
func (h *Host) drain(httpServer *http.Server, grpcServer *grpc.Server) {
	started := time.Now()
	window := drain.Window{NoticeEnd: started.Add(h.settings.Timing.DrainDelay), End: started.Add(h.settings.Timing.DrainDelay + h.settings.Timing.DrainTimeout)}
	klog.InfoS("drain started", "host", h.settings.Host.ID, "in_flight", h.active.Count(), "limit", window.End.Sub(started))
	h.window.Store(&window)
	h.draining.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	if err := h.members.Leave(ctx); err != nil {
		klog.ErrorS(err, "failed to announce that this host is leaving")
	}
	h.trainers.Drain()
	time.Sleep(h.settings.Timing.DrainDelay)
	h.awaitResponses(window.End)
	// A request that arrives from here on is refused, so the connections can be closed
	// once the requests that arrived before have been answered.
	closed := drain.Closed()
	h.window.Store(&closed)
	h.awaitResponses(window.End)
	if left := h.active.Count(); left > 0 {
		h.recorder.Add("drain_cut_off_total", int64(left))
		klog.ErrorS(nil, "drain timed out with requests in flight", "in_flight", left)
		h.stopServing()
		h.awaitResponses(time.Now().Add(finalResponseTime))
	}
	h.stopServers(ctx, httpServer, grpcServer)
	klog.InfoS("drain finished", "host", h.settings.Host.ID)
}

// awaitResponses waits until all responses were sent, at most until the given time.
func (h *Host) awaitResponses(until time.Time) {
	for h.active.Count() > 0 && time.Now().Before(until) {
		time.Sleep(idleCheckInterval)
	}
}

// stopServers stops the gRPC server and the HTTP server. It waits for the streams
// of other entry hosts until ctx, which ends with the drain timeout, and then
// closes the remaining connections.
func (h *Host) stopServers(ctx context.Context, httpServer *http.Server, grpcServer *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		grpcServer.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		grpcServer.Stop()
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := httpServer.Shutdown(stopCtx); err != nil {
		_ = httpServer.Close()
	}
}

// refuseStopping returns a refusal if this host is stopping and would have to cut off a
// request that may take until limit, and nil otherwise. Callers send requests on
// connections that they keep until the host closes them.
func (h *Host) refuseStopping(requestID string, limit time.Time) *cluster.Refusal {
	window := h.window.Load()
	now := time.Now()
	if window == nil || window.Admits(now, limit, 0) {
		return nil
	}
	h.recorder.RecordDecision("refuse-stopping", requestID, "may_take_ms", limit.Sub(now).Milliseconds(), "left_ms", window.End.Sub(now).Milliseconds())
	h.recorder.Count("requests_refused_stopping_total")
	return &cluster.Refusal{
		Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonDraining,
		Message: "this entry host is stopping and has no time for the request",
	}
}

// answerBeforeStop asks callers to close their connections in all responses that begin
// while the host drains. It ends the requests that are in flight at the end of the drain,
// and answers those of them that have no response yet.
func (h *Host) answerBeforeStop(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	response := negroni.NewResponseWriter(w)
	response.Before(func(w negroni.ResponseWriter) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	})
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	release := context.AfterFunc(h.serving, cancel)
	defer release()
	next(response, r.WithContext(ctx))
	if h.serving.Err() != nil && !response.Written() {
		httpapi.WriteRefusal(response, r.Header.Get(httpapi.HeaderRequestID), &cluster.Refusal{
			Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonDraining,
			Message: "this entry host stopped before the request ended",
		})
	}
}
