// Package settings reads the settings file of an entry host. Every key is
// defined once, with its unit, default and bounds. The same definitions are used
// to check a file and to generate the reference page.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/finding"
	"github.com/sesamestand/sesamestand/internal/inifile"
)

// Scheduling policies of an entry host.
const (
	PolicyDefault  = "sesamestand"
	PolicyBaseline = "baseline"
)

// Kinds of platform that an entry host can run on.
const (
	// PlatformServices provides a log of streams, a host list and a weight store.
	PlatformServices = "services"
	// PlatformLogStore provides one partitioned log store with consumer groups.
	PlatformLogStore = "log_store"
)

// trainerTokenSection maps trainer names to tokens; its keys are not predefined.
const trainerTokenSection = "trainer_tokens"

// Settings is the content of a settings file.
type Settings struct {
	File     string // path of the settings file, if read from one
	Host     Host
	Platform Platform
	Auth     Auth
	Peers    []string // peer addresses to contact at startup
	Limits   Limits
	Timing   Timing
	TLS      TLS
	Policy   string
}

// Host holds the identity and the addresses of this entry host. Section [host].
type Host struct {
	ID         string
	DataCentre string
	HTTPAddr   string
	PeerAddr   string // gRPC over TCP and membership over UDP share this address
	// ReadyAddr serves the readiness check for the platform's load balancer.
	ReadyAddr string
	// MetricsAddr serves the metrics; if empty, HTTPAddr does.
	MetricsAddr string
}

// Platform holds the kind of platform and the addresses of its services.
// Section [platform].
type Platform struct {
	Kind        string
	LogAddr     string
	HostsAddr   string
	WeightsAddr string
	Store       Store
	Control     Control
}

// Store holds the limits of the partitioned log store. Section [platform].
type Store struct {
	Partitions  int           // per topic
	RecordBytes int           // maximum size of a record
	AppendBytes int           // maximum total size of one append
	MinTTL      time.Duration // shortest TTL of a consumer group member
}

// Control holds the control API. Section [platform].
type Control struct {
	Addr           string // empty means that there is none
	CallsPerSecond float64
	Duties         string // names, separated by commas; empty means all
}

// Names of duties.
const (
	DutyUsage = "usage"     // to report usage
	DutyScale = "autoscale" // to order the number of backend servers
)

// HasDuty reports whether the platform expects a duty.
func (c Control) HasDuty(name string) bool {
	names := dutyNames(c.Duties)
	return c.Addr != "" && (len(names) == 0 || slices.Contains(names, name))
}

// dutyNames returns the names in a list, which the platform may render with brackets and
// quotes.
func dutyNames(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return strings.ContainsRune("[]\"', \t", r) })
}

// OnLogStore reports whether the host runs on a partitioned log store.
func (p Platform) OnLogStore() bool { return p.Kind == PlatformLogStore }

// Auth holds the access tokens. Sections [auth] and [trainer_tokens].
type Auth struct {
	CallerTokens  []string
	TrainerTokens map[string]string // keyed by trainer name
	OperatorToken string
	ClusterToken  string
	BackendToken  string
	PlatformToken string
}

// Limits bounds sizes and rates. Section [limits].
type Limits struct {
	BodyBytes          int
	MaxConnections     int // 0 means a share of the descriptors
	MaxConcurrency     int // per replica
	InitialConcurrency int
	MinTrainingShare   float64
	RetryShare         float64 // retries as a share of requests
	RetryReserve       int     // retries allowed regardless of RetryShare
	CrashesToRefuse    int
	DecisionLogPerSec  int
	Spillover          bool    // work leaves its data centre by core/spill
	CPUShare           float64 // share of Cores that the process may use
	MemoryMB           float64 // 0 means no limit
	ClientMemory       float64 // share of MemoryMB for what clients make the process hold
	JobMemoryMB        float64 // of accepted jobs
	Cores              float64
	StrictRevocation   bool // requests with a removed key must not run after RevokeWithin
}

// NewAccount returns the account of what clients make the process hold.
func (l *Limits) NewAccount() *account.Account {
	return account.New(account.NewLimits(l.MemoryMB, l.ClientMemory, l.JobMemoryMB))
}

// Timing holds timeouts, intervals and retention times. Section [timing].
type Timing struct {
	ProgressTimeout time.Duration // longest gap between two chunks of a stream
	DrainTimeout    time.Duration
	DrainDelay      time.Duration // from failing readiness to draining
	LeaseTerm       time.Duration
	LogRetention    time.Duration
	ClockSkew       time.Duration // maximum difference between two clocks
	AnswerRetention time.Duration // how long a request coordinator stores a response
	ProbeInterval   time.Duration // between membership probes
	StateInterval   time.Duration // between reads of an engine's state
	RequestTimeout  time.Duration // when the caller specifies none
	OrderLease      time.Duration // shortest time between orders of two order owners
	StopGrace       time.Duration // from SIGTERM to SIGKILL
	JobRetention    time.Duration // how long after submission results can be read
	JobEndGrace     time.Duration // how long after the end of a job its items may reach backend servers
	RevokeWithin    time.Duration // how long after its removal a key may be used
	UsageWindow     time.Duration // length of a window of usage reports
	UsageDue        time.Duration // from the end of a window until its report is due
}

