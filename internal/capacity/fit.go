// Package capacity measures how the cost of each role grows with its load, and
// extrapolates to the target scale, which the system has to reach in two years
// (design, section 1.6).
//
// Each measurement runs in this process on the exported interfaces of the
// packages, at three or more sizes. A line is fitted to the results by least
// squares. Costs are processor times of the process, garbage collection
// included, rather than elapsed times, so that other load on the machine has
// little influence. Membership and rollouts are simulated in virtual time.
package capacity

import "math"

// Line is a straight line fitted by least squares.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square of the vertical distances of the points
	// from the line, relative to the mean of Y.
	Residual float64
}

// Fit returns the least-squares line through the points.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	meanX, meanY := mean(xs), mean(ys)
	var xy, xx float64
	for i := range xs {
		xy += (xs[i] - meanX) * (ys[i] - meanY)
		xx += (xs[i] - meanX) * (xs[i] - meanX)
	}
	var line Line
	if xx > 0 {
		line.Slope = xy / xx
	}
	line.Intercept = meanY - line.Slope*meanX
	var squares float64
	for i := range xs {
		distance := ys[i] - line.At(xs[i])
		squares += distance * distance
	}
	if meanY != 0 {
		line.Residual = math.Sqrt(squares/n) / math.Abs(meanY)
	}
	return line
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
