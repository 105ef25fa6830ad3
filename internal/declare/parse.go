package declare

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sesamestand/sesamestand/internal/finding"
	"github.com/sesamestand/sesamestand/internal/inifile"
)

// fileSuffix identifies declaration files; other files in the directory are ignored.
const fileSuffix = ".ini"

// Size limits of declarations. All files of a set together must fit into one log
// record and into one gRPC message, whose default limit is 4 MiB.
const (
	maxFileBytes = 64 << 10
	maxSetBytes  = 2 << 20
)

// ParseDir reads and parses all declaration files below dir. The map holds the
// content of each file by its slash-separated path relative to dir.
func ParseDir(dir string) (*Set, map[string]string, *finding.List) {
	files := make(map[string]string)
	var unreadable []finding.Finding
	addUnreadable := func(path string, err error) {
		unreadable = append(unreadable, finding.Finding{File: path, Key: "file", Reason: "cannot be read: " + err.Error()})
	}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			addUnreadable(path, err)
			return nil
		}
		if entry.IsDir() || !strings.HasSuffix(path, fileSuffix) {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			addUnreadable(path, err)
			return nil
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			addUnreadable(path, err)
			return nil
		}
		files[filepath.ToSlash(relative)] = string(content)
		return nil
	})
	if err != nil {
		addUnreadable(dir, err)
	}
	set, findings := ParseFiles(files)
	findings.Append(unreadable)
	if len(files) == 0 && len(unreadable) == 0 {
		findings.Add(dir, 0, "directory", "holds no declaration file (*%s)", fileSuffix)
	}
	return set, files, findings
}

// ParseFiles parses and checks declaration files; files maps paths to contents.
// The result is a pure function of files. The set holds all sections that could
// be parsed and must only be used when there are no findings.
func ParseFiles(files map[string]string) (*Set, *finding.List) {
	return NewParser().Parse(files)
}

// Parser parses successive sets of files. It caches the sections of each file,
// because a configuration change usually modifies only a few files. It is not
// safe for concurrent use.
type Parser struct {
	files map[string]parsedFile
}

type parsedFile struct {
	content  string
	sections []*inifile.Section
	findings []finding.Finding
}

// NewParser returns a parser with an empty cache.
func NewParser() *Parser { return &Parser{files: make(map[string]parsedFile)} }

// Parse returns the same result as ParseFiles.
func (p *Parser) Parse(files map[string]string) (*Set, *finding.List) {
	findings := &finding.List{}
	c := &collector{
		set: &Set{
			Models:   make(map[string]*Model),
			Trainers: make(map[string]*Trainer),
			Services: make(map[string]*Service),
			Needs:    make(map[string]*Need),
		},
		sections: make(map[string]*inifile.Section),
		findings: findings,
	}
	total := 0
	for _, path := range sortedKeys(files) {
		total += len(path) + len(files[path])
		if len(files[path]) > maxFileBytes {
			findings.Add(path, 0, "file", "is over %d bytes", maxFileBytes)
			continue
		}
		parsed := p.parseFile(path, files[path])
		findings.Append(parsed.findings)
		for _, s := range parsed.sections {
			c.addSection(s)
		}
	}
	for path := range p.files {
		if _, ok := files[path]; !ok {
			delete(p.files, path)
		}
	}
	if total > maxSetBytes {
		findings.Add("", 0, "files", "all files together are over %d bytes", maxSetBytes)
	}
	c.checkReferences()
	return c.set, findings
}

func (p *Parser) parseFile(path, content string) parsedFile {
	parsed, ok := p.files[path]
	if !ok || parsed.content != content {
		var findings finding.List
		parsed = parsedFile{content: content, sections: inifile.Parse(path, content, &findings)}
		parsed.findings = findings.All()
		p.files[path] = parsed
	}
	return parsed
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
