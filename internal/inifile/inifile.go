// Package inifile reads INI files and keeps the line of each section and key,
// so that findings can name their place.
package inifile

import (
	"bufio"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sesamestand/sesamestand/internal/finding"
)

// Section is one section of a file in file order.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is one key with its value.
type Key struct {
	Name  string
	Value string
	Line  int
}

// place identifies a key by its section's name and its own.
type place struct{ section, key string }

// Parse reads content. Syntax errors, repeated sections and repeated keys are
// added to findings; what could be read is returned all the same.
func Parse(file string, content []byte, findings *finding.List) []Section {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     false,
		SkipUnrecognizableLines: false,
		Loose:                   false,
	}, content)
	if err != nil {
		findings.Add(file, 0, "syntax", "%s", strings.TrimSpace(err.Error()))
		return nil
	}
	lines := locate(file, content, findings)
	var sections []Section
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		section := Section{Name: s.Name(), Line: lines[place{section: s.Name()}]}
		for _, k := range s.Keys() {
			section.Keys = append(section.Keys, Key{
				Name:  k.Name(),
				Value: k.String(),
				Line:  lines[place{section: s.Name(), key: k.Name()}],
			})
		}
		sections = append(sections, section)
	}
	return sections
}

// locate returns the line of every section and key. gopkg.in/ini.v1 merges
// repeated sections and keys without a word, so they are reported here.
func locate(file string, content []byte, findings *finding.List) map[place]int {
	lines := make(map[place]int)
	section := ini.DefaultSection
	scanner := bufio.NewScanner(strings.NewReader(string(content)))
	for number := 1; scanner.Scan(); number++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		p := place{}
		if text[0] == '[' {
			name, _, _ := strings.Cut(text[1:], "]")
			section = strings.TrimSpace(name)
			p = place{section: section}
		} else {
			p = place{section: section, key: keyName(text)}
		}
		if _, seen := lines[p]; seen {
			findings.Add(file, number, p.describe(), "is given twice")
			continue
		}
		lines[p] = number
	}
	return lines
}

func (p place) describe() string {
	if p.key == "" {
		return "[" + p.section + "]"
	}
	return p.key
}

func keyName(line string) string {
	if i := strings.IndexAny(line, "=:"); i >= 0 {
		line = line[:i]
	}
	return strings.Trim(strings.TrimSpace(line), "`\"")
}
