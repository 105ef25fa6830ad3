package admit

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

const (
	// defaultLength is the expected length of a response, in tokens, before any
	// was observed.
	defaultLength = 64
	// lengthWeight is the weight of a new observation in the moving average of
	// lengths.
	lengthWeight = 0.1
	// tailShare is the share of responses that may exceed lengthEstimate.p90,
	// the length used to check deadlines.
	tailShare = 0.1
	// maxWaitShare is the part of the time to its deadline that a new
	// interactive or batch request may be expected to wait. A longer queue does
	// not let more requests meet their deadlines: each one would start at the
	// last moment, so that any estimation error causes a missed deadline.
	maxWaitShare = 0.5
	// maxLengthEstimates is the maximum number of length estimates per replica.
	// A new one beyond it discards all others.
	maxLengthEstimates = 256
)

func lengthKey(request Request) string {
	if request.Class >= declare.ClassTraining {
		return "trainer/" + request.Trainer
	}
	return [...]string{"interactive", "batch"}[max(request.Class, 0)]
}

// lengthEstimate describes the lengths of one kind of response, in tokens.
type lengthEstimate struct {
	mean float64
	// p90 is the estimated 90th percentile.
	p90 float64
}

// expectedTokens returns the expected length of a request's response.
func (r *replica) expectedTokens(request Request) float64 {
	return r.estimate(request).mean
}

func (r *replica) estimate(request Request) lengthEstimate {
	s, known := r.lengths[lengthKey(request)]
	if !known {
		s = lengthEstimate{defaultLength, defaultLength}
	}
	if request.MaxTokens > 0 {
		s.mean, s.p90 = min(s.mean, float64(request.MaxTokens)), min(s.p90, float64(request.MaxTokens))
	}
	return lengthEstimate{max(1, s.mean), max(1, s.p90)}
}

// observeLength updates the length estimate with a finished response. A
// response that was cut off is counted only if it reached the mean: ignoring all
// of them would bias the estimate towards short responses.
func (r *replica) observeLength(it *item, completed bool) {
	key, tokens := lengthKey(it.Request), float64(it.tokens)
	s, known := r.lengths[key]
	if tokens == 0 || !completed && (!known || tokens < s.mean) {
		return
	}
	if !known {
		if len(r.lengths) >= maxLengthEstimates {
			clear(r.lengths)
		}
		s = lengthEstimate{tokens, tokens}
	}
	s.mean += lengthWeight * (tokens - s.mean)
	step := lengthWeight * s.mean
	if tokens > s.p90 {
		s.p90 += (1 - tailShare) * step
	} else {
		s.p90 -= tailShare * step
	}
	s.p90 = max(s.p90, s.mean)
	r.lengths[key] = s
}

// perToken returns the time per token of one request, or 0 before the first
// measurement.
func (r *replica) perToken() time.Duration { return r.limit.perToken }

// expectedWait estimates the queueing time of a new request of the given class.
func (r *replica) expectedWait(class declare.Class, now time.Time) time.Duration {
	byRate := r.rateWait(now)
	if r.rate != nil {
		byRate += time.Duration(r.queued()) * r.rate.Interval()
	}
	if len(r.running) < r.limit.value() && r.queued() == 0 {
		return byRate
	}
	ahead := r.isolated.cost()
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
	// A slot becomes free after about the mean remaining length of the running
	// requests.
	running := 0.0
	for _, it := range r.running {
		running += max(1, it.cost-float64(it.tokens))
	}
	if n := len(r.running); n > 0 {
		ahead += running / float64(n)
	}
	return max(byRate, time.Duration(ahead*float64(r.perToken())/float64(r.limit.value())))
}

// serviceTime returns the running time that about nine in ten responses do not
// exceed.
func (r *replica) serviceTime(request Request) time.Duration {
	return r.limit.firstToken + time.Duration(r.estimate(request).p90*float64(r.perToken()))
}

// cannotMeetDeadline reports whether a new request is expected to miss its
// deadline after waiting in the queue. A request that can start immediately is
// not refused for its expected running time.
func (r *replica) cannotMeetDeadline(request Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return false
	}
	left, wait := request.Deadline.Sub(now), r.expectedWait(request.Class, now)
	if request.Class < declare.ClassTraining && float64(wait) > maxWaitShare*float64(left) {
		return true
	}
	return left <= 0 || wait > 0 && wait+r.serviceTime(request) > left
}

// wouldMissDeadline reports whether a request that waited in the queue would
// finish after its deadline if it started now.
func (r *replica) wouldMissDeadline(it *item, now time.Time) bool {
	if it.Deadline.IsZero() || now.Equal(it.arrived) {
		return false
	}
	return now.Add(r.serviceTime(it.Request)).After(it.Deadline)
}
