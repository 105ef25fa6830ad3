package fronthost

import (
	"context"
	"errors"
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Timeouts of streams.
const (
	// firstEventFactor is multiplied by the route's latency objective to give the time
	// within which a server must send the first event of a stream; otherwise another
	// server is tried.
	// Callers disconnect after four times the objective.
	firstEventFactor = 2
	// minFirstEventTimeout is the least time that a server has for the first event, so
	// that a short objective does not move streams that only wait for a slot.
	minFirstEventTimeout = time.Second
	// streamEventTimeout is the longest pause between two events before a stream is
	// resumed at another server. Callers disconnect after two seconds at the
	// earliest.
	streamEventTimeout = time.Second
	// silenceRecheck is the interval at which a silent stream that no other server can
	// take is checked again.
	silenceRecheck = 100 * time.Millisecond
)

// StreamWriter writes the response of a stream to the caller.
type StreamWriter interface {
	// WriteHead writes the status and the headers of the first server's response.
	WriteHead(*backend.Response)
	// WriteEvent writes one complete event.
	WriteEvent(backend.Event)
}

// StreamEnd describes how a stream ended. At most one of its fields is set; the zero
// value means that the stream is complete.
type StreamEnd struct {
	Response *backend.Response // a server's response that is not a stream
	Refusal  *Refusal          // no event was delivered
	Broken   bool              // events were delivered, but the stream is incomplete
}

// streaming is the state of one stream on this host.
type streaming struct {
	*forwarding
	writer    StreamWriter
	head      *backend.Response // status and headers of the first response, also used when the stream is resumed
	headSent  bool
	lastID    int64 // of the last event that the caller has
	resumed   bool
	delivered bool
	// silent are the servers that this host left because they were silent. They may be
	// healthy, so the stream returns to them if no other server takes it.
	silent []string
}

// Stream forwards a request and passes on the events of the response as a backend
// server sends them. A stream that breaks off is resumed at another server if the
// route allows it. If resumed is set, the caller already has the events up to after.
func (h *Host) Stream(ctx context.Context, caller Caller, request *backend.Request, route *deployment.Route, deadline time.Time, after int64, resumed bool, writer StreamWriter) StreamEnd {
	began := time.Now()
	f, ctx, cancel := h.newForwarding(ctx, caller, request, route, deadline)
	defer cancel()
	f.call = backend.CallStream
	s := &streaming{forwarding: f, writer: writer, lastID: after, resumed: resumed}
	if resumed && after > 0 {
		f.usage = nil // counted at its first event, which the caller has
	}
	end := StreamEnd{Refusal: f.refuseUnsent()}
	if end.Refusal == nil {
		end = s.run(ctx)
	}
	if end.Refusal != nil || end.Broken {
		s.awaitPublished()
	}
	response := end.Response
	if response == nil && end.Refusal == nil {
		response = s.head
	}
	f.recordOutcome(response, end.Refusal, time.Since(began))
	if end.Broken {
		h.recorder.Count("streams_broken_total", "route", route.Name)
	}
	return end
}

func (s *streaming) run(ctx context.Context) StreamEnd {
	for {
		a := s.pick(ctx, false)
		if a == nil && s.mayReturn() {
			a = s.pick(ctx, false)
		}
		if a == nil {
			return s.streamExhausted()
		}
		end := s.streamOnce(ctx, a)
		switch {
		case end.Complete:
			s.clearSuspicion()
			s.sendHead()
			return StreamEnd{}
		case ctx.Err() != nil && !s.delivered:
			return StreamEnd{Refusal: s.givenUp()}
		case ctx.Err() != nil:
			return StreamEnd{Broken: true}
		case end.Response != nil && !end.Response.NotRun && !s.delivered:
			return StreamEnd{Response: end.Response}
		}
		if !s.mayResume(end) && !s.mayReturn() {
			return s.streamExhausted()
		}
	}
}

// mayReturn reports whether the stream may be resumed at a server that this host left
// because it was silent, and allows it to be selected again.
func (s *streaming) mayReturn() bool {
	if len(s.silent) == 0 || s.possibleRuns >= s.route.MaxAttempts {
		return false
	}
	for _, id := range s.silent {
		delete(s.excluded, id)
	}
	s.silent = nil
	return true
}

// streamOnce streams from one server until its stream ends or an event does not
// arrive in time.
func (s *streaming) streamOnce(ctx context.Context, a *attempt) backend.RunEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watchSilence(a, cancel)
	end := s.host.backends.Stream(ctx, targetOf(&a.server), &backend.Stream{
		Request: a.request, LastEventID: s.lastID, Resumed: s.resumed, Timeout: time.Until(s.deadline),
		OnHeaders: func(response *backend.Response) {
			a.began = true
			if s.head == nil {
				s.head = response
			}
		},
		OnEvent: func(e backend.Event) {
			watch.recordEvent()
			s.usage.Began(time.Now())
			s.sendHead()
			s.lastID, s.resumed, s.delivered = e.ID, true, true
			s.writer.WriteEvent(e)
		},
	})
	if watch.stop() {
		s.silent = append(s.silent, a.server.ID)
	}
	a.response, a.err = end.Response, end.Err
	if end.Complete {
		a.response = s.head
	}
	// If this host cancelled the attempt, its server may be healthy.
	s.endAttempt(a, ctx.Err() != nil)
	s.notePublication(a)
	return end
}

