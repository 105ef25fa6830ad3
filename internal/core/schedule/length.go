package schedule

import "time"

// defaultPace is the time between events until replicas' paces are known, and
// defaultTokenTime the time of one token.
const (
	defaultPace      = 45 * time.Millisecond
	defaultTokenTime = 700 * time.Microsecond
)

// longerThanSeen is the expected length of an item in percent of what its runs
// have made, once they have made as much as was expected.
const longerThanSeen = 130

// length estimates how many tokens an item's whole output has. The hint may be
// far off; what runs have made proves a least length.
func (b *Scheduler) length(t *task, v View) int {
	perEvent := max(v.EventTokens(t.job), 1)
	seen := max(t.longest, len(t.partial.Events)) * perEvent
	tokens := t.item.ExpectedOutput
	if seen > 0 && seen*longerThanSeen/100 > tokens {
		tokens = seen * longerThanSeen / 100
	}
	if most := t.item.MaxOutput; most > 0 {
		tokens = min(tokens, most)
	}
	return tokens
}

// remaining estimates how many events an item's run still has to make.
func (b *Scheduler) remaining(t *task, v View) float64 {
	perEvent := max(v.EventTokens(t.job), 1)
	tokens := b.length(t, v) - len(t.partial.Events)*perEvent
	return float64(max(tokens, 0)) / float64(perEvent)
}

// expected estimates how long the rest of an item's run takes on a usual replica.
func (b *Scheduler) expected(t *task, v View) time.Duration {
	if b.median > 0 && v.EventTokens(t.job) > 0 {
		return time.Duration(b.remaining(t, v) * float64(b.median))
	}
	return time.Duration(max(b.length(t, v)-len(t.partial.Events)*v.EventTokens(t.job), 0)) * defaultTokenTime
}

// memory estimates how many tokens of a replica's memory an item needs at the
// end of its run.
func (b *Scheduler) memory(t *task, v View) int { return t.item.PromptTokens + b.length(t, v) }
