package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// key defines one settings key: how it is set, checked and documented.
type key struct {
	section  string
	name     string
	unit     string
	fallback string // default value as text; empty means none
	bounds   string
	doc      string
	required bool
	// requiredOn limits required to one kind of platform; empty means all.
	requiredOn string
	set        func(*Settings, string) error
	get        func(*Settings) string
}

// on limits a required key to one kind of platform.
func (k key) on(kind string) key {
	k.requiredOn = kind
	return k
}

func (k key) isRequired(s *Settings) bool {
	return k.required && (k.requiredOn == "" || k.requiredOn == s.Platform.Kind)
}

// keys lists every key in the order of the reference page.
var keys = []key{
	textKey("host", "id", "unique name of this entry host", true, func(s *Settings) *string { return &s.Host.ID }),
	textKey("host", "data_centre", "name of the data centre that this entry host is in", true, func(s *Settings) *string { return &s.Host.DataCentre }),
	addrKey("host", "http_addr", "address for callers, trainers and operators", true, func(s *Settings) *string { return &s.Host.HTTPAddr }),
	addrKey("host", "peer_addr", "address for other entry hosts: gRPC over TCP and membership over UDP", true, func(s *Settings) *string { return &s.Host.PeerAddr }).on(PlatformServices),
	addrKey("host", "ready_addr", "address of the readiness check for the platform's balancer", true, func(s *Settings) *string { return &s.Host.ReadyAddr }).on(PlatformLogStore),
	addrKey("host", "metrics_addr", "address of the metrics; none serves them on http_addr", false, func(s *Settings) *string { return &s.Host.MetricsAddr }),
	{section: "host", name: "peers", unit: "IP:port list", doc: "peer_addr of other entry hosts to contact at start; a few are enough", set: setPeers,
		get: func(s *Settings) string { return strings.Join(s.Peers, ", ") }},

	{section: "platform", name: "kind", unit: "name", fallback: PlatformServices, bounds: PlatformServices + " or " + PlatformLogStore, doc: "what the platform offers: a log of streams with a host list and a weight store, or one partitioned log store", set: setPlatformKind,
		get: func(s *Settings) string { return s.Platform.Kind }},
	addrKey("platform", "log_addr", "log service", true, func(s *Settings) *string { return &s.Platform.LogAddr }),
	addrKey("platform", "hosts_addr", "host list", true, func(s *Settings) *string { return &s.Platform.HostsAddr }).on(PlatformServices),
	addrKey("platform", "weights_addr", "weight store", true, func(s *Settings) *string { return &s.Platform.WeightsAddr }).on(PlatformServices),

	intKey("platform", "partitions", "partitions", "8", 2, 1024, "partitions of each topic of the log store", func(s *Settings) *int { return &s.Platform.Store.Partitions }),
	intKey("platform", "record_bytes", "bytes", "262144", 4096, 64<<20, "largest record of the log store", func(s *Settings) *int { return &s.Platform.Store.RecordBytes }),
	intKey("platform", "append_bytes", "bytes", "2097152", 4096, 64<<20, "largest total of one append to the log store", func(s *Settings) *int { return &s.Platform.Store.AppendBytes }),
	durationKey("platform", "min_member_ttl", "1s", 100*time.Millisecond, time.Minute, "shortest time to live that the log store allows a group's member", func(s *Settings) *time.Duration { return &s.Platform.Store.MinTTL }),

	{section: "auth", name: "caller_tokens", unit: "token list", doc: "tokens that callers may use; none lets every caller in", set: setCallerTokens,
		get: func(s *Settings) string { return strings.Join(s.Auth.CallerTokens, ", ") }},
	textKey("auth", "operator_token", "token for status, explain and metrics; none leaves them open", false, func(s *Settings) *string { return &s.Auth.OperatorToken }),
	textKey("auth", "cluster_token", "token shared by all entry hosts", true, func(s *Settings) *string { return &s.Auth.ClusterToken }).on(PlatformServices),
	textKey("auth", "backend_token", "token sent to backend servers", false, func(s *Settings) *string { return &s.Auth.BackendToken }),
	textKey("auth", "platform_token", "token sent to the log, the host list and the weight store", false, func(s *Settings) *string { return &s.Auth.PlatformToken }),

	intKey("limits", "body_bytes", "bytes", "1048576", 1024, 64<<20, "largest request body; a larger one gets 413", func(s *Settings) *int { return &s.Limits.BodyBytes }),
	intKey("limits", "max_concurrency", "requests", "256", 1, 4096, "upper end of the adaptive concurrency limit per replica", func(s *Settings) *int { return &s.Limits.MaxConcurrency }),
	intKey("limits", "initial_concurrency", "requests", "4", 1, 4096, "concurrency limit of a replica nothing is known about", func(s *Settings) *int { return &s.Limits.InitialConcurrency }),
	floatKey("limits", "min_training_share", "share", "0.10", 0, 0.9, "share of a replica that training keeps under interactive load", func(s *Settings) *float64 { return &s.Limits.MinTrainingShare }),
	floatKey("limits", "retry_share", "share", "0.10", 0, 1, "retries as a share of requests over 10 s", func(s *Settings) *float64 { return &s.Limits.RetryShare }),
	intKey("limits", "retry_reserve", "retries", "3", 0, 1000, "retries allowed over 10 s whatever the share", func(s *Settings) *int { return &s.Limits.RetryReserve }),
	intKey("limits", "crashes_to_refuse", "crashes", "3", 1, 100, "crashes of backend servers after which a request's content is refused", func(s *Settings) *int { return &s.Limits.CrashesToRefuse }),
	intKey("limits", "decision_log_per_second", "lines/s", "1000", 0, 100000, "decision lines above this rate are counted and not written", func(s *Settings) *int { return &s.Limits.DecisionLogPerSec }),

	floatKey("limits", "cpu_share", "share", "1", 0.01, 1024, "share of its cores that the process may use; hosts with little leave duties to others", func(s *Settings) *float64 { return &s.Limits.CPUShare }),
	floatKey("limits", "memory", "MB", "0", 0, 1<<20, "memory of the process; from four fifths of it on, garbage is collected more often; 0 is no limit", func(s *Settings) *float64 { return &s.Limits.MemoryMB }),
	floatKey("limits", "cores", "cores", "1", 0.01, 1024, "cores of the host", func(s *Settings) *float64 { return &s.Limits.Cores }),

	durationKey("timing", "progress_timeout", "5s", 10*time.Millisecond, time.Hour, "longest gap between two chunks of a stream", func(s *Settings) *time.Duration { return &s.Timing.ProgressTimeout }),
	durationKey("timing", "drain_timeout", "60s", 0, 24*time.Hour, "longest time that a drain waits for requests in flight", func(s *Settings) *time.Duration { return &s.Timing.DrainTimeout }),
	durationKey("timing", "drain_delay", "2s", 0, time.Minute, "time between failing readiness and draining, for the balancer to notice", func(s *Settings) *time.Duration { return &s.Timing.DrainDelay }),
	durationKey("timing", "lease_term", "6s", 100*time.Millisecond, time.Hour, "time after the last read of the view stream in which orders may go to engines that ignore fencing numbers", func(s *Settings) *time.Duration { return &s.Timing.LeaseTerm }),
	durationKey("timing", "log_retention", "24h", time.Second, 365*24*time.Hour, "retention of the log's streams; keys older than this are refused", func(s *Settings) *time.Duration { return &s.Timing.LogRetention }),
	durationKey("timing", "clock_skew", "5s", 0, time.Hour, "largest difference between two clocks", func(s *Settings) *time.Duration { return &s.Timing.ClockSkew }),
	durationKey("timing", "answer_retention", "120s", time.Second, time.Hour, "how long a request's home keeps its answer", func(s *Settings) *time.Duration { return &s.Timing.AnswerRetention }),
	durationKey("timing", "probe_interval", "500ms", 10*time.Millisecond, time.Minute, "time between two membership probes", func(s *Settings) *time.Duration { return &s.Timing.ProbeInterval }),
	durationKey("timing", "state_interval", "1s", 10*time.Millisecond, time.Minute, "time between two reads of an engine's state", func(s *Settings) *time.Duration { return &s.Timing.StateInterval }),
	durationKey("timing", "request_timeout", "60s", 100*time.Millisecond, time.Hour, "deadline of a request that names none", func(s *Settings) *time.Duration { return &s.Timing.RequestTimeout }),

	durationKey("timing", "order_lease", "3s", 100*time.Millisecond, time.Hour, "shortest time between orders of two holders to one replica", func(s *Settings) *time.Duration { return &s.Timing.OrderLease }),
	durationKey("timing", "stop_grace", "8s", time.Second, time.Hour, "time from SIGTERM until the platform kills the process", func(s *Settings) *time.Duration { return &s.Timing.StopGrace }),
	durationKey("timing", "job_retention", "120s", time.Second, 24*time.Hour, "how long after its submission a job's results can be read", func(s *Settings) *time.Duration { return &s.Timing.JobRetention }),

	textKey("tls", "cert_file", "certificate (PEM), read again when it changes", false, func(s *Settings) *string { return &s.TLS.CertFile }),
	textKey("tls", "key_file", "private key (PEM), read again when it changes", false, func(s *Settings) *string { return &s.TLS.KeyFile }),
	textKey("tls", "ca_file", "certificates (PEM) that other entry hosts must chain to", false, func(s *Settings) *string { return &s.TLS.CAFile }),

	{section: "policy", name: "name", unit: "name", fallback: "sesamestand", bounds: "sesamestand or baseline", doc: "baseline is round robin, first come first served, no surplus samples and plain retries, for comparison", set: setPolicy,
		get: func(s *Settings) string { return s.Policy }},
}

