// Package checker verifies the promises P1 to P9 of the design document, its rules O1
// and O2 on orders to engines, and rule L1 on rate limits. It uses only what callers,
// trainers and the stand-ins of external systems recorded, and no data of the entry
// hosts, so that a fault in an entry host cannot hide itself.
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

// Facts is what was recorded outside the entry hosts in one run. The stand-in of
// an engine or service must have the same ID as its entry in the host list.
type Facts struct {
	Load     load.Records
	Engines  []engined.Journal
	Services []serviced.Call
	Hosts    []hostsd.Change
	Drains   []Drain
	// Publications lists the configuration changes that the log accepted.
	Publications []Publication
	// PinnedModels lists the models that were pinned to a version during the run.
	PinnedModels []string
	// LeaveGrace is the time for which a leaving backend server may still receive
	// new work after its change in the host list became visible; 0 means 5 s.
	LeaveGrace time.Duration
	// ConfigGrace is the time after a publication in which it must become active on
	// every entry host; 0 means 10 s.
	ConfigGrace time.Duration
}

// Drain is a graceful shutdown of one entry host.
type Drain struct {
	Entry string // HTTP address
	Start time.Time
	End   time.Time // after the process ended
}

// Publication is an accepted configuration change that adds or removes a plain
// service, which probes observe from outside.
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

// Verdict is the result of checking one promise or rule.
type Verdict struct {
	ID         string   `json:"id"`
	Text       string   `json:"text"`
	Checked    int      `json:"checked"`
	Violations int      `json:"broken"`
	Examples   []string `json:"examples,omitempty"` // descriptions of the first violations
}

// Result holds the verdicts on the promises P1 to P9, in OrderVerdicts those on the
// rules O1 and O2 on orders to engines, and in LimitVerdict that on rule L1.
type Result struct {
	Verdicts      []Verdict `json:"promises"`
	OrderVerdicts []Verdict `json:"orders"`
	LimitVerdict  Verdict   `json:"limits"`
}

// Check verifies all promises and rules.
func Check(facts Facts) Result {
	if facts.LeaveGrace == 0 {
		facts.LeaveGrace = defaultLeaveGrace
	}
	if facts.ConfigGrace == 0 {
		facts.ConfigGrace = defaultConfigGrace
	}
	c := newCheck(facts)
	return Result{Verdicts: []Verdict{
		c.checkVersions(), c.checkStaleness(), c.checkDeliveredOnce(), c.checkCompleteness(), c.checkNotRun(),
		c.checkAtMostOnce(), c.checkLeaving(), c.checkDrains(), c.checkConfiguration(),
	}, OrderVerdicts: []Verdict{c.checkRollback(), c.checkFencing()}, LimitVerdict: c.checkLimits()}
}

// Violations returns the number of violations of all promises and rules.
func (r Result) Violations() int {
	total := 0
	for _, p := range r.all() {
		total += p.Violations
	}
	return total
}

func (r Result) all() []Verdict {
	return append(append(slices.Clone(r.Verdicts), r.OrderVerdicts...), r.LimitVerdict)
}

// Verdict returns the verdict on the promise "P1" to "P9" or rule "O1", "O2" or "L1".
func (r Result) Verdict(id string) Verdict {
	for _, p := range r.all() {
		if p.ID == id {
			return p
		}
	}
	return Verdict{}
}

// WriteTable writes the verdicts as a text table.
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

// record counts one check. If the check failed, record also counts a violation and
// adds its formatted description to Examples, up to maxExamples in total.
func (v *Verdict) record(holds bool, format string, args ...any) {
	v.Checked++
	if holds {
		return
	}
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// check holds the facts of a run and indexes of them that several checks use.
type check struct {
	Facts
	requests      []engined.RequestEntry            // of all engines
	requestsByTag map[string][]engined.RequestEntry // requests that ran, by answer tag
	callsByID     map[string][]serviced.Call        // calls that ran, by idempotency key or else request ID
	attemptsByID  map[string][]load.Attempt         // by request ID or idempotency key
	ids           []string                          // keys of attemptsByID in order of their first attempts
}

func newCheck(facts Facts) *check {
	c := &check{
		Facts:         facts,
		requestsByTag: make(map[string][]engined.RequestEntry),
		callsByID:     make(map[string][]serviced.Call),
		attemptsByID:  make(map[string][]load.Attempt),
	}
	for _, journal := range facts.Engines {
		for _, entry := range journal.Requests {
			c.requests = append(c.requests, entry)
			if entry.Outcome != engined.OutcomeRefused {
				c.requestsByTag[entry.AnswerTag] = append(c.requestsByTag[entry.AnswerTag], entry)
			}
		}
	}
	for _, call := range facts.Services {
		id := call.Key
		if id == "" {
			id = call.RequestID
		}
		if call.Ran && id != "" {
			c.callsByID[id] = append(c.callsByID[id], call)
		}
	}
	for _, attempt := range facts.Load.Attempts {
		id := attempt.RequestID + attempt.Key
		if len(c.attemptsByID[id]) == 0 {
			c.ids = append(c.ids, id)
		}
		c.attemptsByID[id] = append(c.attemptsByID[id], attempt)
	}
	return c
}
