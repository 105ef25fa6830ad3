package orders

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// Guards against orders to an engine that says that it is leaving while the host list does
// not show it.
func TestEngineThatSaysItLeavesGetsNoOrder(t *testing.T) {
	tc := newTestCluster(t, 1, 3, false)
	tc.startHost(t, "host-0")
	eventually(t, func() bool { return tc.allServing(1) })
	leaving := tc.engines["engine-0"]
	leaving.SetFaults(engined.Faults{Leaving: true})
	before := len(leaving.Journal().Orders)
	testHost{testCluster: tc}.Announce(testModel, 2)
	eventually(t, func() bool {
		return tc.engines["engine-1"].State().Version == 2 && tc.engines["engine-2"].State().Version == 2
	})
	must.SliceLen(t, before, leaving.Journal().Orders)
}