func textKey(section, name, doc string, required bool, field func(*Settings) *string) key {
	return key{section: section, name: name, unit: "text", doc: doc, required: required,
		set: func(s *Settings, value string) error {
			*field(s) = value
			return nil
		},
		get: func(s *Settings) string { return *field(s) }}
}

func addrKey(section, name, doc string, required bool, field func(*Settings) *string) key {
	return key{section: section, name: name, unit: "IP:port", doc: doc, required: required,
		set: func(s *Settings, value string) error {
			// An empty value means none; required keys are checked for one apart.
			if value != "" {
				if err := checkAddr(value); err != nil {
					return err
				}
			}
			*field(s) = value
			return nil
		},
		get: func(s *Settings) string { return *field(s) }}
}

func intKey[T int | int64](section, name, unit, fallback string, low, high T, doc string, field func(*Settings) *T) key {
	return key{section: section, name: name, unit: unit, fallback: fallback, doc: doc,
		bounds: fmt.Sprintf("%d to %d", low, high),
		set: func(s *Settings, value string) error {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", value)
			}
			if n < int64(low) || n > int64(high) {
				return fmt.Errorf("%d is not in %d to %d", n, low, high)
			}
			*field(s) = T(n)
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatInt(int64(*field(s)), 10) }}
}

func floatKey(section, name, unit, fallback string, low, high float64, doc string, field func(*Settings) *float64) key {
	return key{section: section, name: name, unit: unit, fallback: fallback, doc: doc,
		bounds: fmt.Sprintf("%g to %g", low, high),
		set: func(s *Settings, value string) error {
			f, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return fmt.Errorf("%q is not a number", value)
			}
			// NaN fails both comparisons below, so the check is written as "inside".
			if !(f >= low && f <= high) {
				return fmt.Errorf("%g is not in %g to %g", f, low, high)
			}
			*field(s) = f
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatFloat(*field(s), 'g', -1, 64) }}
}

