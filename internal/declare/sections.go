package declare

import (
	"math"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/finding"
	"github.com/sesamestand/sesamestand/internal/inifile"
)

// Limits of declared values.
const (
	// maxReplicasPerDataCentre is the design's limit for all data centres together
	// (section 1.6 of the design). It is checked for each data centre only.
	maxReplicasPerDataCentre = 12000
	maxTokensLimit           = 1 << 20
	maxGroupSize             = 1024
	maxStalenessBound        = 1 << 20
	maxShare                 = 1000
)

// Defaults of optional keys.
const (
	defaultMaxTokens      = 1024
	defaultMinServing     = 0.5
	defaultStalenessBound = 4
	defaultGroupSize      = 8
	defaultIdleWeight     = 0.5
	defaultServiceTimeout = 10 * time.Second
	defaultTargetTTFT     = time.Second
)

// collector builds a set from sections and reports conflicts between sections.
type collector struct {
	set      *Set
	sections map[string]*inifile.Section // first section with each header
	findings *finding.List
	// workspaces has the declared workspaces in the order of their sections.
	workspaces []workspace.Declared
}

func (c *collector) addSection(s *inifile.Section) {
	decode, ok := map[string]func(*sectionReader, string){
		"model":   c.decodeModel,
		"trainer": c.decodeTrainer,
		"service": c.decodeService,
		"need":    c.decodeNeed,

		kindWorkspace: c.decodeWorkspace,
	}[kindOf(s)]
	if !ok {
		c.findings.Add(s.File, s.Line, s.Header, "section must be model, trainer, service, need or workspace")
		return
	}
	if !namePattern.MatchString(nameOf(s)) {
		c.findings.Add(s.File, s.Line, s.Header, "name must consist of a-z, 0-9 and '-' and begin with a letter")
		return
	}
	if first, duplicate := c.sections[s.Header]; duplicate {
		if first.File != s.File { // inifile reports duplicates within one file
			c.findings.Add(s.File, s.Line, s.Header, "is already declared at %s:%d", first.File, first.Line)
		}
		return
	}
	c.sections[s.Header] = s
	r := newSectionReader(s, c.findings)
	decode(r, nameOf(s))
	r.reportUnknownKeys()
}

func (c *collector) decodeModel(r *sectionReader, name string) {
	m := &Model{
		Name:           name,
		Replicas:       r.replicas("replicas", maxReplicasPerDataCentre),
		FencingChecked: r.boolean("fencing_checked", false),
		MaxTokens:      int(r.integer("max_tokens", defaultMaxTokens, 1, maxTokensLimit)),
		MinServing:     r.number("min_serving", defaultMinServing, 0, 0.99),
		PinnedVersion:  r.integer("pinned_version", 0, 0, math.MaxInt64),
		Adapters:       r.list("adapters"),
		Public:         r.boolean("public", false),
	}
	for _, adapter := range m.Adapters {
		if !namePattern.MatchString(adapter) {
			r.report("adapters", "must hold names of a-z, 0-9 and '-', not %q", adapter)
		}
	}
	c.set.Models[name] = m
}

func (c *collector) decodeTrainer(r *sectionReader, name string) {
	c.set.Trainers[name] = &Trainer{
		Name:           name,
		Model:          r.name("model", true),
		Share:          r.number("share", 1, 0.001, maxShare),
		StalenessBound: r.integer("staleness_bound", defaultStalenessBound, 0, maxStalenessBound),
		GroupSize:      int(r.integer("group_size", defaultGroupSize, 1, maxGroupSize)),
		Surplus:        int(r.integer("surplus", 0, 0, maxGroupSize)),
		IdleWeight:     r.number("idle_weight", defaultIdleWeight, 0, 1),
		Scorer:         r.name("scorer", false),
		ScoreRequired:  r.boolean("score_required", false),
		MaxTokens:      int(r.integer("max_tokens", 0, 1, maxTokensLimit)),
		Workspace:      r.name("workspace", false),
		Public:         r.boolean("public", false),
	}
}

