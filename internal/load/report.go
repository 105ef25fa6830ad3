package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// Report summarizes one run. Latencies are in milliseconds.
type Report struct {
	Seconds  float64         `json:"seconds"`
	Callers  []MixReport     `json:"callers"`
	Trainers []TrainerReport `json:"trainers"`
	Records  Records         `json:"-"`
}

// MixReport summarizes the requests of one mix.
type MixReport struct {
	Mix        string         `json:"mix"`
	Class      string         `json:"class"`
	Requests   int            `json:"requests"`
	Answered   int            `json:"answered"`
	Attempts   int            `json:"attempts"`
	Unanswered int            `json:"unanswered"` // got neither a response nor a refusal
	Latency    Percentiles    `json:"latency_ms"`
	FirstToken Percentiles    `json:"first_token_ms"`
	Refusals   map[string]int `json:"refusals"` // by "outcome/reason"
}

// TrainerReport summarizes the deliveries to one trainer.
type TrainerReport struct {
	Trainer   string  `json:"trainer"`
	Steps     int     `json:"steps"`
	Groups    int     `json:"groups"`
	Samples   int     `json:"samples"`
	IdleShare float64 `json:"idle_share"`
	// SteadyIdleShare excludes the wait for the first step, which no system can
	// avoid.
	SteadyIdleShare float64 `json:"steady_idle_share"`
	StalenessMean   float64 `json:"staleness_mean"`
	StalenessP99    int64   `json:"staleness_p99"`
	OverBound       int     `json:"over_bound"`
	Duplicates      int     `json:"duplicates"` // samples or groups delivered again under a new sequence number
	Lost            int     `json:"lost"`
	Outstanding     int     `json:"outstanding"`
	EpochChanges    int     `json:"epoch_changes"`
	Redelivered     int     `json:"redelivered"` // delivered again and ignored because of the cursor
}

// Percentiles summarizes a set of times in milliseconds.
type Percentiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// newReport summarizes a run. Latencies exclude requests that started before
// measureFrom.
func newReport(measureFrom time.Time, elapsed time.Duration, records Records) Report {
	report := Report{Seconds: elapsed.Seconds(), Records: records, Callers: []MixReport{}, Trainers: []TrainerReport{}}
	mixes := make(map[string][]Attempt)
	for _, attempt := range records.Attempts {
		name := className(attempt.Class) + "\x00" + attempt.Mix
		mixes[name] = append(mixes[name], attempt)
	}
	names := make([]string, 0, len(mixes))
	for name := range mixes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		report.Callers = append(report.Callers, reportMix(mixes[name], measureFrom))
	}
	for _, stats := range records.Trainers {
		report.Trainers = append(report.Trainers, reportTrainer(stats, records.Deliveries))
	}
	slices.SortFunc(report.Trainers, func(a, b TrainerReport) int { return strings.Compare(a.Trainer, b.Trainer) })
	return report
}

func className(class declare.Class) string {
	switch class {
	case declare.ClassInteractive:
		return "interactive"
	case declare.ClassBatch:
		return "batch"
	case declare.ClassTraining:
		return "training"
	}
	return fmt.Sprint(int(class))
}

func reportMix(attempts []Attempt, measureFrom time.Time) MixReport {
	report := MixReport{Mix: attempts[0].Mix, Class: className(attempts[0].Class), Attempts: len(attempts), Refusals: map[string]int{}}
	firstStart := make(map[string]time.Time) // start of a request's first attempt
	responses := make(map[string]Attempt)    // first response to a request
	for _, a := range attempts {
		id := a.RequestID + a.Key
		if start, ok := firstStart[id]; !ok || a.Start.Before(start) {
			firstStart[id] = a.Start
		}
		switch {
		case a.Result == ResultAnswered:
			if earlier, ok := responses[id]; !ok || a.End.Before(earlier.End) {
				responses[id] = a
			}
		case a.Result == ResultRefused:
			report.Refusals[a.Outcome+"/"+a.Reason]++
		case a.Last:
			report.Unanswered++
		}
	}
	report.Requests, report.Answered = len(firstStart), len(responses)
	var latencies, firstTokens []time.Duration
	for id, a := range responses {
		if firstStart[id].Before(measureFrom) {
			continue
		}
		latencies = append(latencies, a.End.Sub(firstStart[id]))
		if !a.FirstToken.IsZero() {
			firstTokens = append(firstTokens, a.FirstToken.Sub(firstStart[id]))
		}
	}
	report.Latency, report.FirstToken = percentiles(latencies), percentiles(firstTokens)
	return report
}

