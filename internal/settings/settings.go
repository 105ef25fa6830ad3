// Package settings reads the settings file of an entry host. Every key is
// defined once, with its unit, default and bounds; the same definitions check
// a file and print the reference page.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/finding"
	"github.com/sesamestand/sesamestand/internal/inifile"
)

// Policies that an entry host can run.
const (
	PolicyDefault  = "sesamestand"
	PolicyBaseline = "baseline"
)

// Kinds of platform that an entry host can run on.
const (
	// PlatformServices offers a log of streams, a host list and a weight store.
	PlatformServices = "services"
	// PlatformLogStore offers one partitioned log store with consumer groups.
	PlatformLogStore = "log_store"
)

// trainerTokenSection maps trainer names to tokens; its keys are free.
const trainerTokenSection = "trainer_tokens"

// Settings is the content of a settings file.
type Settings struct {
	File     string // the file that was read, if there was one
	Host     Host
	Platform Platform
	Auth     Auth
	Peers    []string // peer addresses to contact at start
	Limits   Limits
	Timing   Timing
	TLS      TLS
	Policy   string
}

// Host names this entry host and its addresses. Section [host].
type Host struct {
	ID         string
	DataCentre string
	HTTPAddr   string
	PeerAddr   string // gRPC over TCP and membership over UDP share this address
	// ReadyAddr serves the readiness check of the platform's balancer.
	ReadyAddr string
	// MetricsAddr serves the metrics; empty means HTTPAddr.
	MetricsAddr string
}

// Platform holds the addresses of the platform's services. Section [platform].
type Platform struct {
	Kind        string
	LogAddr     string
	HostsAddr   string
	WeightsAddr string
	Store       Store
}

// Store holds the limits of a partitioned log store. Section [platform].
type Store struct {
	Partitions  int           // of each topic
	RecordBytes int           // largest record
	AppendBytes int           // largest total of one append
	MinTTL      time.Duration // shortest time to live of a group's member
}

// OnLogStore says whether the host runs on a partitioned log store.
func (p Platform) OnLogStore() bool { return p.Kind == PlatformLogStore }

// Auth holds tokens. Sections [auth] and [trainer_tokens].
type Auth struct {
	CallerTokens  []string
	TrainerTokens map[string]string // by trainer name
	OperatorToken string
	ClusterToken  string
	BackendToken  string
	PlatformToken string
}

// Limits bounds sizes and rates. Section [limits].
type Limits struct {
	BodyBytes          int
	MaxConcurrency     int // per replica
	InitialConcurrency int
	MinTrainingShare   float64
	RetryShare         float64 // retries as a share of requests
	RetryReserve       int     // retries allowed whatever the share
	CrashesToRefuse    int
	DecisionLogPerSec  int
	CPUShare           float64 // of a core
	MemoryMB           float64 // MB; 0 is no limit
	Cores              float64
}

// Timing holds durations. Section [timing].
type Timing struct {
	ProgressTimeout time.Duration // longest gap between two chunks
	DrainTimeout    time.Duration
	DrainDelay      time.Duration // time for the balancer to notice
	LeaseTerm       time.Duration
	LogRetention    time.Duration
	ClockSkew       time.Duration // largest allowed difference of clocks
	AnswerRetention time.Duration // how long a request home keeps answers
	ProbeInterval   time.Duration // membership
	StateInterval   time.Duration // reading engines' state
	RequestTimeout  time.Duration // when the caller names none
	OrderLease      time.Duration // pause between orders of two holders
	StopGrace       time.Duration // from SIGTERM to SIGKILL
	JobRetention    time.Duration // how long a job's results can be read
}

// TLS holds key files, reloaded when they change. Section [tls]. Empty means plain TCP.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Enabled says whether connections use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Defaults returns the settings with every default applied.
func Defaults() Settings {
	s := Settings{Auth: Auth{TrainerTokens: make(map[string]string)}}
	for _, k := range keys {
		if k.fallback == "" {
			continue
		}
		if err := k.set(&s, k.fallback); err != nil {
			panic(fmt.Sprintf("default of %s.%s: %v", k.section, k.name, err))
		}
	}
	return s
}

// Load reads and checks a settings file. A returned *finding.Error holds all findings.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read the settings file")
	}
	s, err := Parse(path, content)
	s.File = path
	return s, err
}

// Parse checks the content of a settings file; file names it in findings.
func Parse(file string, content []byte) (Settings, error) {
	var findings finding.List
	s := Defaults()
	given := make(map[string]string) // text by section and key
	for _, section := range inifile.Parse(file, string(content), &findings) {
		if section.Header == trainerTokenSection {
			setTrainerTokens(&s, section, &findings)
			continue
		}
		setSection(&s, section, given, &findings)
	}
	for _, k := range keys {
		if !k.isRequired(&s) {
			continue
		}
		text, ok := given[k.section+"."+k.name]
		switch {
		case !ok:
			findings.Add(file, 0, k.section+"."+k.name, "is required")
		case text == "" && k.requiredOn != "":
			findings.Add(file, 0, k.section+"."+k.name, "must not be empty with kind = %s", k.requiredOn)
		}
	}
	checkCombinations(&s, file, &findings)
	return s, findings.Err()
}

func setSection(s *Settings, section *inifile.Section, given map[string]string, findings *finding.List) {
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
		given[section.Header+"."+name] = value.Text
		if k.required && k.requiredOn == "" && value.Text == "" {
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
	b.WriteString("Addresses are IP:port; a host name is a finding. Unknown sections and keys are findings. Durations are written like `500ms`, `2s` or `24h`. Section `[trainer_tokens]` maps each trainer's name to its token.\n")
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | bounds | meaning |\n|---|---|---|---|---|\n", section)
		}
		fallback := k.fallback
		switch {
		case k.required && k.requiredOn != "":
			fallback = "required with `kind = " + k.requiredOn + "`"
		case k.required:
			fallback = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.name, k.unit, fallback, k.bounds, k.doc)
	}
	return b.String()
}
