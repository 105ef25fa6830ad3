package engined

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// run is the execution of one request, from its arrival to its outcome.
type run struct {
	request engine.GenerateRequest
	entry   int            // index in the journal
	tag     string         // answer tag; see AnswerTag
	length  int            // tokens of the complete answer
	finish  string         // finish reason
	next    int            // index of the next token
	readyAt time.Time      // end of the prefill
	pending []engine.Chunk // not yet fetched by the handler
	notify  chan struct{}  // signals new chunks or the end of the run
	outcome Outcome
}

// submit queues a request and starts the batch loop unless it is running.
func (s *Server) submit(request engine.GenerateRequest) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	length, finish := applyLimit(s.lengths().Length(request.Model, request.Prompt, request.Seed), request.MaxTokens)
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
	s.recordLoadLocked(now)
	if !s.batchLoopRunning {
		s.batchLoopRunning = true
		go s.runBatchLoop()
	}
	return r
}

func (s *Server) lengths() Lengths {
	if override := s.faults.Get().Lengths; override != nil {
		return *override
	}
	return s.config.Lengths
}

// runBatchLoop produces one token per step for each request whose prefill is
// done, until no request is left.
func (s *Server) runBatchLoop() {
	next := time.Now()
	for {
		s.mu.Lock()
		now := time.Now()
		s.admitLocked(now)
		if len(s.active) == 0 {
			s.batchLoopRunning = false
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

// stepTimeLocked returns the duration of one step, which grows with the batch. A
// decode replica takes 20% less.
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

// admitLocked moves waiting requests into the batch in order of arrival. A
// request with a crash-inducing prompt crashes the engine. A prefill replica
// needs half the prefill time.
func (s *Server) admitLocked(now time.Time) {
	crashPrompt := s.faults.Get().CrashPrompt
	for len(s.waiting) > 0 && len(s.active) < s.config.MaxBatch {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		if crashPrompt != "" && strings.Contains(r.request.Prompt, crashPrompt) {
			s.active = append(s.active, r)
			s.crashLocked(s.faults.Get().crashDowntime())
			return
		}
		hashes := engine.PrefixHashes(r.request.Model, r.request.Prompt)
		hits := s.cache.access(hashes, now, s.loseEventLocked)
		prefill := time.Duration(len(hashes)-hits) * s.config.PrefillPerBlock
		if s.state.Role == engine.RolePrefill {
			prefill /= 2
		}
		r.readyAt = now.Add(prefill)
		s.journal.Requests[r.entry].CachedBlocks = hits
		s.active = append(s.active, r)
		s.recordLoadLocked(now)
	}
}

func (s *Server) loseEventLocked() bool { return s.random.Float64() < s.config.CacheEventLossShare }

// stepLocked produces one token for each request whose prefill is done.
func (s *Server) stepLocked(now time.Time) {
	misdirectedShare := s.faults.Get().MisdirectedShare
	for _, r := range s.active {
		if now.Before(r.readyAt) {
			continue
		}
		if misdirectedShare > 0 && s.random.Float64() < misdirectedShare {
			s.pushMisdirectedLocked(r)
		}
		last := r.next == r.length-1
		chunk := engine.Chunk{
			RequestID:     r.request.RequestID,
			Index:         r.next,
			Token:         formatToken(r.tag, r.next, last && r.finish == FinishStop),
			WeightVersion: s.state.Version,
		}
		if last {
			chunk.FinishReason = r.finish
		}
		s.recordTokenLocked(r, chunk)
		r.push(chunk)
		r.next++
		if last {
			s.endLocked(r, OutcomeFinished, now)
		}
	}
	before := len(s.active)
	s.active = slices.DeleteFunc(s.active, func(r *run) bool { return r.outcome != "" })
	if len(s.active) != before {
		s.recordLoadLocked(now)
	}
}

// pushMisdirectedLocked adds a chunk of another request to the stream of r.
func (s *Server) pushMisdirectedLocked(r *run) {
	for _, other := range s.active {
		if other != r && other.request.RequestID != r.request.RequestID {
			r.push(engine.Chunk{
				RequestID:     other.request.RequestID,
				Index:         r.next,
				Token:         formatToken(other.tag, r.next, false),
				WeightVersion: s.state.Version,
			})
			s.journal.MisdirectedChunks++
			return
		}
	}
}

func (r *run) push(chunk engine.Chunk) {
	r.pending = append(r.pending, chunk)
	r.signal()
}

func (r *run) signal() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// endLocked records the outcome of a request. The caller removes the request from
// the batch or the queue.
func (s *Server) endLocked(r *run, outcome Outcome, now time.Time) {
	if r.outcome != "" {
		return
	}
	r.outcome = outcome
	s.journal.Requests[r.entry].Outcome = outcome
	s.journal.Requests[r.entry].EndedAt = now
	r.signal()
}

// takeChunks returns the chunks that were produced since the last call, and the
// outcome if the request has ended.
func (s *Server) takeChunks(r *run) (chunks []engine.Chunk, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, r.pending = r.pending, nil
	return chunks, r.outcome
}

// cancel ends the matching requests and returns their number.
func (s *Server) cancel(match func(*run) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	cancelled := 0
	remove := func(r *run) bool {
		if !match(r) || r.outcome != "" {
			return false
		}
		s.endLocked(r, OutcomeCancelled, now)
		cancelled++
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, remove)
	s.active = slices.DeleteFunc(s.active, remove)
	s.recordLoadLocked(now)
	return cancelled
}

// endAllLocked ends all requests with the given outcome.
func (s *Server) endAllLocked(outcome Outcome) {
	now := time.Now()
	for _, r := range append(slices.Clone(s.active), s.waiting...) {
		s.endLocked(r, outcome, now)
	}
	s.active, s.waiting = nil, nil
}
