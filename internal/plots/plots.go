// Package plots draws the idle share of trainers and the staleness of their
// samples by policy and fault. It reads the JSON rows that experiments write, so
// that figures can be redrawn without another run.
package plots

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // registers the format png
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format svg
)

// Row is one measured run. Rows with the same policy and fault are averaged.
type Row struct {
	Policy        string  `json:"policy"`
	Fault         string  `json:"fault"`
	IdleShare     float64 `json:"idle_share"`     // in [0, 1]
	StalenessMean float64 `json:"staleness_mean"` // versions at delivery
}

// Image formats.
const (
	FormatPNG = "png"
	FormatSVG = "svg"
)

const (
	panelHeight   = 7 * vg.Centimeter
	minWidth      = 14 * vg.Centimeter
	widthPerBar   = 0.7 * vg.Centimeter
	axisWidth     = 2 * vg.Centimeter // of the vertical axis including its label
	percent       = 100
	legendPadding = 0.10 // space above the highest bar for each line of the legend, as a share of its height
)

// Read reads rows from a stream of JSON values, each an object or an array of
// objects. Unknown keys are ignored.
func Read(r io.Reader) ([]Row, error) {
	decoder := json.NewDecoder(r)
	var rows []Row
	for {
		var next json.RawMessage
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read rows after row %d", len(rows))
		}
		batch := make([]Row, 1)
		target := any(&batch[0])
		if next[0] == '[' {
			target = &batch
		}
		if err := json.Unmarshal(next, target); err != nil {
			return nil, eris.Wrapf(err, "read rows after row %d", len(rows))
		}
		rows = append(rows, batch...)
	}
}

// WriteFile draws the rows to a file in the format of its extension, .png or .svg.
func WriteFile(path string, rows []Row) (err error) {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	if format != FormatPNG && format != FormatSVG {
		return eris.Errorf("figure %q: unsupported extension, want .%s or .%s", filepath.Base(path), FormatPNG, FormatSVG)
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create figure file")
	}
	defer func() {
		if closed := file.Close(); err == nil && closed != nil {
			err = eris.Wrap(closed, "close figure file")
		}
	}()
	return Draw(file, rows, format)
}

// Draw draws two panels, idle share and staleness, with one group of bars per
// fault and one bar per policy. Policies and faults appear in the order of the
// rows.
func Draw(w io.Writer, rows []Row, format string) error {
	if len(rows) == 0 {
		return eris.New("no rows to draw")
	}
	g := newGrid(rows)
	idle, err := g.panel("Idle share of trainers (%)", func(r Row) float64 { return percent * r.IdleShare })
	if err != nil {
		return err
	}
	staleness, err := g.panel("Mean staleness (versions)", func(r Row) float64 { return r.StalenessMean })
	if err != nil {
		return err
	}
	canvas, err := draw.NewFormattedCanvas(g.width(), 2*panelHeight, format)
	if err != nil {
		return eris.Wrapf(err, "draw in format %q", format)
	}
	panels := [][]*plot.Plot{{idle}, {staleness}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2, PadRight: vg.Centimeter / 2}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	_, err = canvas.WriteTo(w)
	return eris.Wrap(err, "write figure")
}

// grid holds the rows by policy and fault.
type grid struct {
	policies, faults []string
	rows             map[[2]string][]Row
}

func newGrid(rows []Row) grid {
	g := grid{rows: make(map[[2]string][]Row)}
	for _, r := range rows {
		if !slices.Contains(g.policies, r.Policy) {
			g.policies = append(g.policies, r.Policy)
		}
		if !slices.Contains(g.faults, r.Fault) {
			g.faults = append(g.faults, r.Fault)
		}
		key := [2]string{r.Policy, r.Fault}
		g.rows[key] = append(g.rows[key], r)
	}
	return g
}

// mean returns the mean of a value over the rows of a policy and fault, or 0 if
// there are none.
func (g grid) mean(policy, fault string, value func(Row) float64) float64 {
	rows := g.rows[[2]string{policy, fault}]
	sum := 0.0
	for _, r := range rows {
		sum += value(r)
	}
	return sum / float64(max(len(rows), 1))
}

// barSlots returns the width of a panel in bars: for each fault one bar per policy
// and a gap.
func (g grid) barSlots() vg.Length { return vg.Length(len(g.faults) * (len(g.policies) + 1)) }

func (g grid) width() vg.Length { return max(minWidth, axisWidth+widthPerBar*g.barSlots()) }

func (g grid) panel(label string, value func(Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(g.faults...)
	p.X.Min, p.X.Max = -0.5, float64(len(g.faults))-0.5
	width := (g.width() - axisWidth) / g.barSlots()
	highest := 0.0
	for i, policy := range g.policies {
		values := make(plotter.Values, len(g.faults))
		for j, fault := range g.faults {
			values[j] = g.mean(policy, fault, value)
			highest = max(highest, values[j])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, eris.Wrapf(err, "draw policy %q", policy)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = width * (vg.Length(i) - vg.Length(len(g.policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.Y.Max = max(highest*(1+legendPadding*float64(len(g.policies))), 1)
	return p, nil
}
