package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a wrong slope, intercept or residual. The expected lines were
// calculated by hand.
func TestFitOfKnownPoints(t *testing.T) {
	line := Fit([]float64{0, 1, 2}, []float64{1, 3, 5})
	must.InDelta(t, 2, line.Slope, 1e-12)
	must.InDelta(t, 1, line.Intercept, 1e-12)
	must.InDelta(t, 0, line.Residual, 1e-12)

	line = Fit([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	must.InDelta(t, 0, line.Slope, 1e-12)
	line = Fit([]float64{0, 1, 2, 3}, []float64{3, 1, 1, 3})
	must.InDelta(t, 2, line.Intercept, 1e-12)
	must.InDelta(t, 0.5, line.Residual, 1e-12)
}
