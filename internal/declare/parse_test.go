package declare

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func findingsOf(t *testing.T, files map[string]string) []string {
	t.Helper()
	_, findings := ParseFiles(files)
	var lines []string
	for _, f := range findings.All() {
		lines = append(lines, f.String())
	}
	return lines
}

// Guards against examples that no longer parse and against idle_weight values that
// were swapped between the two examples.
func TestExamplesAreValid(t *testing.T) {
	for dir, replicas := range map[string]int{"association": 15, "lin": 12} {
		set, files, findings := ParseDir("../../examples/" + dir)
		must.NoError(t, findings.Err())
		must.Greater(t, 3, len(files))
		total := 0
		for _, m := range set.Models {
			total += m.totalReplicas()
			must.MapLen(t, 3, m.Replicas)
		}
		must.Eq(t, replicas, total)
		must.MapLen(t, 3, set.Trainers)
		for _, trainer := range set.Trainers {
			must.Eq(t, dir == "association", trainer.IdleWeight > 0.5)
		}
	}
	set, _, _ := ParseDir("../../examples/lin")
	must.Eq(t, &Service{Name: "orders", Timeout: 5 * time.Second}, set.Services["orders"])
}

// Guards against findings without a location and against stopping at the first one.
func TestAllFindingsAreReportedWithLocation(t *testing.T) {
	got := findingsOf(t, map[string]string{
		"a.ini": "[model m]\nreplicas = x:1, x:2\nmax_tokens = 0\ncolour = red\n[engine e]\n",
		"b.ini": "\n[model m]\nreplicas = x:1\n[trainer t]\nmodel = absent\nidle_weight = NaN\nscorer = gone\n",
		"c.ini": "[need n]\nmodel = m\nmin_replicas = 2\nfirst_token = soon\n[service s]\nclass = fast\nrepeatable_paths = score\n",
	})
	must.Eq(t, []string{
		"a.ini:2: replicas: data centre x is given twice",
		`a.ini:3: max_tokens: must be a whole number from 1 to 1048576, not "0"`,
		"a.ini:4: colour: is not a key of a model",
		"a.ini:5: engine e: section must be model, trainer, service, need or workspace",
		"b.ini:2: model m: is already declared at a.ini:1",
		"b.ini:5: model: model absent is not declared",
		`b.ini:6: idle_weight: must be a number from 0 to 1, not "NaN"`,
		"b.ini:7: scorer: service gone is not declared",
		"c.ini:3: min_replicas: all needs of model m ask for 2 replicas, it has 1",
		`c.ini:4: first_token: must be a duration from 1ms to 10m0s, not "soon"`,
		`c.ini:6: class: must be interactive, batch or training, not "fast"`,
		`c.ini:7: repeatable_paths: must hold absolute path prefixes without ".." or "//", not "score"`,
	}, got)
}

// Guards against text that the INI library would silently merge or drop.
func TestDuplicatesInOneFileAreReported(t *testing.T) {
	got := findingsOf(t, map[string]string{
		"a.ini": "stray = 1\n[service s]\ntimeout = 1s\ntimeout = 2s\n[service s]\njunk\n[service  two]\n",
	})
	must.Eq(t, []string{
		"a.ini:1: stray: key stands before the first section",
		"a.ini:4: timeout: key is already set on line 3",
		"a.ini:5: service s: section is already on line 2",
		"a.ini:6: line: must be a comment, a section or KEY = VALUE",
		"a.ini:7: [service  two]: section header must be [KIND] or [KIND NAME] with one space",
	}, got)
}

// Guards against panics and against results that depend on map order or on
// previously parsed files.
func FuzzParseFiles(f *testing.F) {
	f.Add("[model m]\nreplicas = a:1, b:2\n")
	f.Add("[trainer t]\nmodel = m\nshare = 1e3 ; comment\n")
	f.Add("[service s]\ntimeout = 250ms\nrepeatable_paths = /a, /b\n")
	f.Add("[DEFAULT]\nx = %(x)s\n[a.b c]\n\"\"\"\n")
	f.Add("[need n]\nmodel = `m\n")
	f.Fuzz(func(t *testing.T, content string) {
		files := map[string]string{"a.ini": content, "b.ini": "[model m]\nreplicas = a:1\n"}
		first, firstFindings := ParseFiles(files)
		parser := NewParser() // parses a.ini with different content first
		parser.Parse(map[string]string{"a.ini": files["b.ini"], "b.ini": files["b.ini"], "c.ini": content})
		second, secondFindings := parser.Parse(files)
		must.Eq(t, firstFindings.All(), secondFindings.All())
		if firstFindings.Err() == nil {
			must.Eq(t, first, second)
		}
	})
}
