package capacity

import (
	"fmt"
	"io"
)

// Print writes the fitted lines and compares the extrapolated costs with Limits.
func Print(w io.Writer, all []Series) {
	fmt.Fprintf(w, "%-13s %-36s %-6s %11s %11s %8s  %-26s %s\n",
		"role", "quantity", "unit", "slope", "intercept", "residual", "per (at the target)", "at the target")
	control, requests := map[string]float64{}, map[string]float64{}
	for _, s := range all {
		line := s.Line()
		fmt.Fprintf(w, "%-13s %-36s %-6s %11.4g %11.4g %7.1f%%  %-26s %.4g", s.Role, s.Name, s.Unit, line.Slope,
			line.Intercept, 100*line.Residual, fmt.Sprintf("%s (%.4g)", s.Variable, s.Target), s.AtTarget())
		if s.LimitUnit != "" {
			value := s.AtTarget() * s.Scale
			fmt.Fprintf(w, " = %.3g %s", value, s.LimitUnit)
			if s.Requests {
				requests[s.LimitUnit] += value
			} else {
				control[s.LimitUnit] += value
			}
		}
		fmt.Fprintf(w, "\n    at %.5g: %.4g\n", s.X, s.Y)
	}
	fmt.Fprintln(w, "\nPer daemon at the target scale (design, section 1.6):")
	for _, unit := range []string{CPU, Memory, Net} {
		fmt.Fprintf(w, "  control %8.3g %-6s limit %4g: %-6s  (requests and samples add %.3g)\n",
			control[unit], unit, Limits[unit], verdict(control[unit], Limits[unit]), requests[unit])
	}
	for _, s := range all {
		if s.LimitUnit == Time {
			fmt.Fprintf(w, "  %s: %.3g s, limit %g: %s\n", s.Name, s.AtTarget(), Limits[Time], verdict(s.AtTarget(), Limits[Time]))
		}
	}
}

func verdict(value, limit float64) string {
	if value > limit {
		return "MISSED"
	}
	return "met"
}