func reportTrainer(stats TrainerStats, deliveries []Delivery) TrainerReport {
	report := TrainerReport{
		Trainer: stats.Trainer, Steps: stats.Steps, Lost: stats.Lost, Outstanding: stats.Outstanding,
		EpochChanges: stats.EpochChanges, Redelivered: stats.Redelivered,
	}
	if stats.Total > 0 {
		report.IdleShare = stats.Idle.Seconds() / stats.Total.Seconds()
	}
	if steady := stats.Total - stats.FirstStepIdle; steady > 0 {
		report.SteadyIdleShare = (stats.Idle - stats.FirstStepIdle).Seconds() / steady.Seconds()
	}
	seen := make(map[string]bool)
	var staleness []int64
	var sum int64
	for _, d := range deliveries {
		if d.Trainer != stats.Trainer {
			continue
		}
		report.Groups++
		if d.AlreadyAccepted {
			report.Duplicates++
		}
		for _, sample := range d.Samples {
			if seen[sample.ID] {
				report.Duplicates++
			}
			seen[sample.ID] = true
			report.Samples++
			stale := sample.Staleness(d.NewestVersion)
			if stale > d.StalenessBound {
				report.OverBound++
			}
			staleness = append(staleness, stale)
			sum += stale
		}
	}
	if len(staleness) > 0 {
		slices.Sort(staleness)
		report.StalenessMean = float64(sum) / float64(len(staleness))
		report.StalenessP99 = staleness[rank(len(staleness), 0.99)]
	}
	return report
}

// Staleness returns how many versions the sample is behind newest. A sample that
// names no version counts as produced by version 0.
func (s Sample) Staleness(newest int64) int64 {
	if len(s.Versions) == 0 {
		return newest
	}
	return max(0, newest-slices.Min(s.Versions))
}

// rank returns the index of a percentile in a sorted list of n values.
func rank(n int, share float64) int {
	return max(0, min(n-1, int(float64(n)*share+0.9999)-1))
}

func percentiles(times []time.Duration) Percentiles {
	if len(times) == 0 {
		return Percentiles{}
	}
	slices.Sort(times)
	at := func(share float64) float64 { return float64(times[rank(len(times), share)].Microseconds()) / 1000 }
	return Percentiles{Count: len(times), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: at(1)}
}

// WriteTable writes the report as text tables.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("mix\tclass\trequests\tanswered\tunanswered\tattempts\tp50 ms\tp95 ms\tp99 ms\tfirst p50 ms\tfirst p99 ms\trefusals")
	for _, c := range r.Callers {
		row("%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s", c.Mix, c.Class, c.Requests, c.Answered, c.Unanswered,
			c.Attempts, c.Latency.P50, c.Latency.P95, c.Latency.P99, c.FirstToken.P50, c.FirstToken.P99, refusalText(c.Refusals))
	}
	row("")
	row("trainer\tsteps\tgroups\tsamples\tidle %%\tsteady idle %%\tstaleness mean\tp99\tover bound\tduplicates\tlost\toutstanding\tepoch changes\tredelivered")
	for _, t := range r.Trainers {
		row("%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d", t.Trainer, t.Steps, t.Groups, t.Samples, 100*t.IdleShare, 100*t.SteadyIdleShare,
			t.StalenessMean, t.StalenessP99, t.OverBound, t.Duplicates, t.Lost, t.Outstanding, t.EpochChanges, t.Redelivered)
	}
	return table.Flush()
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func refusalText(refusals map[string]int) string {
	parts := make([]string, 0, len(refusals))
	for reason, n := range refusals {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
