package usage

import (
	"fmt"
	"strings"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// keyPrefix begins the keys of stored reports. The window, the number of the part and the
// number of parts follow, in a width that keeps the records in order.
const keyPrefix = duties.KeyPrefix + "usage/"

// keyBytes is the part of a record that is kept for its key.
const keyBytes = 256

func windowPrefix(window int64) string { return fmt.Sprintf("%s%020d/", keyPrefix, window) }

// reportRecords returns the records of a report.
func reportRecords(r usage.Report, recordBytes int) ([]logstore.Record, error) {
	parts, err := r.Encode(recordBytes - keyBytes)
	if err != nil {
		return nil, err
	}
	records := make([]logstore.Record, len(parts))
	for i, part := range parts {
		records[i] = logstore.Record{Key: fmt.Sprintf("%s%05d-%05d", windowPrefix(r.Window), i, len(parts)), Value: part}
	}
	return records, nil
}

// storedReports returns the reports of which all parts are stored, and the records of the
// others, which were never sent. The records are in the order of their keys.
func storedReports(records []logstore.Record) (reports []usage.Report, incomplete []logstore.Record) {
	for len(records) > 0 {
		n := 1
		for n < len(records) && windowOf(records[n].Key) == windowOf(records[0].Key) {
			n++
		}
		if report, err := decodeReport(records[:n]); err == nil {
			reports = append(reports, report)
		} else {
			klog.InfoS("stored usage report is incomplete, removing it", "key", records[0].Key, "parts", n, "err", err)
			incomplete = append(incomplete, records[:n]...)
		}
		records = records[n:]
	}
	return reports, incomplete
}

// windowOf returns the part of a key that all records of a report have in common.
func windowOf(key string) string {
	window, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	return window
}

func decodeReport(records []logstore.Record) (usage.Report, error) {
	parts := make([][]byte, len(records))
	for i, r := range records {
		if !strings.HasSuffix(r.Key, fmt.Sprintf("/%05d-%05d", i, len(records))) {
			return usage.Report{}, fmt.Errorf("part %d of %d is missing", i, len(records))
		}
		parts[i] = r.Value
	}
	return usage.DecodeReport(parts)
}
