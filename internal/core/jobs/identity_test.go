package jobs

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against equal IDs of two workspaces, with or without a name, and against an ID
// that the caller does not recognize.
func TestQualifiedIDsAreDistinct(t *testing.T) {
	known := make(map[string][2]string)
	rapid.Check(t, func(t *rapid.T) {
		workspace := rapid.SampledFrom([]string{"", "a", "b", "~"}).Draw(t, "workspace")
		id := rapid.StringMatching(`[ab~/]{0,3}`).Draw(t, "id")
		for range rapid.IntRange(0, 2).Draw(t, "layers") {
			id = QualifyID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "outer"), id)
		}
		qualified := QualifyID(workspace, id)
		if CallerID(qualified) != id {
			t.Fatalf("caller's ID of %q is %q, not %q", qualified, CallerID(qualified), id)
		}
		if other, ok := known[qualified]; ok && other != [2]string{workspace, id} {
			t.Fatalf("%q stands for %q and %q", qualified, other, [2]string{workspace, id})
		}
		known[qualified] = [2]string{workspace, id}
	})
	must.EqOp(t, "job", QualifyID("", "job"))
}