func (c *collector) decodeService(r *sectionReader, name string) {
	s := &Service{
		Name:            name,
		Class:           r.class("class", ClassInteractive),
		RepeatablePaths: r.list("repeatable_paths"),
		Timeout:         r.duration("timeout", defaultServiceTimeout, time.Millisecond, 10*time.Minute),
		Public:          r.boolean("public", false),
	}
	for _, path := range s.RepeatablePaths {
		if !strings.HasPrefix(path, "/") || strings.Contains(path, "..") || strings.Contains(path, "//") {
			r.report("repeatable_paths", "must hold absolute path prefixes without \"..\" or \"//\", not %q", path)
		}
	}
	c.set.Services[name] = s
}

func (c *collector) decodeNeed(r *sectionReader, name string) {
	c.set.Needs[name] = &Need{
		Name:        name,
		Model:       r.name("model", true),
		Class:       r.class("class", ClassInteractive),
		MinReplicas: int(r.integer("min_replicas", 1, 0, maxReplicasPerDataCentre)),
		TargetTTFT:  r.duration("first_token", defaultTargetTTFT, time.Millisecond, 10*time.Minute),
	}
}

// reportAt reports a finding about a key of a section that was added before.
func (c *collector) reportAt(header, key, format string, args ...any) {
	newSectionReader(c.sections[header], c.findings).report(key, format, args...)
}

// checkReferences checks the constraints that depend on several sections, such as
// references between them. It is called after all sections were added.
func (c *collector) checkReferences() {
	c.checkWorkspaces()
	for _, name := range sortedKeys(c.set.Models) {
		if m := c.set.Models[name]; len(m.Replicas) > 0 && m.totalReplicas() == 0 {
			c.reportAt("model "+name, "replicas", "must name at least one replica")
		}
	}
	for _, name := range sortedKeys(c.set.Trainers) {
		c.checkTrainer("trainer "+name, c.set.Trainers[name])
	}
	requiredReplicas := make(map[string]int)
	for _, name := range sortedKeys(c.set.Needs) {
		need, header := c.set.Needs[name], "need "+name
		model, ok := c.set.Models[need.Model]
		if !ok {
			if need.Model != "" {
				c.reportAt(header, "model", "model %s is not declared", need.Model)
			}
			continue
		}
		requiredReplicas[need.Model] += need.MinReplicas
		if requiredReplicas[need.Model] > model.totalReplicas() {
			c.reportAt(header, "min_replicas", "all needs of model %s ask for %d replicas, it has %d",
				need.Model, requiredReplicas[need.Model], model.totalReplicas())
		}
	}
}

func (c *collector) checkTrainer(header string, t *Trainer) {
	model, ok := c.set.Models[t.Model]
	switch {
	case !ok && t.Model != "":
		c.reportAt(header, "model", "model %s is not declared", t.Model)
	case ok && t.MaxTokens == 0:
		t.MaxTokens = model.MaxTokens
	case ok && t.MaxTokens > model.MaxTokens:
		c.reportAt(header, "max_tokens", "is over the %d of model %s", model.MaxTokens, t.Model)
	}
	if _, ok := c.set.Services[t.Scorer]; t.Scorer != "" && !ok {
		c.reportAt(header, "scorer", "service %s is not declared", t.Scorer)
	}
	if t.ScoreRequired && t.Scorer == "" {
		c.reportAt(header, "score_required", "needs a scorer")
	}
	c.checkTrainerWorkspace(header, t)
}

func (m *Model) totalReplicas() int {
	sum := 0
	for _, n := range m.Replicas {
		sum += n
	}
	return sum
}

// kindOf returns the first word of a section's header.
func kindOf(s *inifile.Section) string {
	kind, _, _ := strings.Cut(s.Header, " ")
	return kind
}

// nameOf returns a section's header without its first word.
func nameOf(s *inifile.Section) string {
	_, name, _ := strings.Cut(s.Header, " ")
	return name
}
