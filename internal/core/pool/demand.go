package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the work of a service's jobs.
type Demand struct {
	Rounds []Round
	// EndedTokens and EndedTime are the expected output of recently ended items and the time
	// that their runs took. Both are zero if none ended.
	EndedTokens float64
	EndedTime   time.Duration
	// Unmeasured is set if the servers also do work that Rounds does not have.
	Unmeasured bool
}

// Round is a job that a trainer submitted.
type Round struct {
	Trainer   string
	Submitted time.Time
	Due       time.Duration // after the submission
	Tokens    float64       // expected output of all items
	Open      float64       // expected output of the items without a result
}

const (
	// defaultTokenTime is the time for one token until it is measured.
	defaultTokenTime = 700 * time.Microsecond
	// defaultDue is used for routes that do not say when results are due.
	defaultDue = 8 * time.Second
	// minGap is the least time between two rounds of a trainer. Rounds that a host read in
	// its first listing seem to have been submitted together.
	minGap = 500 * time.Millisecond
	// shortMedian is the share of the time until results are due below which the median gap
	// is not taken for the period.
	shortMedian = 0.25
	// newestRounds is the number of a trainer's newest rounds whose largest counts.
	newestRounds = 3
	// measuredGaps is the number of a trainer's newest gaps whose median is its period.
	measuredGaps = 5
	// A trainer counts until it has submitted nothing for activePeriods and for minActive.
	activePeriods = 5
	minActive     = 20 * time.Second
)

// need is the number of servers that a service needs, without a reserve.
type need struct {
	servers int
	// period is the longest time between two rounds of a trainer, or 0 without rounds.
	period time.Duration
	// perToken is the time of a run for each token of the expected output, and trainers the
	// number of those that submit rounds.
	perToken time.Duration
	trainers int
}

// needOf returns the need of a service: the newest rounds of all trainers, if submitted
// together, end in RoundShare of their periods, and what is open ends when it is due. Unless
// the demand is complete, open work does not count: its results may not have been read.
func (c Config) needOf(s *Service, complete bool, now time.Time) need {
	perToken := s.Demand.tokenTime()
	slots, period, trainers := 0.0, time.Duration(0), 0
	for _, rounds := range byTrainer(s.Demand.Rounds) {
		newest := rounds[len(rounds)-1]
		p := periodOf(rounds)
		if now.Sub(newest.Submitted) > max(activePeriods*p, minActive) {
			continue
		}
		trainers++
		period = max(period, p)
		slots += largest(rounds) * perToken.Seconds() / (c.RoundShare * min(p, newest.due()).Seconds())
	}
	if complete {
		slots = max(slots, backlogSlots(s.Demand.Rounds, perToken, s.Scale.StartUp+c.ArrivalLag, s.slots(), now))
	}
	return need{servers: int(math.Ceil(slots * c.Headroom / s.slotsPerServer())), period: period, perToken: perToken, trainers: trainers}
}

// tokenTime returns the time of a run for each token of the expected output. It includes
// the bias of the expectations and the present speed of the servers.
func (d *Demand) tokenTime() time.Duration {
	if d.EndedTokens <= 0 || d.EndedTime <= 0 {
		return defaultTokenTime
	}
	return time.Duration(float64(d.EndedTime) / d.EndedTokens)
}

func (r *Round) due() time.Duration {
	if r.Due <= 0 {
		return defaultDue
	}
	return r.Due
}

// byTrainer returns the rounds of each trainer in the order of their submission.
func byTrainer(rounds []Round) map[string][]Round {
	trainers := make(map[string][]Round)
	for _, r := range rounds {
		trainers[r.Trainer] = append(trainers[r.Trainer], r)
	}
	for _, list := range trainers {
		slices.SortStableFunc(list, func(x, y Round) int { return x.Submitted.Compare(y.Submitted) })
	}
	return trainers
}

// periodOf returns the median time between a trainer's newest rounds. While fewer than
// measuredGaps are known, it is half of the time until results are due at least: a host that
// was cut off reads rounds of several periods within a second. After a longer cut most of
// the newest gaps are short, so their mean replaces a short median: it includes the cut.
func periodOf(rounds []Round) time.Duration {
	var gaps []time.Duration
	for i := len(rounds) - 1; i > 0 && len(gaps) < measuredGaps; i-- {
		if gap := rounds[i].Submitted.Sub(rounds[i-1].Submitted); gap >= minGap {
			gaps = append(gaps, gap)
		}
	}
	due := rounds[len(rounds)-1].due()
	usual := due / 2
	if len(gaps) == 0 {
		return usual
	}
	slices.Sort(gaps)
	median := gaps[len(gaps)/2]
	if len(gaps) < measuredGaps {
		return max(median, usual)
	}
	if median < time.Duration(shortMedian*float64(due)) {
		return mean(gaps)
	}
	return median
}

func mean(gaps []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, gap := range gaps {
		sum += gap
	}
	return sum / time.Duration(len(gaps))
}

// largest returns the expected output of the largest of a trainer's newest rounds.
func largest(rounds []Round) float64 {
	tokens := 0.0
	for _, r := range rounds[max(len(rounds)-newestRounds, 0):] {
		tokens = max(tokens, r.Tokens)
	}
	return tokens
}

// backlogSlots returns the number of slots with which all open work ends when it is due, or
// 0 if the present slots end it before servers that are ordered now can help. After an
// outage much work is open that ran already, and each further server delays the load of the
// next weight version on the others.
func backlogSlots(rounds []Round, perToken, delay time.Duration, present float64, now time.Time) float64 {
	open := slices.Clone(rounds)
	slices.SortStableFunc(open, func(x, y Round) int {
		return cmp.Compare(x.Submitted.Add(x.due()).UnixNano(), y.Submitted.Add(y.due()).UnixNano())
	})
	slots, work := 0.0, 0.0
	for _, r := range open {
		work += r.Open * perToken.Seconds()
		left := max(r.Submitted.Add(r.due()).Sub(now), delay, time.Second)
		slots = max(slots, work/left.Seconds())
	}
	if work <= present*delay.Seconds() {
		return 0
	}
	return slots
}
