// Package inifile parses INI files and records the line of each section and key,
// so that findings can refer to them.
package inifile

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sesamestand/sesamestand/internal/finding"
)

// Value is the value of a key with its line number.
type Value struct {
	Text string
	Line int
}

// Section is one section of a file with its location.
type Section struct {
	File   string
	Line   int
	Header string // text between the brackets
	Values map[string]Value
}

// Parse returns the sections of a file in file order. The values come from the INI
// library and the line numbers from a separate scan, because the library does not
// provide them. Problems are added to findings. A file with text that the library
// might misinterpret yields no sections.
func Parse(path, content string, findings *finding.List) []*Section {
	lineScanner := &scanner{path: path, findings: findings, headerLines: make(map[string]int), valid: true}
	lineScanner.scan(strings.TrimPrefix(content, "\ufeff"))
	if !lineScanner.valid {
		return nil
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(content))
	if err != nil {
		findings.Add(path, 0, "file", "is not valid INI: %v", err)
		return nil
	}
	for _, s := range lineScanner.sections {
		parsed, err := file.GetSection(s.Header)
		if err != nil {
			findings.Add(path, s.Line, s.Header, "section could not be read: %v", err)
			continue
		}
		for key, position := range s.Values {
			// rawValue is used because ini.Key.String would expand %(name)s references.
			s.Values[key] = Value{Text: strings.TrimSpace(rawValue(parsed, key)), Line: position.Line}
		}
	}
	return lineScanner.sections
}

func rawValue(s *ini.Section, key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

// scanner records the line number of each section and key. It reports text that
// the INI library would merge, drop or read as a multi-line value.
type scanner struct {
	path        string
	findings    *finding.List
	headerLines map[string]int // line number by section header
	sections    []*Section
	current     *Section
	valid       bool
}

func (s *scanner) scan(content string) {
	lineNumber := 0
	for raw := range strings.SplitSeq(content, "\n") {
		lineNumber++
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			s.scanHeader(lineNumber, line)
		default:
			s.scanKey(lineNumber, line)
		}
	}
}

func (s *scanner) report(line int, key, format string, args ...any) {
	s.findings.Add(s.path, line, key, format, args...)
	s.valid = false
}

func (s *scanner) scanHeader(lineNumber int, line string) {
	header, closed := strings.CutSuffix(line[1:], "]")
	words := strings.Fields(header)
	if !closed || len(words) == 0 || strings.Join(words, " ") != header {
		s.report(lineNumber, line, "section header must be [KIND] or [KIND NAME] with one space")
		// The keys that follow are checked but belong to no section.
		s.current = &Section{Values: make(map[string]Value)}
		return
	}
	if first, duplicate := s.headerLines[header]; duplicate {
		s.report(lineNumber, header, "section is already on line %d", first)
	}
	s.headerLines[header] = lineNumber
	s.current = &Section{File: s.path, Line: lineNumber, Header: header, Values: make(map[string]Value)}
	s.sections = append(s.sections, s.current)
}

func (s *scanner) scanKey(lineNumber int, line string) {
	key, text, found := strings.Cut(line, "=")
	key, text = strings.TrimSpace(key), strings.TrimSpace(text)
	switch {
	case !found || key == "" || strings.ContainsAny(key, "\"`"):
		// The line is not quoted, because it may hold a secret.
		s.report(lineNumber, "line", "must be a comment, a section or KEY = VALUE")
	case s.current == nil:
		s.report(lineNumber, key, "key stands before the first section")
	case strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"""`):
		s.report(lineNumber, key, "values over several lines are not supported")
	default:
		if earlier, duplicate := s.current.Values[key]; duplicate {
			s.report(lineNumber, key, "key is already set on line %d", earlier.Line)
		}
		s.current.Values[key] = Value{Line: lineNumber}
	}
}
