package declare

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

func hashOf(key string) string { return workspace.HashKey(key).String() }

// Guards against a key that finds no workspace, or that of another one, and against keys
// that are required although nothing declares workspaces.
func TestWorkspacesAreFoundByKey(t *testing.T) {
	set, findings := ParseFiles(map[string]string{
		"a.ini": "[workspace acme]\nkey_hashes = " + hashOf("k1") + ", " + strings.ToUpper(hashOf("k2")) + "\npriority = 3\n",
		"b.ini": "[workspace other]\nkey_hashes = " + hashOf("k3") + "\n[service s]\npublic = true\n",
	})
	must.NoError(t, findings.Err())
	must.True(t, set.Workspaces.Enabled())
	for key, name := range map[string]string{"k1": "acme", "k2": "acme", "k3": "other"} {
		must.EqOp(t, name, set.Workspaces.Lookup(workspace.HashKey(key)).Name)
	}
	must.EqOp(t, 3, set.Workspaces.Named("acme").PriorityOr(7))
	must.EqOp(t, 7, set.Workspaces.Named("other").PriorityOr(7))
	must.True(t, set.Services["s"].Public)
	set, _ = ParseFiles(map[string]string{"b.ini": "[service s]\n"})
	must.False(t, set.Workspaces.Enabled())
}

// Guards against invalid declarations of workspaces that are accepted, findings without a
// location, and findings that quote a key.
func TestFindingsOfWorkspaces(t *testing.T) {
	got := findingsOf(t, map[string]string{
		"a.ini": "[workspace one]\nkey_hashes = " + hashOf("k1") + ", secret-1, secret-1, " + hashOf("") + "\npriority = -1\n[workspace]\n[workspace two]\nkeys = secret-2\nsecret-3==\n",
		"b.ini": "[workspace one]\n[workspace three]\nkey_hashes = " + hashOf("k3") + ", " + hashOf("k1") + ", " + hashOf("k3") + ",\n",
		"c.ini": "[model m]\nreplicas = x:1\npublic = maybe\n[trainer t]\nmodel = m\nworkspace = four\n[trainer u]\nmodel = m\nworkspace = three\npublic = true\n",
		"d.ini": "[workspace five]\nsecret-4\n",
	})
	must.Eq(t, []string{
		"a.ini:2: key_hashes: item 2 has 8 characters, want 64 hex digits",
		"a.ini:2: key_hashes: item 3 has 8 characters, want 64 hex digits",
		"a.ini:2: key_hashes: item 4 is the hash of an empty key",
		"a.ini:2: key_hashes: item 1: key belongs to two workspaces",
		`a.ini:3: priority: must be a whole number from 0 to 1048576, not "-1"`,
		"a.ini:4: workspace: name must consist of a-z, 0-9 and '-' and begin with a letter",
		"a.ini:5: key_hashes: is missing",
		"a.ini:6: line: is not a key of a workspace",
		"a.ini:7: line: is not a key of a workspace",
		"b.ini:1: workspace one: is already declared at a.ini:1",
		"b.ini:3: key_hashes: has an empty item",
		"b.ini:3: key_hashes: item 2: key belongs to two workspaces",
		"b.ini:3: key_hashes: item 3: key is declared twice",
		`c.ini:3: public: must be true or false, not "maybe"`,
		"c.ini:6: workspace: workspace four is not declared",
		"c.ini:10: public: a trainer of a workspace cannot be public",
		"d.ini:2: line: must be a comment, a section or KEY = VALUE",
	}, got)
}
