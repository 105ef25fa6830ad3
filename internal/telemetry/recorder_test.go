package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
)

// Guards against decisions that fill the memory because callers chose long request IDs, or
// because error messages quote what they sent.
func TestRetainedDecisionsAreBounded(t *testing.T) {
	r, err := NewRecorder("a", 0)
	must.NoError(t, err)
	held := account.New(account.Limits{Total: 1 << 20, Decisions: 64 << 10})
	r.CountOn(held)
	long := strings.Repeat("x", 15_000)
	for i := range 1000 {
		r.RecordDecision("send", fmt.Sprintf("%s-%d", long, i), "err", long)
		must.LessEq(t, 64<<10, held.Held(account.Decisions))
	}
	must.SliceLen(t, 1, r.Explain(long+"-999"))
	must.SliceEmpty(t, r.Explain(long+"-0"))
	must.Positive(t, len(r.decisions))
	for len(r.decisions) > 0 {
		r.evictOldest()
	}
	must.EqOp(t, 0, held.Held(account.Decisions))
}
