package settings

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/finding"
)

const valid = `[host]
id = plateau-1
data_centre = plateau
http_addr = 127.0.0.1:8080
peer_addr = 127.0.0.1:9080
peers = 127.0.0.1:9081, 127.0.0.1:9082

[platform]
log_addr = 127.0.0.1:7001
hosts_addr = 127.0.0.1:7002
weights_addr = 127.0.0.1:7003

[auth]
cluster_token = secret

[trainer_tokens]
captions = abc

[timing]
lease_term = 3s
`

// Guards against lost defaults when a file sets only some keys.
func TestParseAppliesValuesOverDefaults(t *testing.T) {
	s, err := Parse("host.ini", []byte(valid))
	must.NoError(t, err)
	must.Eq(t, []string{"127.0.0.1:9081", "127.0.0.1:9082"}, s.Peers)
	must.Eq(t, 3*time.Second, s.Timing.LeaseTerm)
	must.Eq(t, 5*time.Second, s.Timing.ProgressTimeout)
	must.Eq(t, "abc", s.Auth.TrainerTokens["captions"])
	must.False(t, s.Limits.Spillover)

	s.Limits.Spillover = true
	reparsed, err := Parse("host.ini", []byte(Format(s)))
	must.NoError(t, err)
	must.Eq(t, s, reparsed)
}

// Guards against stopping at the first problem and against findings without a line
// number.
func TestParseReportsAllFindingsWithLocation(t *testing.T) {
	bad := strings.Replace(valid, "127.0.0.1:8080", "entry.example:80", 1) +
		"foo = 1\n[limits]\nretry_share = NaN\nbody_bytes = 3\nspillover = yes\n[wrong]\nx = 1\n"
	must.Eq(t, []string{
		`host.ini:4: http_addr: "entry.example:80" is not IP:port`,
		`host.ini:21: foo: is not a known key of [timing]`,
		`host.ini:23: retry_share: NaN is not in 0 to 1`,
		`host.ini:24: body_bytes: 3 is not in 1024 to 67108864`,
		`host.ini:25: spillover: "yes" is neither off nor on`,
		`host.ini:26: wrong: is not a known section`,
	}, findingsOf(t, bad))
}

// Guards against a repeated key that silently overrides the first one.
func TestParseReportsRepeatedKeysAndSections(t *testing.T) {
	must.SliceContainsAll(t, findingsOf(t, valid+"lease_term = 4s\n[host]\n"), []string{
		`host.ini:21: lease_term: key is already set on line 20`,
		`host.ini:22: host: section is already on line 1`,
	})
}

func findingsOf(t *testing.T, content string) []string {
	t.Helper()
	_, err := Parse("host.ini", []byte(content))
	var found *finding.Error
	must.True(t, errors.As(err, &found))
	var texts []string
	for _, f := range found.Findings {
		if f.Line > 0 {
			texts = append(texts, f.String())
		}
	}
	return texts
}

// Guards against panics on any input and against accepting a file without its
// required keys.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[host\nid"))
	f.Add([]byte("[host]\nid = a\ndata_centre = b\nhttp_addr = 127.0.0.1:1\nready_addr = 127.0.0.1:2\n[platform]\nkind = log_store\nlog_addr = 127.0.0.1:3\n"))
	f.Add([]byte("[host]\nid = \"\"\"x\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse("f.ini", content)
		if err != nil {
			return
		}
		required := []string{s.Host.ID, s.Host.DataCentre, s.Host.HTTPAddr, s.Platform.LogAddr}
		switch s.Platform.Kind {
		case PlatformLogStore:
			required = append(required, s.Host.ReadyAddr)
		case PlatformServices:
			required = append(required, s.Host.PeerAddr, s.Platform.HostsAddr, s.Platform.WeightsAddr, s.Auth.ClusterToken)
		default:
			t.Fatalf("accepted the kind of platform %q", s.Platform.Kind)
		}
		if slices.Contains(required, "") {
			t.Fatalf("accepted a file without required keys: %+v", s)
		}
	})
}

// Guards against a time for revocation that hosts cannot keep: below the minimum, they serve
// keys until less than 500 ms before it, which is how inaccurate the time of a read is.
func TestRevocationTimeLeavesTheMarginOfAReadsTime(t *testing.T) {
	must.Len(t, 1, findingsOf(t, valid+"revoke_within = 1249ms\n"))
	s, err := Parse("host.ini", []byte(valid+"revoke_within = 1250ms\n"))
	must.NoError(t, err)
	asOf := time.Unix(100, 0)
	terms := workspace.Terms{Strict: true, RevokeWithin: s.Timing.RevokeWithin}
	must.GreaterEq(t, 500*time.Millisecond, s.Timing.RevokeWithin-terms.Expiry(asOf).Sub(asOf))
}
