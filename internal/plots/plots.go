// Package plots draws measured runs: the trainers' idle share and the staleness
// of what they were given, by policy and fault. It reads rows of JSON, so that
// figures can be drawn again from what an experiment wrote.
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

// Formats of figures.
const (
	FormatPNG = "png"
	FormatSVG = "svg"
)

const (
	panelHeight   = 7 * vg.Centimeter
	minWidth      = 14 * vg.Centimeter
	widthPerBar   = 0.7 * vg.Centimeter
	axisWidth     = 2 * vg.Centimeter // of the vertical axis with its label
	percent       = 100
	legendPadding = 0.10 // free space above the highest bar per line of the legend
)

// Read reads rows: one JSON array, or one object after another. Keys that a
// row does not have are ignored.
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
			return nil, eris.Wrapf(err, "read rows behind row %d", len(rows))
		}
		batch := make([]Row, 1)
		target := any(&batch[0])
		if next[0] == '[' {
			target = &batch
		}
		if err := json.Unmarshal(next, target); err != nil {
			return nil, eris.Wrapf(err, "read rows behind row %d", len(rows))
		}
		rows = append(rows, batch...)
	}
}

// WriteFile draws the rows to a file whose name ends in .png or .svg.
func WriteFile(path string, rows []Row) (err error) {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	if format != FormatPNG && format != FormatSVG {
		return eris.Errorf("figure %q: the name must end in .%s or .%s", filepath.Base(path), FormatPNG, FormatSVG)
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create the figure")
	}
	defer func() {
		if closed := file.Close(); err == nil && closed != nil {
			err = eris.Wrap(closed, "close the figure")
		}
	}()
	return Draw(file, rows, format)
}

// Draw draws two panels, idle share and staleness, with one group of bars per
// fault and one bar per policy. Policies and faults keep the rows' order.
func Draw(w io.Writer, rows []Row, format string) error {
	if len(rows) == 0 {
		return eris.New("there are no rows to draw")
	}
	t := newGrid(rows)
	idle, err := t.panel("Idle share of trainers (%)", func(r Row) float64 { return percent * r.IdleShare })
	if err != nil {
		return err
	}
	staleness, err := t.panel("Mean staleness (versions)", func(r Row) float64 { return r.StalenessMean })
	if err != nil {
		return err
	}
	canvas, err := draw.NewFormattedCanvas(t.width(), 2*panelHeight, format)
	if err != nil {
		return eris.Wrapf(err, "draw in format %q", format)
	}
	panels := [][]*plot.Plot{{idle}, {staleness}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2, PadRight: vg.Centimeter / 2}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	_, err = canvas.WriteTo(w)
	return eris.Wrap(err, "write the figure")
}

// grid holds the mean of the rows by policy and fault.
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

// mean returns the mean value of a policy under a fault; 0 without rows.
func (g grid) mean(policy, fault string, value func(Row) float64) float64 {
	rows := g.rows[[2]string{policy, fault}]
	sum := 0.0
	for _, r := range rows {
		sum += value(r)
	}
	return sum / float64(max(len(rows), 1))
}

// bars is the number of bars that a panel has room for: one per policy and a
// gap for each fault.
func (g grid) bars() vg.Length { return vg.Length(len(g.faults) * (len(g.policies) + 1)) }

func (g grid) width() vg.Length { return max(minWidth, axisWidth+widthPerBar*g.bars()) }

func (g grid) panel(label string, value func(Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(g.faults...)
	p.X.Min, p.X.Max = -0.5, float64(len(g.faults))-0.5
	width := (g.width() - axisWidth) / g.bars()
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
