package admit

import "time"

const (
	// minSamples is the number of tokens that an adjustment needs; fewer say
	// more about single requests than about the replica.
	minSamples = 16
	// decrease is the factor of the multiplicative decrease.
	decrease = 0.8
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
}

func newLimiter(config Config, now time.Time) limiter {
	return limiter{config: config, limit: float64(config.InitialLimit), probing: true, adjusted: now}
}

func (l *limiter) value() int { return max(1, min(int(l.limit), l.config.MaxLimit)) }

func (l *limiter) observe(gap time.Duration) {
	l.sum += gap
	l.samples++
}

// adjust changes the limit at the end of a window. The limit only grows when
// it was reached, because otherwise it was not what held work back.
func (l *limiter) adjust(now time.Time) {
	if now.Sub(l.adjusted) < l.config.AdjustInterval {
		return
	}
	l.adjusted = now
	if l.samples < minSamples {
		return
	}
	l.perToken = l.sum / time.Duration(l.samples)
	l.sum, l.samples = 0, 0
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	if l.baseline == 0 || l.perToken < l.baseline {
		l.baseline = l.perToken
	}
	switch {
	case float64(l.perToken) > l.config.SlowdownFactor*float64(l.baseline):
		l.limit = max(1, l.limit*decrease)
		l.probing = false
	case l.full:
		step := 1.0
		if l.probing {
			step = max(1, l.limit/8)
		}
		l.limit = min(float64(l.config.MaxLimit), l.limit+step)
	}
	l.full = false
}
