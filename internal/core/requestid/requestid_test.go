package requestid

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against long IDs that are kept whole, or that are the same after they were
// shortened.
func TestLongIDsAreShortenedAndDistinct(t *testing.T) {
	long := strings.Repeat("x", 15_000)
	must.EqOp(t, "id-1", Short("id-1"))
	must.LessEq(t, maxBytes, len(Short(long+"a")))
	must.NotEqOp(t, Short(long+"a"), Short(long+"b"))
	must.EqOp(t, Short(long), Short(Short(long)))
}
