package settings

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a host that fails to start because a key that only the other kind
// of platform uses has an empty value.
func TestEmptyAddressesOfOtherPlatformAreAccepted(t *testing.T) {
	const host = "[host]\nid = a\ndata_centre = b\nhttp_addr = 127.0.0.1:1\n"
	const peer = "peer_addr = 127.0.0.1:2\nready_addr =\nmetrics_addr =\n"
	const services = "[platform]\nlog_addr = 127.0.0.1:3\nhosts_addr = 127.0.0.1:4\nweights_addr = 127.0.0.1:5\n[auth]\ncluster_token = t\n"
	_, err := Parse("s.ini", []byte(host+peer+services))
	must.NoError(t, err)
	_, err = Parse("s.ini", []byte(host+"peer_addr =\nready_addr =\n[platform]\nkind = log_store\nlog_addr = 127.0.0.1:3\n"))
	must.ErrorContains(t, err, "host.ready_addr: must not be empty")
}

// Guards against duties that are off because of how the platform renders their list, or on
// although the platform has no control API or does not expect them.
func TestDutiesOfThePlatform(t *testing.T) {
	parse := func(control string) (Settings, error) {
		return Parse("s.ini", []byte("[host]\nid = a\ndata_centre = b\nhttp_addr = 127.0.0.1:1\nready_addr = 127.0.0.1:2\npeer_addr = 127.0.0.1:3\n[platform]\nkind = log_store\nlog_addr = 127.0.0.1:4\n"+control))
	}
	for control, want := range map[string]bool{
		"":                             false,
		"control_duties = usage\n":     false,
		"control_addr = 127.0.0.1:5\n": true,
		"control_addr = 127.0.0.1:5\ncontrol_duties = usage\n":                     true,
		"control_addr = 127.0.0.1:5\ncontrol_duties =\n":                           true,
		"control_addr = 127.0.0.1:5\ncontrol_duties = [\"autoscale\",\"usage\"]\n": true,
		"control_addr = 127.0.0.1:5\ncontrol_duties = autoscale, usage\n":          true,
		"control_addr = 127.0.0.1:5\ncontrol_duties = [\"autoscale\"]\n":           false,
	} {
		s, err := parse(control)
		must.NoError(t, err)
		must.EqOp(t, want, s.Platform.Control.HasDuty(DutyUsage), must.Sprint(control))
		scale := s.Platform.Control.Addr != "" && !strings.HasSuffix(control, "= usage\n")
		must.EqOp(t, scale, s.Platform.Control.HasDuty(DutyScale), must.Sprint(control))
	}
	_, err := parse("control_addr = 127.0.0.1:5\n[host]\npeer_addr =\n")
	must.Error(t, err)
}
