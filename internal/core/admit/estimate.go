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
	// maxSizes bounds the averages kept per replica.
	maxSizes = 256
)

func sizeKey(request Request) string {
	if request.Class >= declare.ClassTraining {
		return "trainer/" + request.Trainer
	}
	return [...]string{"interactive", "batch"}[max(request.Class, 0)]
}

// expectedTokens estimates the length of an answer.
func (r *replica) expectedTokens(request Request) float64 {
	size, known := r.sizes[sizeKey(request)]
	if !known {
		size = defaultTokens
	}
	if request.MaxTokens > 0 {
		size = min(size, float64(request.MaxTokens))
	}
	return max(1, size)
}

func (r *replica) learn(it *item) {
	key := sizeKey(it.Request)
	size, known := r.sizes[key]
	if !known {
		if len(r.sizes) >= maxSizes {
			clear(r.sizes)
		}
		size = float64(it.tokens)
	}
	r.sizes[key] = size + sizeWeight*(float64(it.tokens)-size)
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

func (r *replica) serviceTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(r.perToken()))
}

// misses reports whether a new request cannot meet its deadline after the
// expected wait. A request that can start now is never refused for it.
func (r *replica) misses(request Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return false
	}
	wait := r.expectedWait(request.Class)
	return !now.Before(request.Deadline) ||
		wait > 0 && now.Add(wait+r.serviceTime(r.expectedTokens(request))).After(request.Deadline)
}

// late reports whether a request that waited would end after its deadline.
func (r *replica) late(it *item, now time.Time) bool {
	if it.Deadline.IsZero() || now.Equal(it.arrived) {
		return false
	}
	return now.Add(r.serviceTime(it.cost)).After(it.Deadline)
}
