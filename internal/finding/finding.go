// Package finding collects problems in operators' files with their locations, so
// that all problems are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem at one location. Line is 1-based; 0 means the whole file.
type Finding struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// String formats the finding as "file:line: key: reason".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// List collects findings. The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add adds a finding whose reason is formatted as by fmt.Sprintf.
func (l *List) Add(file string, line int, key, format string, args ...any) {
	l.findings = append(l.findings, Finding{File: file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Append adds all findings in other.
func (l *List) Append(other []Finding) {
	l.findings = append(l.findings, other...)
}

// All returns the findings ordered by file and line.
func (l *List) All() []Finding {
	sort.SliceStable(l.findings, func(i, j int) bool {
		a, b := l.findings[i], l.findings[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return l.findings
}

// Err returns nil if the list is empty and an *Error with all findings otherwise.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error reports a non-empty list of findings.
type Error struct {
	Findings []Finding
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
