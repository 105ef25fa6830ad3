package fronthost

import (
	"context"
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
)

// Outcomes of reward calls in logs and metrics.
const (
	scoreObtained = "scored"
	scoreFailed   = "failed"  // the servers reported failures
	scoreNotRun   = "not-run" // no server ran the call
	scoreUnknown  = "unknown" // no valid response arrived
	scoreLate     = "late"    // the call was stopped before it ended
)

// scoreRequest returns the reward call of an item. The caller holds host.mu.
func (r *runner) scoreRequest(e *jobs.Entry, item *jobs.Item) *jobs.ScoreRequest {
	return r.payloads[e.Job.ID][e.Index(item.ID)].Score
}

// scoreRoute returns a copy of the route of a reward call, or nil if none matches.
// Reward calls may be repeated, whatever the kind of the route, and have a deadline
// of their own. The caller holds mu.
func (h *Host) scoreRoute(call *jobs.ScoreRequest) *deployment.Route {
	if h.state.Config == nil || call == nil {
		return nil
	}
	matched := h.state.Config.Match(call.HostName, call.Path)
	if matched == nil {
		return nil
	}
	route := *matched
	route.Kind, route.Timeout = deployment.Idempotent, 0
	return &route
}

// scoreTarget implements schedule.TickInput.ScoreTarget. The caller holds host.mu.
func (r *runner) scoreTarget(e *jobs.Entry, item *jobs.Item) (schedule.ScoreTarget, bool) {
	call := r.scoreRequest(e, item)
	route := r.host.scoreRoute(call)
	if route == nil {
		return schedule.ScoreTarget{}, false
	}
	target := schedule.ScoreTarget{Service: serviceOf(route, call.ID), Objective: route.Objective}
	for _, s := range r.host.serversByService[target.Service] {
		if !s.Leaving {
			target.Slots += s.Slots
		}
	}
	return target, true
}

// startScore sends the reward call of an item. The caller holds host.mu.
func (r *runner) startScore(s schedule.ScoreStart) {
	h := r.host
	call := r.scoreRequest(s.Job, s.Item)
	route, jobRoute := h.scoreRoute(call), h.routeOf(s.Job)
	if route == nil || jobRoute == nil {
		r.scheduler.RecordScore(s.Call, schedule.ScoreEnd{NotRun: true}, 1, time.Now())
		return
	}
	ctx, cancel := context.WithCancel(h.baseCtx)
	r.cancels[s.Call] = cancel
	h.recorder.RecordDecision("score", jobs.CallerID(s.Item.ID), "job", jobs.CallerID(s.Job.Job.ID), "call", s.Call, "request", call.ID, "route", route.Name, "timeout_ms", s.Timeout.Milliseconds(), "why", s.Reason)
	attempts := max(route.MaxAttempts, jobRoute.MaxAttempts)
	go h.score(ctx, cancel, r.runState, call, route, attempts, s)
}

// score sends a reward call and reports the outcome to the scheduler. Responses of a
// call that was stopped are dropped there.
func (h *Host) score(ctx context.Context, cancel func(), state *runState, call *jobs.ScoreRequest, route *deployment.Route, attempts int, s schedule.ScoreStart) {
	defer cancel()
	started := time.Now()
	request := &backend.Request{ID: call.ID, Method: http.MethodPost, URI: call.Path, HostName: call.HostName, Header: http.Header{}, Body: call.Body}
	end := h.sendScore(ctx, request, route, started.Add(s.Timeout))
	now := time.Now()
	h.mu.Lock()
	delete(state.cancels, s.Call)
	waited, counted := state.scheduler.RecordScore(s.Call, end, attempts, now)
	h.wakeRunners()
	h.mu.Unlock()
	outcome := scoreOutcome(end)
	if !counted {
		outcome = scoreLate
	}
	h.recorder.RecordDecision("score-end", jobs.CallerID(s.Item.ID), "job", jobs.CallerID(s.Job.Job.ID), "call", s.Call, "request", call.ID, "outcome", outcome, "failures", end.Failures, "took_ms", now.Sub(started).Milliseconds(), "since_output_ms", waited.Milliseconds())
	h.recorder.Count("score_calls_total", "outcome", outcome)
	if outcome == scoreObtained {
		h.recorder.Observe("score_wait_seconds", waited.Seconds())
	}
}

// sendScore forwards a reward call like any other request that may be repeated. Reward
// calls do not crash servers, so the call is neither refused for servers that crashed
// under it nor counted as a suspicion.
func (h *Host) sendScore(ctx context.Context, request *backend.Request, route *deployment.Route, deadline time.Time) schedule.ScoreEnd {
	began := time.Now()
	f, ctx, cancel := h.newForwarding(ctx, Caller{checked: true}, request, route, deadline)
	defer cancel()
	f.fingerprint, f.background = "", true
	response, refusal := f.run(ctx)
	f.recordOutcome(response, refusal, time.Since(began))
	end := schedule.ScoreEnd{Failures: f.failures, NotRun: refusal != nil && refusal.Outcome == cluster.OutcomeNotRun}
	if refusal != nil {
		end.RetryAfter = refusal.RetryAfter
	}
	if response != nil && response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices {
		end.Score = response.Signature
	}
	return end
}

func scoreOutcome(end schedule.ScoreEnd) string {
	switch {
	case end.Score != "":
		return scoreObtained
	case end.Failures > 0:
		return scoreFailed
	case end.NotRun:
		return scoreNotRun
	}
	return scoreUnknown
}
