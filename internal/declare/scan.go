package declare

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sesamestand/sesamestand/internal/finding"
)

// value is one key's text with its place.
type value struct {
	text string
	line int
}

// section is one section of a declaration file with the place of each key.
type section struct {
	file   string
	line   int
	kind   string // first word of the header
	name   string // rest of the header
	values map[string]value
}

// scanFile splits a file into sections. The INI library reads the values; the
// lines come from a scan of the text, because the library does not keep them.
func scanFile(path, content string, findings *finding.List) []*section {
	places, ok := scanLines(path, content, findings)
	if !ok {
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
	for _, s := range places {
		parsed, err := file.GetSection(s.header())
		if err != nil {
			findings.Add(path, s.line, s.header(), "section could not be read: %v", err)
			continue
		}
		for key, place := range s.values {
			// Value returns the raw text: String would expand %(name)s references.
			s.values[key] = value{text: strings.TrimSpace(rawValue(parsed, key)), line: place.line}
		}
	}
	return places
}

func rawValue(s *ini.Section, key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

func (s *section) header() string {
	if s.name == "" {
		return s.kind
	}
	return s.kind + " " + s.name
}

// scanLines records the line of each section and key and reports text that the
// INI library would merge, drop or read over several lines.
func scanLines(path, content string, findings *finding.List) (sections []*section, ok bool) {
	var current *section
	seen := make(map[string]int)
	ok = true
	report := func(line int, key, format string, args ...any) {
		findings.Add(path, line, key, format, args...)
		ok = false
	}
	content = strings.TrimPrefix(content, "\ufeff")
	for i, raw := range strings.Split(content, "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			header, closed := strings.CutSuffix(line[1:], "]")
			words := strings.Fields(header)
			if !closed || len(words) == 0 || strings.Join(words, " ") != header {
				report(number, line, "section header must be [KIND NAME] with one space")
				current = &section{values: make(map[string]value)}
				continue
			}
			if first, twice := seen[header]; twice {
				report(number, header, "section is already on line %d", first)
			}
			seen[header] = number
			current = &section{file: path, line: number, kind: words[0], name: strings.Join(words[1:], " "), values: make(map[string]value)}
			sections = append(sections, current)
		default:
			key, text, found := strings.Cut(line, "=")
			key, text = strings.TrimSpace(key), strings.TrimSpace(text)
			switch {
			case !found || key == "" || strings.ContainsAny(key, "\"`"):
				report(number, line, "line must be a comment, a section or KEY = VALUE")
			case current == nil:
				report(number, key, "key stands before the first section")
			case strings.HasPrefix(text, "`") || strings.HasPrefix(text, `"""`):
				report(number, key, "values over several lines are not supported")
			default:
				if earlier, twice := current.values[key]; twice {
					report(number, key, "key is already set on line %d", earlier.line)
				}
				current.values[key] = value{line: number}
			}
		}
	}
	return sections, ok
}
