package services

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
)

// call is one attempt of this host, shared by all requests that wait for it.
type call struct {
	request *request
	key     intent.Key
	done    chan struct{} // closed once view is final
	view    intent.View
}

// once runs a call at most once in the whole system, or returns the answer of
// the attempt that ran or runs elsewhere. A refusal that is not settled says
// "not run" only for this host.
func (c *Controller) once(ctx context.Context, key intent.Key, r *request) (a *answer, refusal *cluster.Refusal, settled bool) {
	view, waiting, own := c.begin(key, r)
	if waiting != nil {
		view = c.wait(ctx, waiting, view, own)
	}
	switch view.Stage {
	case intent.StageDone:
		a = stored(view.Result)
		a.replayed = !own
		return a, nil, true
	case intent.StageConflict:
		c.recorder.Decision("intent", r.id, "verdict", "other-author", "key", key.String(), "author", view.Originator.Host)
		// The author may have given the call up before a third host ran it, whose
		// intent this host has not read yet.
		a, refusal = c.askAuthor(ctx, key, view)
		return a, refusal, refusal == nil || refusal.Outcome != cluster.OutcomeNotRun
	case intent.StageAbandoned, intent.StageUnknown:
		return nil, view.Refusal, view.WasActive || view.Stage == intent.StageUnknown
	}
	// The attempt goes on without this request.
	return nil, unknown(cluster.ReasonDeadline, "the deadline passed while the call may be running", ""), true
}

// begin registers the call. It returns the attempt to wait for, if there is
// one, and whether this request began it.
func (c *Controller) begin(key intent.Key, r *request) (view intent.View, waiting *call, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view = c.ledger.Begin(key, intent.Nonce(uuid.New()), r.deadline, time.Now())
	if view.Stage.Final() {
		return view, nil, false
	}
	waiting = c.calls[view.ID]
	if waiting == nil {
		waiting = &call{request: r, key: key, done: make(chan struct{})}
		c.calls[view.ID] = waiting
		own = true
		c.wakeWriter()
	}
	return view, waiting, own
}

// wait returns the final view of the call, or the present one when ctx ends.
// The request that began the call gives it up if it was not sent.
func (c *Controller) wait(ctx context.Context, waiting *call, view intent.View, own bool) intent.View {
	select {
	case <-waiting.done:
		return waiting.view
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if own {
		view = c.ledger.Cancel(view.ID, time.Now())
		c.settle(view)
		c.wakeWriter()
		return view
	}
	return c.ledger.View(view.ID)
}

// settle acts on a changed attempt. The caller holds mu.
func (c *Controller) settle(view intent.View) {
	waiting := c.calls[view.ID]
	switch {
	case waiting == nil:
	case view.Stage.Final():
		waiting.view = view
		close(waiting.done)
		delete(c.calls, view.ID)
	case view.Stage == intent.StageGranted:
		go c.run(view.ID, waiting)
	}
}

// run sends a call whose intent is in force. It goes on when the caller leaves,
// so that the answer is there when the caller sends the call again.
func (c *Controller) run(id int64, waiting *call) {
	view := c.send(id, waiting)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(view)
	c.wakeWriter()
}

// send tries backend servers until one is connected. Nothing was sent to the
// servers before that one.
func (c *Controller) send(id int64, waiting *call) intent.View {
	r := waiting.request
	if !c.locked(func(l *intent.Ledger) bool { return l.ClaimSend(id, time.Now()) }) {
		return c.view(func(l *intent.Ledger) intent.View { return l.View(id) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.service.Timeout)
	defer cancel()
	var tried []string
	unsent := notRun(cluster.ReasonNoReplica, "no backend server of service "+r.service.Name+" is known")
	for {
		server, ok := c.backends.take(r.service.Name, tried, time.Now())
		if !ok || !time.Now().Before(r.deadline) {
			if ok {
				c.backends.release(server.ID, false, time.Now())
			}
			return c.view(func(l *intent.Ledger) intent.View { return l.FinishUnsent(id, unsent, time.Now()) })
		}
		tried = append(tried, server.ID)
		c.recorder.Decision("service-route", r.id, "service", r.service.Name, "backend_server", server.ID, "key", waiting.key.String())
		a, reached, err := c.client.once(ctx, server, r, waiting.key.String())
		c.backends.release(server.ID, err != nil, time.Now())
		switch {
		case err == nil:
			return c.view(func(l *intent.Ledger) intent.View { return l.Finish(id, a.result(), time.Now()) })
		case reached:
			refusal := unknown(cluster.ReasonBackendFailed, "the answer was lost: "+err.Error(), server.ID)
			return c.view(func(l *intent.Ledger) intent.View { return l.FinishUnknown(id, refusal, time.Now()) })
		}
		unsent = notRun(cluster.ReasonBackendFailed, "no backend server could be connected: "+err.Error())
		unsent.BackendServer = server.ID
	}
}

func (c *Controller) locked(f func(*intent.Ledger) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.ledger)
}

func (c *Controller) view(f func(*intent.Ledger) intent.View) intent.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.ledger)
}
