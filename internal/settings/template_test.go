package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	templateSection = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	templateField   = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// tables are the fields that are tables. The platform renders a section of one for each of
// its entries.
var tables = map[string]int{"cloud": 3, "bounds": 9, "limits": 5, "provider": 12}

// renderTemplate renders the deploy template as the platform does: sections of missing
// fields, and missing fields themselves, are left out.
func renderTemplate(t *testing.T, fields map[string]string) Settings {
	t.Helper()
	template, err := os.ReadFile("../../deploy/host.ini.tmpl")
	must.NoError(t, err)
	text := templateSection.ReplaceAllStringFunc(string(template), func(s string) string {
		match := templateSection.FindStringSubmatch(s)
		if _, ok := fields[match[1]]; !ok {
			return ""
		}
		return strings.Repeat(match[2], max(tables[match[1]], 1))
	})
	text = templateField.ReplaceAllStringFunc(text, func(s string) string { return fields[s[2:len(s)-2]] })
	s, err := Parse("host.ini", []byte(text))
	must.NoError(t, err)
	return s
}

// Guards against a host that does not start on a platform without a control API, or that
// does no duties on one that has it.
func TestDeployTemplateRendersOptionalFields(t *testing.T) {
	fields := map[string]string{
		"node": "host-1", "zone": "north", "listen.front": "127.0.0.1:1", "listen.ready": "127.0.0.1:2", "ip": "127.0.0.1", "port_range.0": "3", "port_range.1": "4",
		"provider.addr": "127.0.0.1:5", "provider.parts": "8", "provider.record_bytes": "262144", "provider.call_bytes": "2097152", "provider.ttl_min_ms": "1000",
		"limits.cpu_share": "0.8", "limits.cores": "1", "bounds.lease_ms": "3000", "bounds.grace_s": "8", "bounds.cancel_ms": "3000", "bounds.status_s": "120",
	}
	s := renderTemplate(t, fields)
	must.False(t, s.Platform.Control.HasDuty(DutyUsage))
	must.False(t, s.Limits.Spillover)
	must.EqOp(t, 5*time.Second, s.Timing.UsageWindow)

	for field, value := range map[string]string{
		"cloud": "", "cloud.addr": "127.0.0.1:6", "cloud.duty_per_s": "20", "cloud.duties": `["usage","autoscale"]`, "bounds.report_window_s": "4", "bounds.usage_late_s": "12.5",
	} {
		fields[field] = value
	}
	s = renderTemplate(t, fields)
	must.True(t, s.Platform.Control.HasDuty(DutyUsage))
	must.True(t, s.Limits.Spillover)
	must.EqOp(t, 20, s.Platform.Control.CallsPerSecond)
	must.EqOp(t, 4*time.Second, s.Timing.UsageWindow)
	must.EqOp(t, 12500*time.Millisecond, s.Timing.UsageDue)
	fields["cloud.duties"] = `["autoscale"]`
	must.False(t, renderTemplate(t, fields).Platform.Control.HasDuty(DutyUsage))
}