// TLS holds the paths of the certificate and key files, which are reloaded when
// they change. Section [tls]. If CertFile is empty, connections are plain TCP.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Enabled reports whether connections use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Defaults returns the settings with every default applied.
func Defaults() Settings {
	s := Settings{Auth: Auth{TrainerTokens: make(map[string]string)}}
	for _, k := range keys {
		if k.defaultText == "" {
			continue
		}
		if err := k.set(&s, k.defaultText); err != nil {
			panic(fmt.Sprintf("default of %s.%s: %v", k.section, k.name, err))
		}
	}
	return s
}

// Load reads and checks a settings file. If its content is invalid, the error is a
// *finding.Error with all findings.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read the settings file")
	}
	s, err := Parse(path, content)
	s.File = path
	return s, err
}

// Parse parses and checks the content of a settings file. The name file is used
// in findings only.
func Parse(file string, content []byte) (Settings, error) {
	var findings finding.List
	s := Defaults()
	rawValues := make(map[string]string) // keyed by section.key
	for _, section := range inifile.Parse(file, string(content), &findings) {
		if section.Header == trainerTokenSection {
			setTrainerTokens(&s, section, &findings)
			continue
		}
		setSection(&s, section, rawValues, &findings)
	}
	for _, k := range keys {
		if !k.isRequired(&s) {
			continue
		}
		text, ok := rawValues[k.section+"."+k.name]
		switch {
		case !ok:
			findings.Add(file, 0, k.section+"."+k.name, "is required")
		case text == "" && k.requiredOnKind != "":
			findings.Add(file, 0, k.section+"."+k.name, "must not be empty with kind = %s", k.requiredOnKind)
		}
	}
	checkCombinations(&s, file, &findings)
	return s, findings.Err()
}

func setSection(s *Settings, section *inifile.Section, rawValues map[string]string, findings *finding.List) {
	if !knownSection(section.Header) {
		findings.Add(section.File, section.Line, section.Header, "is not a known section")
		return
	}
	for name, value := range section.Values {
		k := findKey(section.Header, name)
		if k == nil {
			findings.Add(section.File, value.Line, name, "is not a known key of [%s]", section.Header)
			continue
		}
		rawValues[section.Header+"."+name] = value.Text
		if k.required && k.requiredOnKind == "" && value.Text == "" {
			findings.Add(section.File, value.Line, name, "must not be empty")
			continue
		}
		if err := k.set(s, value.Text); err != nil {
			findings.Add(section.File, value.Line, name, "%v", err)
		}
	}
}

func setTrainerTokens(s *Settings, section *inifile.Section, findings *finding.List) {
	for name, value := range section.Values {
		if value.Text == "" {
			findings.Add(section.File, value.Line, name, "has an empty token")
			continue
		}
		s.Auth.TrainerTokens[name] = value.Text
	}
}

func checkCombinations(s *Settings, file string, findings *finding.List) {
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		findings.Add(file, 0, "tls.cert_file", "cert_file and key_file go together")
	}
	if s.Limits.InitialConcurrency > s.Limits.MaxConcurrency {
		findings.Add(file, 0, "limits.initial_concurrency", "is above max_concurrency")
	}
	if s.Platform.Control.HasDuty(DutyUsage) && s.Host.PeerAddr == "" {
		findings.Add(file, 0, "host.peer_addr", "must not be empty with platform.control_addr: hosts send their counts of requests to each other")
	}
}

func knownSection(name string) bool {
	for _, k := range keys {
		if k.section == name {
			return true
		}
	}
	return false
}

func findKey(section, name string) *key {
	for i := range keys {
		if keys[i].section == section && keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

// Reference returns the settings reference page in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry host\n\n")
	b.WriteString("Generated by `go run ./cmd/sesamestand settings`; do not edit.\n\n")
	b.WriteString("Addresses are IP:port; host names are rejected. Unknown sections and keys are rejected. Durations are written like `500ms`, `2s` or `24h`. Section `[trainer_tokens]` maps each trainer's name to its token.\n")
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | bounds | meaning |\n|---|---|---|---|---|\n", section)
		}
		defaultText := k.defaultText
		switch {
		case k.required && k.requiredOnKind != "":
			defaultText = "required with `kind = " + k.requiredOnKind + "`"
		case k.required:
			defaultText = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.name, k.unit, defaultText, k.bounds, k.doc)
	}
	return b.String()
}
