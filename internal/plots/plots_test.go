package plots

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const lines = `{"policy":"baseline","fault":"none","idle_share":0.3,"staleness_mean":1.5}
{"policy":"baseline","fault":"crash","idle_share":0.5,"staleness_mean":2}
[{"policy":"default","fault":"crash","idle_share":0.1,"staleness_mean":1,"seed":3},
 {"policy":"default","fault":"crash","idle_share":0.2,"staleness_mean":2,"seed":4}]`

// Guards against lost rows in either input form and against repeated runs that are
// not averaged.
func TestReadAcceptsLinesAndArrays(t *testing.T) {
	rows, err := Read(strings.NewReader(lines))
	must.NoError(t, err)
	must.Len(t, 4, rows)
	g := newGrid(rows)
	must.Eq(t, []string{"baseline", "default"}, g.policies)
	must.Eq(t, []string{"none", "crash"}, g.faults)
	must.InDelta(t, 0.15, g.mean("default", "crash", func(r Row) float64 { return r.IdleShare }), 1e-9)
	must.Eq(t, 0, g.mean("default", "none", func(r Row) float64 { return r.IdleShare }))
	_, err = Read(strings.NewReader(`{"policy":1}`))
	must.Error(t, err)
}

// Guards against invalid image files and against figures without a policy or a
// fault.
func TestDrawWritesBothFormats(t *testing.T) {
	rows, err := Read(strings.NewReader(lines))
	must.NoError(t, err)
	var figure bytes.Buffer
	must.NoError(t, Draw(&figure, rows, FormatPNG))
	_, err = png.Decode(&figure)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "idle.svg")
	must.NoError(t, WriteFile(path, rows))
	content, err := os.ReadFile(path)
	must.NoError(t, err)
	for _, text := range []string{"<svg", "baseline", "default", "crash", "Idle share", "staleness"} {
		must.StrContains(t, string(content), text)
	}
	must.Error(t, WriteFile(filepath.Join(t.TempDir(), "idle.gif"), rows))
	must.Error(t, Draw(&figure, nil, FormatPNG))
}
