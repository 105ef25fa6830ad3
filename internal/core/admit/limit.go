package admit

import "time"

const (
	// minSamples is the number of token gaps required for an adjustment. With
	// fewer, single requests dominate the average.
	minSamples = 16
	// decreaseFactor is the factor of the multiplicative decrease.
	decreaseFactor = 0.8
	// minFirstTokens is the number of first tokens required to evaluate the
	// time to the first token.
	minFirstTokens = 3
	// firstTokenFactor is the ratio of the time to the first token to that at
	// light load above which the limit decreases. An engine queues the requests
	// that exceed its batch, which delays only their first token.
	firstTokenFactor = 4
	// firstTokenSlack is the delay of the first token, in multiples of the time
	// per token, up to which the engine never counts as queueing. A request
	// that arrives just after a step of the batch began needs two: that step
	// and its own.
	firstTokenSlack = 4
	// maxGapFactor caps a single gap, in multiples of the time per token at
	// light load. A pause of the whole engine, such as a weight swap, appears
	// as one long gap per stream and is unrelated to the size of the batch.
	maxGapFactor = 8
	// baselineDrift increases the light-load baselines in each window, so that
	// they follow a change of model or prompt length within minutes.
	baselineDrift = 1.0005
)

// limiter is the adaptive concurrency limit of one replica: additive increase
// while the time per token stays close to that at light load, multiplicative
// decrease when it rises.
type limiter struct {
	config       Config
	limit        float64
	slowStart    bool          // no decrease yet; the limit grows by an eighth instead of by one
	baseline     time.Duration // time per token at light load
	perToken     time.Duration // time per token in the last window
	adjustedAt   time.Time
	gapSum       time.Duration
	samples      int
	limitReached bool // the limit was reached in this window

	firstTokenBaseline time.Duration // time to the first token at light load
	firstToken         time.Duration // time to the first token in the last window
	firstTokenSum      time.Duration
	firstTokens        int
	settling           bool // the current window contains tokens from before a decrease
}

func newLimiter(config Config, now time.Time) limiter {
	limit := config.InitialLimit
	if config.Policy == PolicyBaseline {
		limit = config.MaxLimit
	}
	return limiter{config: config, limit: float64(limit), slowStart: true, adjustedAt: now}
}

func (l *limiter) value() int { return max(1, min(int(l.limit), l.config.MaxLimit)) }

func (l *limiter) observe(gap time.Duration) {
	if l.baseline > 0 {
		gap = min(gap, maxGapFactor*l.baseline)
	}
	l.gapSum += gap
	l.samples++
}

func (l *limiter) observeFirstToken(gap time.Duration) {
	l.firstTokenSum += gap
	l.firstTokens++
}

// adjust changes the limit at the end of a window. The limit increases only if
// it was reached, because otherwise it did not restrict the load.
func (l *limiter) adjust(now time.Time) {
	if now.Sub(l.adjustedAt) < l.config.AdjustInterval {
		return
	}
	l.adjustedAt = now
	queued := l.engineQueued()
	if l.samples < minSamples {
		return
	}
	l.perToken = l.gapSum / time.Duration(l.samples)
	l.gapSum, l.samples = 0, 0
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
		l.limit = max(1, l.limit*decreaseFactor)
		l.slowStart, l.settling = false, true
	case l.limitReached:
		step := 1.0
		if l.slowStart {
			step = max(1, l.limit/8)
		}
		l.limit = min(float64(l.config.MaxLimit), l.limit+step)
	}
	l.limitReached = false
}

// engineQueued reports whether the first tokens of the window took so long that
// the engine must have queued requests internally.
func (l *limiter) engineQueued() bool {
	if l.firstTokens < minFirstTokens {
		return false
	}
	mean := l.firstTokenSum / time.Duration(l.firstTokens)
	l.firstToken = mean
	l.firstTokenSum, l.firstTokens = 0, 0
	l.firstTokenBaseline = time.Duration(float64(l.firstTokenBaseline) * baselineDrift)
	if l.firstTokenBaseline == 0 || mean < l.firstTokenBaseline {
		l.firstTokenBaseline = mean
	}
	return mean > firstTokenFactor*l.firstTokenBaseline+firstTokenSlack*l.perToken
}
