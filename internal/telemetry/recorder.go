// Package telemetry records decisions as structured log lines and measurements
// as OpenTelemetry metrics.
package telemetry

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/requestid"
)

// Recent decisions are retained for explain requests.
const (
	explainCapacity = 20000
	// decisionBytes is the memory of a decision beside its text, detailBytes that of a key
	// or a value.
	decisionBytes = 128
	detailBytes   = 32
	// maxTextBytes bounds a text in a decision: error messages may quote what clients sent.
	maxTextBytes = 1 << 10
)

// Recorder records the decisions and metrics of one process. It is safe for
// concurrent use.
type Recorder struct {
	host     string
	registry *prometheus.Registry
	meter    metric.Meter
	limiter  *rate.Limiter

	mu         sync.Mutex
	counters   map[string]metric.Int64Counter
	gauges     map[string]metric.Int64Gauge
	histograms map[string]metric.Float64Histogram
	totals     map[string]int64
	decisions  []Decision // oldest first, up to explainCapacity
	account    *account.Account
	evictions  *rate.Limiter // of log lines
}

// Decision is one recorded routing or placement decision.
type Decision struct {
	Kind      string `json:"kind"`
	RequestID string `json:"request_id,omitempty"`
	Details   []any  `json:"details"` // alternating keys and values
}

// NewRecorder returns a recorder for the host. It logs at most decisionsPerSecond
// decisions per second.
func NewRecorder(host string, decisionsPerSecond int) (*Recorder, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create the Prometheus exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Recorder{
		host:       host,
		registry:   registry,
		meter:      provider.Meter("sesamestand"),
		limiter:    rate.NewLimiter(rate.Limit(decisionsPerSecond), decisionsPerSecond),
		counters:   make(map[string]metric.Int64Counter),
		gauges:     make(map[string]metric.Int64Gauge),
		histograms: make(map[string]metric.Float64Histogram),
		totals:     make(map[string]int64),
		account:    account.Unlimited(),
		evictions:  rate.NewLimiter(rate.Every(time.Minute), 1),
	}, nil
}

// CountOn counts the retained decisions on an account, by which they are limited. It must
// be called before the first decision.
func (r *Recorder) CountOn(a *account.Account) { r.account = a }

// RecordDecision records one routing or placement decision with alternating keys
// and values. The kind is a fixed string, for example "route" or "place". Above the
// configured rate the log line is dropped, but Explain still returns the decision. Long
// texts are shortened.
func (r *Recorder) RecordDecision(kind, requestID string, keysAndValues ...any) {
	decision := Decision{Kind: kind, RequestID: requestid.Short(requestID), Details: keysAndValues}
	decision.shorten()
	if r.limiter.Allow() {
		klog.InfoS("decision", append([]any{"host", r.host, "kind", kind, "request_id", decision.RequestID}, decision.Details...)...)
	} else {
		r.Count("decision_lines_dropped_total")
	}
	if evicted := r.retain(decision); evicted > 0 {
		r.Add("decisions_evicted_total", int64(evicted))
		if r.evictions.Allow() {
			klog.InfoS("recent decisions evicted for memory", "evicted", evicted, "held_bytes", r.account.Held(account.Decisions))
		}
	}
}

// retain retains a decision, and returns how many were evicted because of their memory.
func (r *Recorder) retain(decision Decision) (evicted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) == explainCapacity {
		r.evictOldest()
	}
	r.decisions = append(r.decisions, decision)
	r.account.Add(account.Decisions, decision.size())
	for len(r.decisions) > 1 && r.account.Held(account.Decisions) > r.account.Limits().Decisions {
		r.evictOldest()
		evicted++
	}
	return evicted
}

// evictOldest evicts the oldest decision. The caller holds mu.
func (r *Recorder) evictOldest() {
	r.account.Add(account.Decisions, -r.decisions[0].size())
	r.decisions[0] = Decision{}
	r.decisions = r.decisions[1:]
}

// shorten shortens long texts among the details.
func (d *Decision) shorten() {
	for i, detail := range d.Details {
		if text, ok := detail.(string); ok && len(text) > maxTextBytes {
			d.Details = slices.Clone(d.Details)
			d.Details[i] = strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
		}
	}
}

// size returns the memory of the decision.
func (d *Decision) size() int64 {
	size := decisionBytes + len(d.RequestID) + len(d.Details)*detailBytes
	for _, detail := range d.Details {
		if text, ok := detail.(string); ok {
			size += len(text)
		}
	}
	return int64(size)
}

// Explain returns the retained decisions about a request, oldest first.
func (r *Recorder) Explain(requestID string) []Decision {
	requestID = requestid.Short(requestID)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for _, d := range r.decisions {
		if d.RequestID == requestID {
			found = append(found, d)
		}
	}
	return found
}

// Count adds one to a counter. Labels alternate names and values.
func (r *Recorder) Count(name string, labels ...string) { r.Add(name, 1, labels...) }

// Add adds n to a counter. Labels alternate names and values.
func (r *Recorder) Add(name string, n int64, labels ...string) {
	r.mu.Lock()
	counter, ok := r.counters[name]
	if !ok {
		var err error
		counter, err = r.meter.Int64Counter("sesamestand_" + strings.TrimSuffix(name, "_total"))
		if err != nil {
			klog.ErrorS(err, "failed to create counter", "name", name)
		}
		r.counters[name] = counter
	}
	r.totals[totalKey(name, labels)] += n
	r.mu.Unlock()
	counter.Add(context.Background(), n, metric.WithAttributes(attributes(labels)...))
}

// Set sets a gauge. Labels alternate names and values.
func (r *Recorder) Set(name string, value int64, labels ...string) {
	r.mu.Lock()
	gauge, ok := r.gauges[name]
	if !ok {
		var err error
		gauge, err = r.meter.Int64Gauge("sesamestand_" + name)
		if err != nil {
			klog.ErrorS(err, "failed to create gauge", "name", name)
		}
		r.gauges[name] = gauge
	}
	r.mu.Unlock()
	gauge.Record(context.Background(), value, metric.WithAttributes(attributes(labels)...))
}

// Observe records a value in a histogram. The name must end in the unit, for
// example "queue_wait_seconds". Labels alternate names and values.
func (r *Recorder) Observe(name string, value float64, labels ...string) {
	r.mu.Lock()
	histogram, ok := r.histograms[name]
	if !ok {
		var err error
		histogram, err = r.meter.Float64Histogram("sesamestand_" + name)
		if err != nil {
			klog.ErrorS(err, "failed to create histogram", "name", name)
		}
		r.histograms[name] = histogram
	}
	r.mu.Unlock()
	histogram.Record(context.Background(), value, metric.WithAttributes(attributes(labels)...))
}

// Total is the current value of one counter with one set of labels.
type Total struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Totals returns the values of all counters, ordered by name, for status pages
// and tests.
func (r *Recorder) Totals() []Total {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make([]Total, 0, len(r.totals))
	for name, value := range r.totals {
		totals = append(totals, Total{Name: name, Value: value})
	}
	sort.Slice(totals, func(i, j int) bool { return totals[i].Name < totals[j].Name })
	return totals
}

// Handler returns a handler that serves the metrics in the Prometheus format.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

func attributes(labels []string) []attribute.KeyValue {
	pairs := make([]attribute.KeyValue, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, attribute.String(labels[i], labels[i+1]))
	}
	return pairs
}

func totalKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i] + "=" + labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}