// silenceWatch ends an attempt whose server is silent while another server can take the
// stream.
type silenceWatch struct {
	events chan struct{} // an event arrived
	done   chan struct{} // closed when the attempt has ended
	left   chan bool     // whether the attempt was ended
}

// watchSilence watches an attempt. leave ends it.
func (s *streaming) watchSilence(a *attempt, leave func()) *silenceWatch {
	w := &silenceWatch{events: make(chan struct{}, 1), done: make(chan struct{}), left: make(chan bool, 1)}
	go func() { w.left <- s.leaveIfSilent(w, a, leave) }()
	return w
}

func (w *silenceWatch) recordEvent() {
	select {
	case w.events <- struct{}{}:
	default:
	}
}

// stop ends the watch and reports whether it has ended the attempt.
func (w *silenceWatch) stop() bool {
	close(w.done)
	return <-w.left
}

// leaveIfSilent waits until the server has been silent for too long and another server
// can take the stream, and then calls leave. It returns false if the attempt ends before.
func (s *streaming) leaveIfSilent(w *silenceWatch, a *attempt, leave func()) bool {
	timer := time.NewTimer(s.firstEventTimeout())
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-w.done:
			return false
		case <-w.events:
			last = time.Now()
			timer.Reset(streamEventTimeout)
			continue
		case <-timer.C:
		}
		if s.hasAlternative() {
			s.host.recorder.RecordDecision("stream-silent", s.request.ID, "server", a.server.ID, "silent_ms", time.Since(last).Milliseconds())
			leave()
			return true
		}
		timer.Reset(silenceRecheck)
	}
}

// hasAlternative reports whether another server can take the stream. A server's silence
// is no reason to end a stream that cannot go on elsewhere: the server may only have
// preempted it.
func (s *streaming) hasAlternative() bool {
	if !s.route.Resumable || s.possibleRuns >= s.route.MaxAttempts {
		return false
	}
	selection := s.choose()
	return selection.Server != nil && !selection.Failing && !selection.LastResort
}

// sendHead passes the status and headers on to the caller, once.
func (s *streaming) sendHead() {
	if !s.headSent {
		s.headSent = true
		s.writer.WriteHead(s.head)
	}
}

func (s *streaming) firstEventTimeout() time.Duration {
	return max(firstEventFactor*s.route.Objective, minFirstEventTimeout)
}

// mayResume records why a stream ended early, and reports whether it may continue at
// another server.
func (s *streaming) mayResume(end backend.RunEnd) bool {
	if errors.Is(end.Err, backend.ErrNotSent) || end.Response != nil && end.Response.NotRun {
		s.possibleRuns--
		s.refusals++
		return s.refusals <= maxRefusals
	}
	if !s.delivered {
		s.head = nil // no event was delivered, so the next server's headers are used
	}
	return s.route.Resumable && s.possibleRuns < s.route.MaxAttempts
}

func (s *streaming) streamExhausted() StreamEnd {
	if s.delivered {
		return StreamEnd{Broken: true}
	}
	response, refusal := s.exhausted()
	return StreamEnd{Response: response, Refusal: refusal}
}
