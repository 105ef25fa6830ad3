package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

const (
	// defaultTokens is the expected length of an answer before any was seen.
	defaultTokens = 64
	// sizeWeight is the weight of a new answer in the average length.
	sizeWeight = 0.1
	// highShare is the share of answers that may be longer than the length
	// with which deadlines are checked.
	highShare = 0.1
	// maxWaitShare is the part of the time to the deadline that a caller's new
	// request may be expected to wait. A longer queue does not give more answers in
	// time; it only makes each request start at the last moment, so that every
	// error of an estimate costs a whole answer.
	maxWaitShare = 0.5
	// maxSizes bounds the averages kept per replica.
	maxSizes = 256
)

func sizeKey(request Request) string {
	if request.Class >= declare.ClassTraining {
		return "trainer/" + request.Trainer
	}
	return [...]string{"interactive", "batch"}[max(request.Class, 0)]
}

// size is what is known about the length of one kind of answer, in tokens.
type size struct {
	mean float64
	// high is a length that one answer in ten exceeds.
	high float64
}

// expectedTokens estimates the length of an answer.
func (r *replica) expectedTokens(request Request) float64 {
	return r.size(request).mean
}

func (r *replica) size(request Request) size {
	s, known := r.sizes[sizeKey(request)]
	if !known {
		s = size{defaultTokens, defaultTokens}
	}
	if request.MaxTokens > 0 {
		s.mean, s.high = min(s.mean, float64(request.MaxTokens)), min(s.high, float64(request.MaxTokens))
	}
	return size{max(1, s.mean), max(1, s.high)}
}

// learn takes the length of an answer into account. One that was cut off
// counts when it was longer than expected even so: otherwise the estimates
// would only know the answers that were short enough.
func (r *replica) learn(it *item, whole bool) {
	key, tokens := sizeKey(it.Request), float64(it.tokens)
	s, known := r.sizes[key]
	if tokens == 0 || !whole && (!known || tokens < s.mean) {
		return
	}
	if !known {
		if len(r.sizes) >= maxSizes {
			clear(r.sizes)
		}
		s = size{tokens, tokens}
	}
	s.mean += sizeWeight * (tokens - s.mean)
	step := sizeWeight * s.mean
	if tokens > s.high {
		s.high += (1 - highShare) * step
	} else {
		s.high -= highShare * step
	}
	s.high = max(s.high, s.mean)
	r.sizes[key] = s
}

// perToken returns the time per token of one request; 0 means not known yet.
func (r *replica) perToken() time.Duration { return r.limit.perToken }

// expectedWait estimates how long a new request of a class would wait.
func (r *replica) expectedWait(class declare.Class) time.Duration {
	if len(r.running) < r.limit.value() && r.queued() == 0 {
		return 0
	}
	ahead := r.solo.cost()
	for c := range r.callers {
		if declare.Class(c) <= class {
			ahead += r.callers[c].cost()
		}
	}
	share := r.config.MinTrainingShare
	if class < declare.ClassTraining {
		ahead /= 1 - share
	} else {
		r.flows.Each(func(_ string, f *flow) bool {
			ahead += f.queue.cost()
			return true
		})
	}
	// The next slot comes free after a part of one running request.
	running := 0.0
	for _, it := range r.running {
		running += max(1, it.cost-float64(it.tokens))
	}
	if n := len(r.running); n > 0 {
		ahead += running / float64(n)
	}
	return time.Duration(ahead * float64(r.perToken()) / float64(r.limit.value()))
}

// serviceTime is the time that all but few answers take.
func (r *replica) serviceTime(request Request) time.Duration {
	return r.limit.firstToken + time.Duration(r.size(request).high*float64(r.perToken()))
}

// misses reports whether a new request cannot meet its deadline after the
// expected wait. A request that can start now is never refused for it.
func (r *replica) misses(request Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return false
	}
	left, wait := request.Deadline.Sub(now), r.expectedWait(request.Class)
	if request.Class < declare.ClassTraining && float64(wait) > maxWaitShare*float64(left) {
		return true
	}
	return left <= 0 || wait > 0 && wait+r.serviceTime(request) > left
}

// late reports whether a request that waited would end after its deadline.
func (r *replica) late(it *item, now time.Time) bool {
	if it.Deadline.IsZero() || now.Equal(it.arrived) {
		return false
	}
	return now.Add(r.serviceTime(it.Request)).After(it.Deadline)
}
