package experiment

import (
	"fmt"
	"io"
	"slices"
)

// tableKey identifies the runs that one row of the table summarizes.
type tableKey struct{ example, fault, policy string }

// WriteMarkdown writes a Markdown table with the median and the range over the
// runs of each example, fault and policy.
func WriteMarkdown(w io.Writer, rows []Row) error {
	var keys []tableKey
	rowsByKey := make(map[tableKey][]Row)
	for _, row := range rows {
		key := tableKey{row.Example, row.Fault, row.Policy}
		if _, known := rowsByKey[key]; !known {
			keys = append(keys, key)
		}
		rowsByKey[key] = append(rowsByKey[key], row)
	}
	if _, err := fmt.Fprintln(w, "| example | fault | policy | runs | idle share, % | staleness mean, versions | staleness p99 | over the bound | steps | answered, % | interactive p99, ms | violations | failed runs |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, key := range keys {
		if err := writeTableRow(w, key, rowsByKey[key]); err != nil {
			return err
		}
	}
	return nil
}

func writeTableRow(w io.Writer, key tableKey, rows []Row) error {
	var succeeded []Row
	for _, r := range rows {
		if r.Error == "" {
			succeeded = append(succeeded, r)
		}
	}
	over, violations := 0, 0
	for _, r := range succeeded {
		over += r.OverBound
		for _, n := range r.Violations {
			violations += n
		}
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %d | %s | %s | %s | %d | %s | %s | %s | %d | %d |\n",
		key.example, key.fault, key.policy, len(succeeded),
		medianAndRange(succeeded, "%.1f", func(r Row) float64 { return 100 * r.IdleShare }),
		medianAndRange(succeeded, "%.2f", func(r Row) float64 { return r.StalenessMean }),
		medianAndRange(succeeded, "%.0f", func(r Row) float64 { return float64(r.StalenessP99) }),
		over,
		medianAndRange(succeeded, "%.0f", func(r Row) float64 { return float64(r.Steps) }),
		medianAndRange(succeeded, "%.1f", func(r Row) float64 { return 100 * float64(r.Answered) / float64(max(1, r.Requests)) }),
		medianAndRange(succeeded, "%.0f", func(r Row) float64 { return r.LatencyP99 }),
		violations, len(rows)-len(succeeded))
	return err
}

// medianAndRange formats the median and the range of a value over the rows.
func medianAndRange(rows []Row, format string, value func(Row) float64) string {
	if len(rows) == 0 {
		return "none"
	}
	values := make([]float64, len(rows))
	for i, r := range rows {
		values[i] = value(r)
	}
	slices.Sort(values)
	middle := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
	return fmt.Sprintf(format+" ("+format+" to "+format+")", middle, values[0], values[len(values)-1])
}
