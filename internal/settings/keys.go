package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// key defines one settings key: how it is parsed, checked and documented.
type key struct {
	section     string
	name        string
	unit        string
	defaultText string // empty means that there is no default
	bounds      string
	doc         string
	required    bool
	// requiredOnKind restricts required to one kind of platform; empty means all kinds.
	requiredOnKind string
	set            func(*Settings, string) error
	get            func(*Settings) string
}

// onPlatform returns the key with required restricted to one kind of platform.
func (k key) onPlatform(kind string) key {
	k.requiredOnKind = kind
	return k
}

func (k key) isRequired(s *Settings) bool {
	return k.required && (k.requiredOnKind == "" || k.requiredOnKind == s.Platform.Kind)
}

// keys lists all keys in the order of the reference page.
var keys = []key{
	textKey("host", "id", "unique name of this entry host", true, func(s *Settings) *string { return &s.Host.ID }),
	textKey("host", "data_centre", "name of the data centre that this entry host is in", true, func(s *Settings) *string { return &s.Host.DataCentre }),
	addrKey("host", "http_addr", "address for callers, trainers and operators", true, func(s *Settings) *string { return &s.Host.HTTPAddr }),
	addrKey("host", "peer_addr", "address for other entry hosts: gRPC over TCP and, without a log store, membership over UDP", true, func(s *Settings) *string { return &s.Host.PeerAddr }).onPlatform(PlatformServices),
	addrKey("host", "ready_addr", "address of the readiness check for the platform's load balancer", true, func(s *Settings) *string { return &s.Host.ReadyAddr }).onPlatform(PlatformLogStore),
	addrKey("host", "metrics_addr", "address of the metrics endpoint; if empty, metrics are served on http_addr", false, func(s *Settings) *string { return &s.Host.MetricsAddr }),
	{section: "host", name: "peers", unit: "IP:port list", doc: "peer_addr of other entry hosts to contact at start; a few are enough", set: setPeers,
		get: func(s *Settings) string { return strings.Join(s.Peers, ", ") }},

	{section: "platform", name: "kind", unit: "name", defaultText: PlatformServices, bounds: PlatformServices + " or " + PlatformLogStore, doc: "what the platform offers: a log of streams with a host list and a weight store, or one partitioned log store", set: setPlatformKind,
		get: func(s *Settings) string { return s.Platform.Kind }},
	addrKey("platform", "log_addr", "log service", true, func(s *Settings) *string { return &s.Platform.LogAddr }),
	addrKey("platform", "hosts_addr", "host list", true, func(s *Settings) *string { return &s.Platform.HostsAddr }).onPlatform(PlatformServices),
	addrKey("platform", "weights_addr", "weight store", true, func(s *Settings) *string { return &s.Platform.WeightsAddr }).onPlatform(PlatformServices),

	intKey("platform", "partitions", "partitions", "8", 2, 1024, "partitions of each topic of the log store", func(s *Settings) *int { return &s.Platform.Store.Partitions }),
	intKey("platform", "record_bytes", "bytes", "262144", 4096, 64<<20, "maximum size of a record in the log store", func(s *Settings) *int { return &s.Platform.Store.RecordBytes }),
	intKey("platform", "append_bytes", "bytes", "2097152", 4096, 64<<20, "maximum total size of one append to the log store", func(s *Settings) *int { return &s.Platform.Store.AppendBytes }),
	durationKey("platform", "min_member_ttl", "1s", 100*time.Millisecond, time.Minute, "shortest TTL that the log store allows for a member of a consumer group", func(s *Settings) *time.Duration { return &s.Platform.Store.MinTTL }),

	addrKey("platform", "control_addr", "control API; if empty, there are no calls of it", false, func(s *Settings) *string { return &s.Platform.Control.Addr }),
	floatKey("platform", "control_calls_per_second", "calls/s", "50", 0.1, 10000, "calls that the control API accepts from all hosts together", func(s *Settings) *float64 { return &s.Platform.Control.CallsPerSecond }),
	textKey("platform", "control_duties", "names of the duties for which the control API is called, separated by commas; if empty, all", false, func(s *Settings) *string { return &s.Platform.Control.Duties }),

	{section: "auth", name: "caller_tokens", unit: "token list", doc: "tokens that callers may use; if empty, callers are not authenticated; not used if the configuration declares workspaces", set: setCallerTokens,
		get: func(s *Settings) string { return strings.Join(s.Auth.CallerTokens, ", ") }},
	textKey("auth", "operator_token", "token for status, explain and metrics; if empty, these are not authenticated", false, func(s *Settings) *string { return &s.Auth.OperatorToken }),
	textKey("auth", "cluster_token", "token shared by all entry hosts", true, func(s *Settings) *string { return &s.Auth.ClusterToken }).onPlatform(PlatformServices),
	textKey("auth", "backend_token", "token sent to backend servers", false, func(s *Settings) *string { return &s.Auth.BackendToken }),
	textKey("auth", "platform_token", "token sent to the log, the host list and the weight store", false, func(s *Settings) *string { return &s.Auth.PlatformToken }),

	intKey("limits", "body_bytes", "bytes", "1048576", 1024, 64<<20, "largest request body; a larger one gets 413", func(s *Settings) *int { return &s.Limits.BodyBytes }),
	intKey("limits", "max_connections", "connections", "0", 0, 1<<20, "connections of clients to all addresses; beyond it idle and slow ones are closed; 0 means three quarters of the descriptors that the process may open", func(s *Settings) *int { return &s.Limits.MaxConnections }),
	intKey("limits", "max_concurrency", "requests", "256", 1, 4096, "upper end of the adaptive concurrency limit per replica", func(s *Settings) *int { return &s.Limits.MaxConcurrency }),
	intKey("limits", "initial_concurrency", "requests", "4", 1, 4096, "concurrency limit of a replica for which there are no measurements", func(s *Settings) *int { return &s.Limits.InitialConcurrency }),
	floatKey("limits", "min_training_share", "share", "0.10", 0, 0.9, "minimum share of a replica for training under interactive load", func(s *Settings) *float64 { return &s.Limits.MinTrainingShare }),
	floatKey("limits", "retry_share", "share", "0.10", 0, 1, "retries as a share of requests over 10 s", func(s *Settings) *float64 { return &s.Limits.RetryShare }),
	intKey("limits", "retry_reserve", "retries", "3", 0, 1000, "retries allowed over 10 s regardless of retry_share", func(s *Settings) *int { return &s.Limits.RetryReserve }),
	intKey("limits", "crashes_to_refuse", "crashes", "3", 1, 100, "crashes of backend servers after which a request's content is refused", func(s *Settings) *int { return &s.Limits.CrashesToRefuse }),
	intKey("limits", "decision_log_per_second", "lines/s", "1000", 0, 100000, "maximum rate of decision log lines; lines above it are counted but not written", func(s *Settings) *int { return &s.Limits.DecisionLogPerSec }),
	{section: "limits", name: "spillover", unit: "switch", defaultText: switchOff, bounds: switchOff + " or " + switchOn, doc: "whether work leaves its data centre according to the shortage there and the cost of bytes; if off, servers in other data centres have a fixed cost", set: setSpillover,
		get: func(s *Settings) string { return switchText(s.Limits.Spillover) }},

	floatKey("limits", "cpu_share", "share", "1", 0.01, 1024, "share of its cores that the process may use; hosts with less than half a core in total leave partition ownership to larger hosts", func(s *Settings) *float64 { return &s.Limits.CPUShare }),
	floatKey("limits", "memory", "MB", "0", 0, 1<<20, "memory limit of the process; above 80 % of what the program itself leaves of it, garbage is collected more often; 0 means no limit", func(s *Settings) *float64 { return &s.Limits.MemoryMB }),
	floatKey("limits", "client_memory", "share", "0.45", 0.1, 0.9, "share of memory for all that clients make the process hold: connections, requests, responses, accepted jobs, cached blobs and recent decisions; 512 MB without a memory limit", func(s *Settings) *float64 { return &s.Limits.ClientMemory }),
	floatKey("limits", "job_memory", "MB", "64", 1, 1<<20, "memory for accepted jobs, two thirds of client_memory at most; further jobs are refused. Every host holds all jobs, so hosts with little memory need a value that fits into the smallest one", func(s *Settings) *float64 { return &s.Limits.JobMemoryMB }),
	boolKey("limits", "strict_revocation", "no request that is sent later than revoke_within after its key was removed may run; a host that has not read the store, or the log, for about nine tenths of that time refuses requests with keys", func(s *Settings) *bool { return &s.Limits.StrictRevocation }),
	floatKey("limits", "cores", "cores", "1", 0.01, 1024, "number of CPU cores of the host", func(s *Settings) *float64 { return &s.Limits.Cores }),

	durationKey("timing", "progress_timeout", "5s", 10*time.Millisecond, time.Hour, "longest gap between two chunks of a stream", func(s *Settings) *time.Duration { return &s.Timing.ProgressTimeout }),
	durationKey("timing", "drain_timeout", "60s", 0, 24*time.Hour, "longest time that a drain waits for requests in flight", func(s *Settings) *time.Duration { return &s.Timing.DrainTimeout }),
	durationKey("timing", "drain_delay", "2s", 0, time.Minute, "time between failing readiness and draining, in which the load balancer notices", func(s *Settings) *time.Duration { return &s.Timing.DrainDelay }),
	durationKey("timing", "lease_term", "6s", 100*time.Millisecond, time.Hour, "time after the last read of the view stream during which orders may be sent to engines that do not check fencing numbers", func(s *Settings) *time.Duration { return &s.Timing.LeaseTerm }),
	durationKey("timing", "log_retention", "24h", time.Second, 365*24*time.Hour, "retention of the log's streams; idempotency keys older than this are refused", func(s *Settings) *time.Duration { return &s.Timing.LogRetention }),
	durationKey("timing", "clock_skew", "5s", 0, time.Hour, "maximum difference between two clocks", func(s *Settings) *time.Duration { return &s.Timing.ClockSkew }),
	durationKey("timing", "answer_retention", "120s", time.Second, time.Hour, "how long a request's coordinator stores its response", func(s *Settings) *time.Duration { return &s.Timing.AnswerRetention }),
	durationKey("timing", "probe_interval", "500ms", 10*time.Millisecond, time.Minute, "time between two membership probes", func(s *Settings) *time.Duration { return &s.Timing.ProbeInterval }),
	durationKey("timing", "state_interval", "1s", 10*time.Millisecond, time.Minute, "time between two reads of an engine's state", func(s *Settings) *time.Duration { return &s.Timing.StateInterval }),
	durationKey("timing", "request_timeout", "60s", 100*time.Millisecond, time.Hour, "deadline of a request that does not specify one", func(s *Settings) *time.Duration { return &s.Timing.RequestTimeout }),

	durationKey("timing", "order_lease", "3s", 100*time.Millisecond, time.Hour, "shortest time between orders of two successive order owners to one replica", func(s *Settings) *time.Duration { return &s.Timing.OrderLease }),
	durationKey("timing", "stop_grace", "8s", time.Second, time.Hour, "time from SIGTERM until the platform kills the process", func(s *Settings) *time.Duration { return &s.Timing.StopGrace }),
	durationKey("timing", "job_end_grace", "3s", time.Second, time.Hour, "how long after the end of a job was acknowledged its items may still reach backend servers; hosts that have not read the store for about this time start none", func(s *Settings) *time.Duration { return &s.Timing.JobEndGrace }),
	durationKey("timing", "job_retention", "120s", time.Second, 24*time.Hour, "how long after its submission a job's results can be read", func(s *Settings) *time.Duration { return &s.Timing.JobRetention }),
	durationKey("timing", "revoke_within", "5s", 1250*time.Millisecond, time.Hour, "how long after the removal of a key was acknowledged its requests may still run, where strict_revocation is set", func(s *Settings) *time.Duration { return &s.Timing.RevokeWithin }),
	durationKey("timing", "usage_window", "5s", 100*time.Millisecond, time.Hour, "length of the windows in which the requests of workspaces are reported", func(s *Settings) *time.Duration { return &s.Timing.UsageWindow }),
	durationKey("timing", "usage_due", "10s", 100*time.Millisecond, time.Hour, "time from the end of a window until its usage report is due", func(s *Settings) *time.Duration { return &s.Timing.UsageDue }),

	textKey("tls", "cert_file", "certificate (PEM), read again when it changes", false, func(s *Settings) *string { return &s.TLS.CertFile }),
	textKey("tls", "key_file", "private key (PEM), read again when it changes", false, func(s *Settings) *string { return &s.TLS.KeyFile }),
	textKey("tls", "ca_file", "CA certificates (PEM) that verify other entry hosts", false, func(s *Settings) *string { return &s.TLS.CAFile }),

	{section: "policy", name: "name", unit: "name", defaultText: "sesamestand", bounds: "sesamestand or baseline", doc: "scheduling policy; baseline is round robin, first come first served, without surplus samples and with plain retries, for comparison", set: setPolicy,
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
			// An empty value means no address. Whether a required key has a value is
			// checked by setSection and Parse.
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

func intKey[T int | int64](section, name, unit, defaultText string, low, high T, doc string, field func(*Settings) *T) key {
	return key{section: section, name: name, unit: unit, defaultText: defaultText, doc: doc,
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

func boolKey(section, name, doc string, field func(*Settings) *bool) key {
	return key{section: section, name: name, unit: "switch", defaultText: "false", bounds: "true or false", doc: doc,
		set: func(s *Settings, value string) error {
			on, err := strconv.ParseBool(value)
			if err != nil {
				return fmt.Errorf("%q is not true or false", value)
			}
			*field(s) = on
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatBool(*field(s)) }}
}

func floatKey(section, name, unit, defaultText string, low, high float64, doc string, field func(*Settings) *float64) key {
	return key{section: section, name: name, unit: unit, defaultText: defaultText, doc: doc,
		bounds: fmt.Sprintf("%g to %g", low, high),
		set: func(s *Settings, value string) error {
			f, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return fmt.Errorf("%q is not a number", value)
			}
			// The condition is negated as a whole so that it also rejects NaN, for
			// which every comparison is false.
			if !(f >= low && f <= high) {
				return fmt.Errorf("%g is not in %g to %g", f, low, high)
			}
			*field(s) = f
			return nil
		},
		get: func(s *Settings) string { return strconv.FormatFloat(*field(s), 'g', -1, 64) }}
}

func durationKey(section, name, defaultText string, low, high time.Duration, doc string, field func(*Settings) *time.Duration) key {
	return key{section: section, name: name, unit: "duration", defaultText: defaultText, doc: doc,
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

// Values of switches.
const (
	switchOff = "off"
	switchOn  = "on"
)

func setSpillover(s *Settings, value string) error {
	if value != switchOff && value != switchOn {
		return fmt.Errorf("%q is neither %s nor %s", value, switchOff, switchOn)
	}
	s.Limits.Spillover = value == switchOn
	return nil
}

func switchText(on bool) string {
	if on {
		return switchOn
	}
	return switchOff
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
