package declare

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/finding"
	"github.com/sesamestand/sesamestand/internal/inifile"
)

// namePattern matches valid names of declarations and of data centres.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// sectionReader reads the values of one section and reports invalid ones. Each
// read registers its key as known; reportUnknownKeys reports the other keys of
// the section.
type sectionReader struct {
	section   *inifile.Section
	findings  *finding.List
	knownKeys map[string]bool
}

func newSectionReader(s *inifile.Section, findings *finding.List) *sectionReader {
	return &sectionReader{section: s, findings: findings, knownKeys: make(map[string]bool)}
}

func (r *sectionReader) lookup(key string) (inifile.Value, bool) {
	r.knownKeys[key] = true
	v, ok := r.section.Values[key]
	return v, ok
}

func (r *sectionReader) report(key, format string, args ...any) {
	line := r.section.Line
	if v, ok := r.section.Values[key]; ok {
		line = v.Line
	}
	r.findings.Add(r.section.File, line, key, format, args...)
}

func (r *sectionReader) reportUnknownKeys() {
	for _, key := range sortedKeys(r.section.Values) {
		switch kind := kindOf(r.section); {
		case r.knownKeys[key]:
		case kind == kindWorkspace: // the text may be a caller's key
			r.findings.Add(r.section.File, r.section.Values[key].Line, "line", "is not a key of a %s", kind)
		default:
			r.report(key, "is not a key of a %s", kind)
		}
	}
}

// integer reads an integer in [low, high]. It returns def for a missing key.
func (r *sectionReader) integer(key string, def, low, high int64) int64 {
	v, ok := r.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(v.Text, 10, 64)
	if err != nil || n < low || n > high {
		r.report(key, "must be a whole number from %d to %d, not %q", low, high, v.Text)
		return def
	}
	return n
}

// number reads a decimal number in [low, high]. It returns def for a missing key.
func (r *sectionReader) number(key string, def, low, high float64) float64 {
	v, ok := r.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v.Text, 64)
	if err != nil || !(n >= low && n <= high) { // also rejects NaN
		r.report(key, "must be a number from %g to %g, not %q", low, high, v.Text)
		return def
	}
	return n
}

func (r *sectionReader) boolean(key string, def bool) bool {
	v, ok := r.lookup(key)
	if !ok {
		return def
	}
	switch v.Text {
	case "true":
		return true
	case "false":
		return false
	}
	r.report(key, "must be true or false, not %q", v.Text)
	return def
}

func (r *sectionReader) duration(key string, def, low, high time.Duration) time.Duration {
	v, ok := r.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v.Text)
	if err != nil || d < low || d > high {
		r.report(key, "must be a duration from %s to %s, not %q", low, high, v.Text)
		return def
	}
	return d
}

// name reads the name of a declaration. It returns an empty string for a missing
// key, which it reports if required is true.
func (r *sectionReader) name(key string, required bool) string {
	v, ok := r.lookup(key)
	if !ok {
		if required {
			r.report(key, "is missing")
		}
		return ""
	}
	if !namePattern.MatchString(v.Text) {
		r.report(key, "must be a name of a-z, 0-9 and '-', not %q", v.Text)
		return ""
	}
	return v.Text
}

// list reads a comma-separated list.
func (r *sectionReader) list(key string) []string {
	v, ok := r.lookup(key)
	if !ok {
		return nil
	}
	var items []string
	for item := range strings.SplitSeq(v.Text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			r.report(key, "has an empty item")
			continue
		}
		items = append(items, item)
	}
	return items
}

func (r *sectionReader) class(key string, def Class) Class {
	v, ok := r.lookup(key)
	if !ok {
		return def
	}
	class, ok := classes[v.Text]
	if !ok {
		r.report(key, "must be interactive, batch or training, not %q", v.Text)
		return def
	}
	return class
}

var classes = map[string]Class{
	"interactive": ClassInteractive,
	"batch":       ClassBatch,
	"training":    ClassTraining,
}

// replicas reads the number of replicas per data centre, such as "plateau:4, yoff:2".
func (r *sectionReader) replicas(key string, high int) map[string]int {
	counts := make(map[string]int)
	if _, ok := r.lookup(key); !ok {
		r.report(key, "is missing")
		return counts
	}
	for _, item := range r.list(key) {
		dataCentre, text, _ := strings.Cut(item, ":")
		dataCentre, text = strings.TrimSpace(dataCentre), strings.TrimSpace(text)
		n, err := strconv.Atoi(text)
		_, duplicate := counts[dataCentre]
		switch {
		case !namePattern.MatchString(dataCentre):
			r.report(key, "data centre %q must be a name of a-z, 0-9 and '-'", dataCentre)
		case err != nil || n < 0 || n > high:
			r.report(key, "number of replicas in %s must be from 0 to %d, not %q", dataCentre, high, text)
		case duplicate:
			r.report(key, "data centre %s is given twice", dataCentre)
		default:
			counts[dataCentre] = n
		}
	}
	return counts
}
