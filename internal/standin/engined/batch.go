package engined

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// run is one request in the engine.
type run struct {
	request engine.GenerateRequest
	entry   int // index in the journal
	tag     string
	length  int
	finish  string
	next    int // index of the next token
	readyAt time.Time
	pending []engine.Chunk // not yet taken by the handler
	notify  chan struct{}
	ended   Outcome
}

// submit queues a request and starts the batch loop when it is not running.
func (s *Server) submit(request engine.GenerateRequest) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	length, finish := limited(s.lengths().Length(request.Model, request.Prompt, request.Seed), request.MaxTokens)
	r := &run{
		request: request,
		tag:     AnswerTag(request.Model, request.Prompt, request.Seed),
		length:  max(length, len(request.Delivered)+1),
		finish:  finish,
		next:    len(request.Delivered),
		notify:  make(chan struct{}, 1),
	}
	r.entry = s.recordLocked(request, now)
	if s.down {
		s.endLocked(r, OutcomeCrashed, now)
		return r
	}
	s.waiting = append(s.waiting, r)
	s.noteLoadLocked(now)
	if !s.looping {
		s.looping = true
		go s.loop()
	}
	return r
}

func (s *Server) lengths() Lengths {
	if override := s.faults.Get().Lengths; override != nil {
		return *override
	}
	return s.config.Lengths
}

// loop produces one token per ready request and step, until nothing is left.
func (s *Server) loop() {
	next := time.Now()
	for {
		s.mu.Lock()
		now := time.Now()
		s.admitLocked(now)
		if len(s.active) == 0 {
			s.looping = false
			s.mu.Unlock()
			return
		}
		if !now.Before(s.pausedUntil) && !s.faults.Get().Hang {
			s.stepLocked(now)
		}
		duration := s.stepTimeLocked()
		s.mu.Unlock()
		if next = next.Add(duration); next.Before(now) {
			next = now.Add(duration)
		}
		time.Sleep(time.Until(next))
	}
}

// stepTimeLocked grows with the batch.
func (s *Server) stepTimeLocked() time.Duration {
	factor := 1 + s.config.BatchSlope*float64(max(0, len(s.active)-1))
	if slow := s.faults.Get().SlowFactor; slow > 0 {
		factor *= slow
	}
	if s.state.Role == engine.RoleDecode {
		factor *= 0.8
	}
	return time.Duration(float64(s.config.TokenTime) * factor)
}

// admitLocked moves waiting requests into the batch in order of arrival.
func (s *Server) admitLocked(now time.Time) {
	poison := s.faults.Get().CrashPrompt
	for len(s.waiting) > 0 && len(s.active) < s.config.MaxBatch {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		if poison != "" && strings.Contains(r.request.Prompt, poison) {
			s.active = append(s.active, r)
			s.crashLocked(s.faults.Get().crashTime())
			return
		}
		hashes := engine.PrefixHashes(r.request.Model, r.request.Prompt)
		hits := s.cache.use(hashes, now, s.dropEventLocked)
		prefill := time.Duration(len(hashes)-hits) * s.config.PrefillPerBlock
		if s.state.Role == engine.RolePrefill {
			prefill /= 2
		}
		r.readyAt = now.Add(prefill)
		s.journal.Requests[r.entry].CachedBlocks = hits
		s.active = append(s.active, r)
		s.noteLoadLocked(now)
	}
}

func (s *Server) dropEventLocked() bool { return s.random.Float64() < s.config.CacheEventLossShare }

// stepLocked emits one token of each ready request.
func (s *Server) stepLocked(now time.Time) {
	crossed := s.faults.Get().MisdirectedShare
	for _, r := range s.active {
		if now.Before(r.readyAt) {
			continue
		}
		if crossed > 0 && s.random.Float64() < crossed {
			s.crossLocked(r)
		}
		last := r.next == r.length-1
		chunk := engine.Chunk{
			RequestID:     r.request.RequestID,
			Index:         r.next,
			Token:         token(r.tag, r.next, last && r.finish == FinishStop),
			WeightVersion: s.state.Version,
		}
		if last {
			chunk.FinishReason = r.finish
		}
		s.producedLocked(r, chunk)
		r.push(chunk)
		r.next++
		if last {
			s.endLocked(r, OutcomeFinished, now)
		}
	}
	before := len(s.active)
	s.active = slices.DeleteFunc(s.active, func(r *run) bool { return r.ended != "" })
	if len(s.active) != before {
		s.noteLoadLocked(now)
	}
}

// crossLocked sends a chunk of another request into the stream of r.
func (s *Server) crossLocked(r *run) {
	for _, other := range s.active {
		if other != r && other.request.RequestID != r.request.RequestID {
			r.push(engine.Chunk{
				RequestID:     other.request.RequestID,
				Index:         r.next,
				Token:         token(other.tag, r.next, false),
				WeightVersion: s.state.Version,
			})
			s.journal.MisdirectedChunks++
			return
		}
	}
}

func (r *run) push(chunk engine.Chunk) {
	r.pending = append(r.pending, chunk)
	r.wake()
}

func (r *run) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// endLocked marks the request as ended; the caller takes it off the batch.
func (s *Server) endLocked(r *run, end Outcome, now time.Time) {
	if r.ended != "" {
		return
	}
	r.ended = end
	s.journal.Requests[r.entry].Outcome = end
	s.journal.Requests[r.entry].EndedAt = now
	r.wake()
}

// take returns the chunks that were produced since the last call.
func (s *Server) take(r *run) (chunks []engine.Chunk, ended Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, r.pending = r.pending, nil
	return chunks, r.ended
}

// cancel takes requests off the batch and returns how many there were.
func (s *Server) cancel(match func(*run) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	cancelled := 0
	remove := func(r *run) bool {
		if !match(r) || r.ended != "" {
			return false
		}
		s.endLocked(r, OutcomeCancelled, now)
		cancelled++
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, remove)
	s.active = slices.DeleteFunc(s.active, remove)
	s.noteLoadLocked(now)
	return cancelled
}

// dropRunsLocked ends all requests without an answer.
func (s *Server) dropRunsLocked(end Outcome) {
	now := time.Now()
	for _, r := range append(slices.Clone(s.active), s.waiting...) {
		s.endLocked(r, end, now)
	}
	s.active, s.waiting = nil, nil
}
