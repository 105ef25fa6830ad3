package admit

import "time"

const (
	// minSamples is the number of tokens that an adjustment needs; fewer say
	// more about single requests than about the replica.
	minSamples = 16
	// decrease is the factor of the multiplicative decrease.
	decrease = 0.8
	// minFirsts is the number of first tokens that count as a measurement.
	minFirsts = 3
	// firstFactor is how many times longer than at light load the first token
	// may take before the limit falls: engines queue what exceeds their batch,
	// which shows in the first token only.
	firstFactor = 4
	// firstSlack is the wait for the first token, in tokens, that never counts
	// as queueing. A step of the batch that just began accounts for two.
	firstSlack = 4
	// maxGapFactor caps a single gap, in multiples of the time per token at
	// light load. A pause of the whole engine, as for a swap of weights, is one
	// long gap per stream and says nothing about the batch.
	maxGapFactor = 8
	// baselineDrift raises the light-load time per token in each window, so
	// that it follows a change of model or prompt length within minutes.
	baselineDrift = 1.0005
)

// limiter is the adaptive concurrency limit of one replica: additive increase
// while tokens come nearly as fast as at light load, multiplicative decrease
// when they slow down.
type limiter struct {
	config   Config
	limit    float64
	probing  bool          // no decrease yet: grows by an eighth instead of one
	baseline time.Duration // time per token at light load
	perToken time.Duration // time per token in the last window
	adjusted time.Time
	sum      time.Duration
	samples  int
	full     bool // the limit was reached in this window

	firstBaseline time.Duration // time to the first token at light load
	firstToken    time.Duration // time to the first token in the last window
	firstSum      time.Duration
	firsts        int
	settling      bool // the last window began before a decrease took effect
}

func newLimiter(config Config, now time.Time) limiter {
	limit := config.InitialLimit
	if config.Policy == PolicyBaseline {
		limit = config.MaxLimit
	}
	return limiter{config: config, limit: float64(limit), probing: true, adjusted: now}
}

func (l *limiter) value() int { return max(1, min(int(l.limit), l.config.MaxLimit)) }

func (l *limiter) observe(gap time.Duration) {
	if l.baseline > 0 {
		gap = min(gap, maxGapFactor*l.baseline)
	}
	l.sum += gap
	l.samples++
}

func (l *limiter) observeFirst(gap time.Duration) {
	l.firstSum += gap
	l.firsts++
}

// adjust changes the limit at the end of a window. The limit only grows when
// it was reached, because otherwise it was not what held work back.
func (l *limiter) adjust(now time.Time) {
	if now.Sub(l.adjusted) < l.config.AdjustInterval {
		return
	}
	l.adjusted = now
	queued := l.queued()
	if l.samples < minSamples {
		return
	}
	l.perToken = l.sum / time.Duration(l.samples)
	l.sum, l.samples = 0, 0
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	if l.baseline == 0 || l.perToken < l.baseline {
		l.baseline = l.perToken
	}
	if l.settling {
		l.settling = false
		return
	}
	switch {
	case queued || float64(l.perToken) > l.config.SlowdownFactor*float64(l.baseline):
		l.limit = max(1, l.limit*decrease)
		l.probing, l.settling = false, true
	case l.full:
		step := 1.0
		if l.probing {
			step = max(1, l.limit/8)
		}
		l.limit = min(float64(l.config.MaxLimit), l.limit+step)
	}
	l.full = false
}

// queued reports whether the first tokens of the window took so long that the
// engine must have queued requests itself.
func (l *limiter) queued() bool {
	if l.firsts < minFirsts {
		return false
	}
	mean := l.firstSum / time.Duration(l.firsts)
	l.firstToken = mean
	l.firstSum, l.firsts = 0, 0
	l.firstBaseline = time.Duration(float64(l.firstBaseline) * baselineDrift)
	if l.firstBaseline == 0 || mean < l.firstBaseline {
		l.firstBaseline = mean
	}
	return mean > firstFactor*l.firstBaseline+firstSlack*l.perToken
}
