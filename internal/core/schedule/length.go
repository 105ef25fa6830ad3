package schedule

import "time"

// Estimates used until the paces of replicas are known: the time between two
// events and the time for one token.
const (
	defaultPace      = 45 * time.Millisecond
	defaultTokenTime = 700 * time.Microsecond
)

// exceededLengthPercent is the minimum expected length of an item, in percent of
// the output already generated. It replaces a hint that is lower.
const exceededLengthPercent = 130

// expectedLength estimates the number of tokens in an item's complete output. The
// hint may be far off, but the output of its runs so far gives a lower bound.
func (s *Scheduler) expectedLength(t *task, in TickInput) int {
	perEvent := max(in.EventTokens(t.job), 1)
	generated := max(t.storedEvents, len(t.partial.Events)) * perEvent
	tokens := t.item.ExpectedOutput
	if generated > 0 && generated*exceededLengthPercent/100 > tokens {
		tokens = generated * exceededLengthPercent / 100
	}
	if limit := t.item.MaxOutput; limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

// remainingEvents estimates the number of events that an item's run has yet to
// produce.
func (s *Scheduler) remainingEvents(t *task, in TickInput) float64 {
	perEvent := max(in.EventTokens(t.job), 1)
	tokens := s.expectedLength(t, in) - len(t.partial.Events)*perEvent
	return float64(max(tokens, 0)) / float64(perEvent)
}

// remainingTime estimates the duration of the rest of an item's run on a replica
// of median pace.
func (s *Scheduler) remainingTime(t *task, in TickInput) time.Duration {
	if s.median > 0 && in.EventTokens(t.job) > 0 {
		return time.Duration(s.remainingEvents(t, in) * float64(s.median))
	}
	return time.Duration(max(s.expectedLength(t, in)-len(t.partial.Events)*in.EventTokens(t.job), 0)) * defaultTokenTime
}

// memoryNeed estimates how many tokens of a replica's memory an item occupies at
// the end of its run.
func (s *Scheduler) memoryNeed(t *task, in TickInput) int {
	return t.item.PromptTokens + s.expectedLength(t, in)
}
