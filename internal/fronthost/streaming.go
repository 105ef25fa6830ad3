package fronthost

import (
	"context"
	"errors"
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Times of streams.
const (
	// firstEventFactor is how many objectives a stream may take to its first
	// event before it is tried elsewhere; clients leave after four.
	firstEventFactor = 2
	// minFirstEvent keeps short objectives from moving streams that only wait
	// for a slot.
	minFirstEvent = time.Second
	// streamEventTimeout is the longest pause between two events before a stream
	// is resumed elsewhere; clients leave after two seconds at the earliest.
	streamEventTimeout = time.Second
)

// StreamWriter takes a stream's answer for the client.
type StreamWriter interface {
	// Head takes the head of the first server's answer.
	Head(*backend.Answer)
	// Event takes one whole event.
	Event(backend.Event)
}

// StreamEnd says how a stream ended. Only one of its fields is set; an empty one
// means that the stream ended as a whole.
type StreamEnd struct {
	Answer  *backend.Answer // a server's answer that is no stream
	Refusal *Refusal        // no event was delivered
	Broken  bool            // events were delivered, and the rest cannot be had
}

// streaming is the state of one stream on this host.
type streaming struct {
	*forwarding
	writer    StreamWriter
	head      *backend.Answer // of the first answer; later ones keep its head
	headSent  bool
	lastID    int64 // of the last event that the client has
	resumed   bool
	delivered bool
	abandoned bool // this host ended the last attempt; its server may be sound
}

// Stream has a request answered with events as a backend server makes them. A
// stream that breaks off goes on at another server where the route allows it.
// resumed says that the client has the events up to after.
func (h *Host) Stream(ctx context.Context, request *backend.Request, route *deployment.Route, deadline time.Time, after int64, resumed bool, writer StreamWriter) StreamEnd {
	began := time.Now()
	f, ctx, cancel := h.newForwarding(ctx, request, route, deadline)
	defer cancel()
	s := &streaming{forwarding: f, writer: writer, lastID: after, resumed: resumed}
	end := StreamEnd{Refusal: f.crashRefusal()}
	if end.Refusal == nil {
		end = s.run(ctx)
	}
	answer := end.Answer
	if answer == nil && end.Refusal == nil {
		answer = s.head
	}
	f.record(answer, end.Refusal, time.Since(began))
	if end.Broken {
		h.recorder.Count("streams_broken_total", "route", route.Name)
	}
	return end
}

func (s *streaming) run(ctx context.Context) StreamEnd {
	for {
		t := s.pick(false)
		if t == nil {
			return s.giveUpStream()
		}
		end := s.attempt(ctx, t)
		switch {
		case end.Complete:
			s.cleared()
			s.sendHead()
			return StreamEnd{}
		case ctx.Err() != nil && !s.delivered:
			return StreamEnd{Refusal: unknown(cluster.ReasonDeadline, "no backend server answered in time")}
		case ctx.Err() != nil:
			return StreamEnd{Broken: true}
		case end.Answer != nil && !end.Answer.NotRun && !s.delivered:
			return StreamEnd{Answer: end.Answer}
		}
		if !s.mayGoOn(t, end) {
			return s.giveUpStream()
		}
	}
}

// attempt streams from one server until its stream ends or falls silent.
func (s *streaming) attempt(ctx context.Context, t *try) backend.RunEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(s.firstEventLimit(), cancel)
	defer silence.Stop()
	end := s.host.backends.Stream(ctx, backend.Target{ID: t.server.ID, Addr: t.server.Addr}, &backend.Stream{
		Request: s.request, LastEventID: s.lastID, Resumed: s.resumed, Timeout: time.Until(s.deadline),
		OnHeaders: func(a *backend.Answer) {
			if s.head == nil {
				s.head = a
			}
		},
		OnEvent: func(e backend.Event) {
			silence.Reset(streamEventTimeout)
			s.sendHead()
			s.lastID, s.resumed, s.delivered = e.ID, true, true
			s.writer.Event(e)
		},
	})
	t.answer, t.err = end.Answer, end.Err
	if end.Complete {
		t.answer = s.head
	}
	s.abandoned = ctx.Err() != nil
	s.host.finished(t, s.abandoned)
	return end
}

// sendHead hands the head on, once.
func (s *streaming) sendHead() {
	if !s.headSent {
		s.headSent = true
		s.writer.Head(s.head)
	}
}

func (s *streaming) firstEventLimit() time.Duration {
	return max(firstEventFactor*s.route.Objective, minFirstEvent)
}

// mayGoOn says whether a stream that ended early may be tried at another server.
func (s *streaming) mayGoOn(t *try, end backend.RunEnd) bool {
	if errors.Is(end.Err, backend.ErrNotSent) || end.Answer != nil && end.Answer.NotRun {
		s.runs--
		s.refusals++
		return s.refusals <= refusedSends
	}
	if end.Err != nil && !s.abandoned {
		s.crashed(t)
	}
	if !s.delivered {
		s.head = nil // the next server's answer is the first of which events come
	}
	return s.route.Resumable && s.runs < s.route.MaxAttempts
}

func (s *streaming) giveUpStream() StreamEnd {
	if s.delivered {
		return StreamEnd{Broken: true}
	}
	answer, refusal := s.giveUp()
	return StreamEnd{Answer: answer, Refusal: refusal}
}
