package services

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
)

// attempt is one attempt of this host to run a call, shared by all requests that
// wait for its outcome.
type attempt struct {
	request *request
	key     intent.Key
	done    chan struct{} // closed when view is final
	view    intent.AttemptView
}

// runAtMostOnce runs a call at most once in the whole system, or returns the
// response of an attempt that ran before or runs at another host. If final is
// false, the outcome "not-run" of the refusal covers this host only.
func (c *Controller) runAtMostOnce(ctx context.Context, key intent.Key, r *request) (a *bufferedResponse, refusal *cluster.Refusal, final bool) {
	view, pending, started := c.begin(key, r)
	if pending != nil {
		view = c.wait(ctx, pending, view, started)
	}
	switch view.Stage {
	case intent.StageDone:
		a = responseFromResult(view.Result)
		a.replayed = !started
		return a, nil, true
	case intent.StageConflict:
		c.recorder.RecordDecision("intent", r.id, "verdict", "other-author", "key", key.String(), "author", view.Originator.Host)
		// If the originator abandoned the call, a third host may have run it since
		// with an intent that this host has not read yet.
		a, refusal = c.queryOriginator(ctx, key, view)
		return a, refusal, refusal == nil || refusal.Outcome != cluster.OutcomeNotRun
	case intent.StageAbandoned, intent.StageUnknown:
		return nil, view.Refusal, view.WasActive || view.Stage == intent.StageUnknown
	}
	// The attempt continues after this request has ended.
	return nil, unknown(cluster.ReasonDeadline, "the deadline passed while the call may be running", ""), true
}

// begin registers the call. It returns the pending attempt, if there is one, and
// whether this request started it.
func (c *Controller) begin(key intent.Key, r *request) (view intent.AttemptView, pending *attempt, started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view = c.ledger.Begin(key, intent.Nonce(uuid.New()), r.deadline, time.Now())
	if view.Stage.Final() {
		return view, nil, false
	}
	pending = c.attempts[view.ID]
	if pending == nil {
		pending = &attempt{request: r, key: key, done: make(chan struct{})}
		c.attempts[view.ID] = pending
		started = true
		c.wakeWriter()
	}
	return view, pending, started
}

// wait returns the final view of the call, or the current one when ctx ends. If
// this request started the call and the call was not sent, wait abandons it.
func (c *Controller) wait(ctx context.Context, pending *attempt, view intent.AttemptView, started bool) intent.AttemptView {
	select {
	case <-pending.done:
		return pending.view
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if started {
		view = c.ledger.Cancel(view.ID, time.Now())
		c.handleChange(view)
		c.wakeWriter()
		return view
	}
	return c.ledger.AttemptView(view.ID)
}

// handleChange acts on a new view of an attempt: it wakes the waiting requests or
// sends the call. The caller holds mu.
func (c *Controller) handleChange(view intent.AttemptView) {
	pending := c.attempts[view.ID]
	switch {
	case pending == nil:
	case view.Stage.Final():
		pending.view = view
		close(pending.done)
		delete(c.attempts, view.ID)
	case view.Stage == intent.StageGranted:
		go c.run(view.ID, pending)
	}
}

// run sends a call whose intent is active. It continues when the caller
// disconnects, so that the response is stored when the caller repeats the call.
func (c *Controller) run(id int64, pending *attempt) {
	view := c.send(id, pending)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleChange(view)
	c.wakeWriter()
}

// send tries backend servers in turn until a connection to one is established.
// The servers that it tried before received nothing.
func (c *Controller) send(id int64, pending *attempt) intent.AttemptView {
	r := pending.request
	if !c.withLedger(func(l *intent.Ledger) bool { return l.ClaimSend(id, time.Now()) }) {
		return c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.AttemptView(id) })
	}
	if refusal := c.usedWithoutWorkspace(r); refusal != nil {
		return c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.FinishUnsent(id, refusal, time.Now()) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.service.Timeout)
	defer cancel()
	var tried []string
	var notSent *cluster.Refusal
	for {
		server, expires, refusal := c.acquire(ctx, r, tried)
		if refusal != nil || !time.Now().Before(r.deadline) {
			if refusal == nil {
				c.backends.release(server.ID, false, time.Now())
				refusal = notRun(cluster.ReasonDeadline, "the deadline passed before the call was sent")
			}
			if notSent == nil {
				notSent = refusal
			}
			return c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.FinishUnsent(id, notSent, time.Now()) })
		}
		tried = append(tried, server.ID)
		c.recorder.RecordDecision("service-route", r.id, "service", r.service.Name, "backend_server", server.ID, "key", pending.key.String())
		a, reached, err := c.client.sendOnce(ctx, server, r, pending.key.String(), expires)
		c.backends.release(server.ID, err != nil, time.Now())
		switch {
		case err == nil:
			return c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.Finish(id, a.result(), time.Now()) })
		case reached:
			refusal := unknown(cluster.ReasonBackendFailed, "the answer was lost: "+err.Error(), server.ID)
			return c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.FinishUnknown(id, refusal, time.Now()) })
		}
		notSent = notRun(cluster.ReasonBackendFailed, "no backend server could be connected: "+err.Error())
		notSent.BackendServer = server.ID
	}
}

func (c *Controller) withLedger(f func(*intent.Ledger) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.ledger)
}

func (c *Controller) ledgerView(f func(*intent.Ledger) intent.AttemptView) intent.AttemptView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.ledger)
}
