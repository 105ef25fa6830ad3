// Package capacity measures how the cost of each role grows with its load, and
// extrapolates to the size that the system has to reach in two years (design,
// section 1.6).
//
// Each measurement runs in this process on the public interfaces of the
// packages, at three or more sizes. A line is fitted by least squares through
// the results. Processor times are those that the process used, garbage
// collection included, and not elapsed times, so that a busy machine changes
// them little. Membership and rollouts run in virtual time.
package capacity

import "math"

// Line is a line fitted by least squares.
type Line struct {
	Slope, Intercept float64
	// Residual is the root of the mean square of the distances from the line,
	// as a share of the mean value.
	Residual float64
}

// Fit returns the line with the least squares of distances to the points.
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

// At returns the value of the line.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
