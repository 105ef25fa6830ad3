// Package checker verifies the promises P1 to P9 of the design page, and its
// rules on orders to engines, from what
// callers, trainers and the stand-ins of outside systems recorded. It reads
// nothing from the entry hosts, so that a fault there cannot hide itself.
package checker

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/hostsd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
)

// Facts is what was recorded outside the entry hosts in one run. The stand-in
// of an engine or service has to bear the ID of its row in the host list.
type Facts struct {
	Load     load.Records
	Engines  []engined.Journal
	Services []serviced.Call
	Hosts    []hostsd.Change
	Drains   []Drain
	// Publications are changes of the configuration that the log accepted.
	Publications []Publication
	// PinnedModels lists models that a configuration pinned to a version in the run.
	PinnedModels []string
	LeaveGrace   time.Duration // 0 means 5 s after the row became visible
	ConfigGrace  time.Duration // 0 means 10 s after the publication
}

// Drain is a graceful shutdown of one entry host.
type Drain struct {
	Entry string // HTTP address
	Start time.Time
	End   time.Time // when the process had ended
}

// Publication is an accepted change that adds or removes a plain service,
// which probes can see from outside.
type Publication struct {
	Service string
	At      time.Time
	Removed bool
}

const (
	defaultLeaveGrace  = 5 * time.Second
	defaultConfigGrace = 10 * time.Second
	maxExamples        = 5
)

// Verdict is the verdict on one promise.
type Verdict struct {
	ID         string   `json:"id"`
	Text       string   `json:"text"`
	Checked    int      `json:"checked"`
	Violations int      `json:"broken"`
	Examples   []string `json:"examples,omitempty"` // descriptions of the first broken facts
}

// Result holds the verdicts in order of the promises. Orders holds those on
// rules O1 and O2, which the design sets for orders to engines.
type Result struct {
	Verdicts      []Verdict `json:"promises"`
	OrderVerdicts []Verdict `json:"orders"`
}

// Check verifies all promises.
func Check(facts Facts) Result {
	if facts.LeaveGrace == 0 {
		facts.LeaveGrace = defaultLeaveGrace
	}
	if facts.ConfigGrace == 0 {
		facts.ConfigGrace = defaultConfigGrace
	}
	c := newCheck(facts)
	return Result{Verdicts: []Verdict{
		c.versions(), c.staleness(), c.once(), c.whole(), c.notRun(),
		c.atMostOnce(), c.leaving(), c.drains(), c.configuration(),
	}, OrderVerdicts: []Verdict{c.rollback(), c.oneHolder()}}
}

// Violations returns the number of broken facts of all promises and rules.
func (r Result) Violations() int {
	broken := 0
	for _, p := range r.all() {
		broken += p.Violations
	}
	return broken
}

func (r Result) all() []Verdict { return append(slices.Clone(r.Verdicts), r.OrderVerdicts...) }

// Verdict returns the verdict on the promise "P1" to "P9" or rule "O1" or "O2".
func (r Result) Verdict(id string) Verdict {
	for _, p := range r.all() {
		if p.ID == id {
			return p
		}
	}
	return Verdict{}
}

// WriteTable writes the verdicts for people.
func (r Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "promise\tchecked\tbroken\t")
	for _, p := range r.all() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", p.ID, p.Checked, p.Violations, p.Text)
		for _, example := range p.Examples {
			_, _ = fmt.Fprintf(table, "\t\t\t- %s\n", example)
		}
	}
	return table.Flush()
}

// fact counts one fact and describes it when it is broken.
func (p *Verdict) fact(holds bool, format string, args ...any) {
	p.Checked++
	if holds {
		return
	}
	p.Violations++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, fmt.Sprintf(format, args...))
	}
}

// check holds the facts with the indexes that several promises need.
type check struct {
	Facts
	requests []engined.RequestEntry            // of all engines
	answers  map[string][]engined.RequestEntry // by answer tag, those that ran
	calls    map[string][]serviced.Call        // by key, or else request ID, those that ran
	attempts map[string][]load.Attempt         // by request ID or key
	ids      []string                          // keys of attempts in order of first appearance
}

func newCheck(facts Facts) *check {
	c := &check{
		Facts:    facts,
		answers:  make(map[string][]engined.RequestEntry),
		calls:    make(map[string][]serviced.Call),
		attempts: make(map[string][]load.Attempt),
	}
	for _, journal := range facts.Engines {
		for _, entry := range journal.Requests {
			c.requests = append(c.requests, entry)
			if entry.Outcome != engined.OutcomeRefused {
				c.answers[entry.AnswerTag] = append(c.answers[entry.AnswerTag], entry)
			}
		}
	}
	for _, call := range facts.Services {
		id := call.Key
		if id == "" {
			id = call.RequestID
		}
		if call.Ran && id != "" {
			c.calls[id] = append(c.calls[id], call)
		}
	}
	for _, attempt := range facts.Load.Attempts {
		id := attempt.RequestID + attempt.Key
		if len(c.attempts[id]) == 0 {
			c.ids = append(c.ids, id)
		}
		c.attempts[id] = append(c.attempts[id], attempt)
	}
	return c
}
