package fronthost

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Guards against a log line for each heartbeat of a record that cannot be used, and
// against tables that grow with the keys of other writers.
func TestSkippedRecordIsLoggedOncePerReason(t *testing.T) {
	skipped := make(skippedRecords)
	port := &deployment.InvalidChange{Key: "i-1", Reason: "port"}
	must.True(t, skipped.record("servers", port))
	must.False(t, skipped.record("servers", port))
	must.True(t, skipped.record("operators", port))
	must.True(t, skipped.record("servers", &deployment.InvalidChange{Key: "i-1", Reason: "slots"}))
	skipped.clear("servers", "i-1")
	must.True(t, skipped.record("servers", port))
	for i := range 3 * maxSkippedKeys {
		skipped.record("servers", &deployment.InvalidChange{Key: fmt.Sprint(i), Reason: "port"})
	}
	must.LessEq(t, maxSkippedKeys, len(skipped))
}