func durationKey(section, name, fallback string, low, high time.Duration, doc string, field func(*Settings) *time.Duration) key {
	return key{section: section, name: name, unit: "duration", fallback: fallback, doc: doc,
		bounds: fmt.Sprintf("%s to %s", low, high),
		set: func(s *Settings, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 500ms or 2s", value)
			}
			if d < low || d > high {
				return fmt.Errorf("%s is not in %s to %s", d, low, high)
			}
			*field(s) = d
			return nil
		},
		get: func(s *Settings) string { return field(s).String() }}
}

func setPeers(s *Settings, value string) error {
	for _, addr := range splitList(value) {
		if err := checkAddr(addr); err != nil {
			return err
		}
		s.Peers = append(s.Peers, addr)
	}
	return nil
}

func setCallerTokens(s *Settings, value string) error {
	s.Auth.CallerTokens = splitList(value)
	return nil
}

func setPolicy(s *Settings, value string) error {
	if value != PolicyDefault && value != PolicyBaseline {
		return fmt.Errorf("%q is neither %s nor %s", value, PolicyDefault, PolicyBaseline)
	}
	s.Policy = value
	return nil
}

func setPlatformKind(s *Settings, value string) error {
	if value != PlatformServices && value != PlatformLogStore {
		return fmt.Errorf("%q is neither %s nor %s", value, PlatformServices, PlatformLogStore)
	}
	s.Platform.Kind = value
	return nil
}

func checkAddr(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%q is not IP:port", value)
	}
	return nil
}

func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
