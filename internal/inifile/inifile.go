// Package inifile reads INI files and keeps the line of each section and key,
// so that findings can name their place.
package inifile

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sesamestand/sesamestand/internal/finding"
)

// Value is one key's text with its place.
type Value struct {
	Text string
	Line int
}

// Section is one section of a file with the place of each key.
type Section struct {
	File   string
	Line   int
	Header string // text between the brackets
	Values map[string]Value
}

// Parse splits a file into sections in file order. The INI library reads the
// values; the lines come from a scan of the text, because the library does not
// keep them. Problems are added to findings; a file with text that cannot be
// read reliably yields no sections.
func Parse(path, content string, findings *finding.List) []*Section {
	scan := &scanner{path: path, findings: findings, seen: make(map[string]int), ok: true}
	scan.run(strings.TrimPrefix(content, "\ufeff"))
	if !scan.ok {
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
	for _, s := range scan.sections {
		parsed, err := file.GetSection(s.Header)
		if err != nil {
			findings.Add(path, s.Line, s.Header, "section could not be read: %v", err)
			continue
		}
		for key, place := range s.Values {
			// Value returns the raw text: String would expand %(name)s references.
			s.Values[key] = Value{Text: strings.TrimSpace(rawValue(parsed, key)), Line: place.Line}
		}
	}
	return scan.sections
}

func rawValue(s *ini.Section, key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

// scanner records the line of each section and key and reports text that the
// INI library would merge, drop or read over several lines.
type scanner struct {
	path     string
	findings *finding.List
	seen     map[string]int // line of each section header
	sections []*Section
	current  *Section
	ok       bool
}

func (s *scanner) run(content string) {
	number := 0
	for raw := range strings.SplitSeq(content, "\n") {
		number++
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			s.header(number, line)
		default:
			s.key(number, line)
		}
	}
}

func (s *scanner) report(line int, key, format string, args ...any) {
	s.findings.Add(s.path, line, key, format, args...)
	s.ok = false
}

func (s *scanner) header(number int, line string) {
	header, closed := strings.CutSuffix(line[1:], "]")
	words := strings.Fields(header)
	if !closed || len(words) == 0 || strings.Join(words, " ") != header {
		s.report(number, line, "section header must be [KIND] or [KIND NAME] with one space")
		s.current = &Section{Values: make(map[string]Value)}
		return
	}
	if first, twice := s.seen[header]; twice {
		s.report(number, header, "section is already on line %d", first)
	}
	s.seen[header] = number
	s.current = &Section{File: s.path, Line: number, Header: header, Values: make(map[string]Value)}
	s.sections = append(s.sections, s.current)
}

func (s *scanner) key(number int, line string) {
	key, text, found := strings.Cut(line, "=")
	key, text = strings.TrimSpace(key), strings.TrimSpace(text)
	switch {
	case !found || key == "" || strings.ContainsAny(key, "\"`"):
		s.report(number, line, "line must be a comment, a section or KEY = VALUE")
	case s.current == nil:
		s.report(number, key, "key stands before the first section")
	case strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"""`):
		s.report(number, key, "values over several lines are not supported")
	default:
		if earlier, twice := s.current.Values[key]; twice {
			s.report(number, key, "key is already set on line %d", earlier.Line)
		}
		s.current.Values[key] = Value{Line: number}
	}
}
