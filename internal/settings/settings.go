// Package settings reads the settings file of an entry host. Every key is
// defined once, with its unit, default and bounds; the same definitions check
// a file and print the reference page.
package settings

import (
	"time"
)

// Settings is the content of a settings file.
type Settings struct {
	Host     Host
	Platform Platform
	Auth     Auth
	Peers    []Peer
	Limits   Limits
	Timing   Timing
	TLS      TLS
}

// Host names this entry host and its addresses. Section [host].
type Host struct {
	ID         string
	DataCentre string
	HTTPAddr   string
	PeerAddr   string // gRPC over TCP and membership over UDP share this address
}

// Platform holds the addresses of the platform's services. Section [platform].
type Platform struct {
	LogAddr     string
	HostsAddr   string
	WeightsAddr string
}

// Auth holds tokens. Section [auth]. An empty caller token lets every caller in.
type Auth struct {
	CallerTokens   []string
	TrainerTokens  map[string]string // by trainer name
	OperatorToken  string
	ClusterToken   string // shared by entry hosts
	BackendToken   string // sent to backend servers
	PlatformTokens string
}

// Peer is another entry host to contact at start. Key peers in section [host].
type Peer struct {
	PeerAddr string
}

// Limits bounds sizes and rates. Section [limits].
type Limits struct {
	BodyBytes          int64
	MaxConcurrency     int // per replica
	InitialConcurrency int
	MinTrainingShare   float64
	RetryShare         float64 // retries as a share of requests
	RetryReserve       int     // retries allowed whatever the share
	CrashesToRefuse    int
	DecisionLogPerSec  int
}

// Timing holds durations. Section [timing].
type Timing struct {
	ProgressTimeout time.Duration // longest gap between two chunks
	DrainTimeout    time.Duration
	DrainDelay      time.Duration // time for the balancer to notice
	LeaseTerm       time.Duration
	LogRetention    time.Duration // of the intent stream
	ClockSkew       time.Duration // largest allowed difference of clocks
	AnswerRetention time.Duration // how long a request home keeps answers
	ProbeInterval   time.Duration // membership
	StateInterval   time.Duration // reading engines' state
	RequestTimeout  time.Duration // when the caller names none
}

// TLS holds key files, reloaded when they change. Section [tls]. Empty means plain TCP.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Defaults returns the settings with every default applied.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:          1 << 20,
			MaxConcurrency:     256,
			InitialConcurrency: 4,
			MinTrainingShare:   0.10,
			RetryShare:         0.10,
			RetryReserve:       3,
			CrashesToRefuse:    3,
			DecisionLogPerSec:  1000,
		},
		Timing: Timing{
			ProgressTimeout: 5 * time.Second,
			DrainTimeout:    60 * time.Second,
			DrainDelay:      2 * time.Second,
			LeaseTerm:       6 * time.Second,
			LogRetention:    24 * time.Hour,
			ClockSkew:       5 * time.Second,
			AnswerRetention: 120 * time.Second,
			ProbeInterval:   500 * time.Millisecond,
			StateInterval:   time.Second,
			RequestTimeout:  60 * time.Second,
		},
	}
}
