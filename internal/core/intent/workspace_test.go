package intent

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against keys of two workspaces that are taken for one, and against a derived key
// that the log's readers reject or expire at another time.
func TestKeysOfWorkspacesAreDifferentAndValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Key(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
		key[6], key[8] = key[6]&0x0f|0x70, key[8]&0x3f|0x80 // a UUIDv7
		name := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name")
		derived := key.InWorkspace(name)
		parsed, err := ParseKey(derived.String())
		must.NoError(t, err)
		must.EqOp(t, derived, parsed)
		must.EqOp(t, key.Time(), derived.Time())
		must.NotEq(t, key, derived)
		must.NotEq(t, derived, key.InWorkspace(name+"x"))
		must.EqOp(t, derived, key.InWorkspace(name))
	})
}
