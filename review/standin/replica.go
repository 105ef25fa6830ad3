//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests and responses.
const (
	headerRequestID      = "X-Sesamestand-Request-Id"
	headerDeadline       = "X-Sesamestand-Deadline-Ms"
	headerStamp          = "X-Sesamestand-Stamp"
	headerExpectInstance = "X-Sesamestand-Expect-Instance"
	headerExpectVersion  = "X-Sesamestand-Expect-Version"
	headerInstance       = "X-Sesamestand-Instance"
	headerNotRun         = "X-Sesamestand-Not-Run"
	headerVersions       = "X-Sesamestand-Weight-Versions"
	headerModel          = "X-Sesamestand-Model"
	headerTokens         = "X-Sesamestand-Tokens"
	headerWait           = "X-Sesamestand-Wait-Ms"
	headerLastEventID    = "Last-Event-Id"
	headerServerLeaving  = "Server-Leaving"
)

// Parameters of replicas, as in the site file of asam-proofs.
const (
	replicaCount = 12
	slots        = 12
	memoryTokens = 94839
	heartbeat    = 1200 * time.Millisecond
	loadTime     = 900 * time.Millisecond
	reportLag    = 200 * time.Millisecond
	pageTime     = 25 * time.Millisecond // of a plain request
	eventPause   = 37 * time.Millisecond // 58 tokens, 0.637 ms each
)

// replica is a stand-in for a backend server: a model replica, or a plain server that
// streams if models is empty.
type replica struct {
	id, service, zone, addr string
	born                    int64
	slots                   int
	record                  *record
	store                   *store
	// onOrder is called with the holder of each order. It may be nil.
	onOrder func(holder string)
	// pauseAt returns the event before which a run of a request is silent, and for how
	// long. Nil means no pause.
	pauseAt func(requestID string) (event int, pause time.Duration)
	// events returns the number of events of a request.
	events func(requestID string) int
	// onRun is called for each request that begins to run. It may be nil.
	onRun func(requestID, server string)

	// leaving is set if the server says in all its answers that it is leaving.
	leaving atomic.Bool

	mu       sync.Mutex
	models   map[string]int64 // weight version by model
	named    func(model string) int64
	running  map[string]int // runs by model
	inFlight int
	loading  string
	orders   int64
	fence    int64
	history  []snapshot
}

// snapshot is what a report shows from a time on.
type snapshot struct {
	at     time.Time
	models map[string]int64
	busy   bool
	orders int64
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr, r.born, r.running = listener.Addr().String(), time.Now().UnixMilli(), make(map[string]int)
	r.mu.Lock()
	r.changed()
	r.mu.Unlock()
	go func() { _ = (&http.Server{Handler: r, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	go func() {
		for seq := 1; ; seq++ {
			r.register(seq)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// changed adds the present state to the history of reports. The caller holds mu.
func (r *replica) changed() {
	models := make(map[string]int64, len(r.models))
	for name, version := range r.models {
		models[name] = version
	}
	r.history = append(r.history, snapshot{at: time.Now(), models: models, busy: r.loading != "", orders: r.orders})
}

// reported returns the state of reportLag ago.
func (r *replica) reported() snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	shown := r.history[0]
	for _, s := range r.history {
		if time.Since(s.at) >= reportLag {
			shown = s
		}
	}
	return shown
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s snapshot) modelStates() []modelState {
	states := make([]modelState, 0, len(s.models))
	for name, version := range s.models {
		states = append(states, modelState{Name: name, Version: version, Adapters: []string{}})
	}
	return states
}

func (r *replica) register(seq int) {
	data, _ := json.Marshal(r.entry(seq))
	r.store.put("servers", r.id, data)
}

// entry returns the server's entry in the registry.
func (r *replica) entry(seq int) map[string]any {
	entry := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "1.0", "slots": r.slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": r.born,
	}
	if r.models != nil {
		entry["stage"], entry["models"] = "both", r.reported().modelStates()
	}
	return entry
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerRequestID)
	w.Header().Set(headerInstance, r.id)
	if r.leaving.Load() {
		w.Header().Set(headerServerLeaving, "1")
	}
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
	if want := req.Header.Get(headerExpectInstance); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch {
	case req.URL.Path == "/v1/report":
		s := r.reported()
		r.mu.Lock()
		running := r.inFlight
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": s.modelStates(), "busy": s.busy, "seq": s.orders, "waiting": 0, "running": running, "kv_used": 0, "kv_total": memoryTokens, "handles": 0, "born": r.born})
	case req.URL.Path == "/v1/order":
		r.serveOrder(w, req, body)
	case id == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		r.serveRun(w, req, id)
	}
}

type order struct {
	Op, Model, Mode, Holder string
	Version, Fence          int64
	Precondition            *int64
}

func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.onOrder != nil {
		r.onOrder(o.Holder)
	}
	status := r.carryOut(o)
	r.record.add("order to %s: %s v%d mode %s fence %d, answer %d", r.id, o.Model, o.Version, o.Mode, o.Fence, status)
	w.WriteHeader(status)
}

// carryOut accepts or refuses an order and returns the status of its response.
func (r *replica) carryOut(o order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, known := r.models[o.Model]
	switch {
	case !known || o.Version > r.named(o.Model):
		return http.StatusBadRequest
	case o.Fence < r.fence:
		return http.StatusPreconditionFailed
	case r.loading != "" || (o.Precondition != nil && *o.Precondition != r.orders):
		return http.StatusConflict
	case current >= o.Version:
		return http.StatusOK
	}
	r.fence, r.loading = o.Fence, o.Model
	r.orders++
	r.changed()
	go r.load(o)
	return http.StatusAccepted
}

// load carries out an accepted order. With mode wait, the current runs finish first; with
// retain, they go on under the new version.
func (r *replica) load(o order) {
	for o.Mode == "wait" {
		r.mu.Lock()
		done := r.running[o.Model] == 0
		r.mu.Unlock()
		if done {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models[o.Model], r.loading = o.Version, ""
	r.changed()
	r.record.add("%s has %s v%d", r.id, o.Model, o.Version)
}

func (r *replica) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// serveRun runs a request and sends its events.
func (r *replica) serveRun(w http.ResponseWriter, req *http.Request, id string) {
	model := req.Header.Get(headerModel)
	r.mu.Lock()
	version := r.models[model]
	switch want := req.Header.Get(headerExpectVersion); {
	case want != "" && want != strconv.FormatInt(version, 10):
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.inFlight >= r.slots || (model != "" && r.loading == model):
		r.mu.Unlock()
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	r.inFlight++
	r.running[model]++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.inFlight--
		r.running[model]--
		r.mu.Unlock()
	}()
	first := 1
	if last, err := strconv.Atoi(req.Header.Get(headerLastEventID)); err == nil {
		first = last + 1
	}
	r.record.add("run %s at %s from event %d, version %d", id, r.id, first, version)
	if r.onRun != nil {
		r.onRun(id, r.id)
	}
	header := w.Header()
	if r.models == nil && r.events == nil {
		time.Sleep(pageTime)
		header.Set(headerStamp, fmt.Sprintf("%s.%s", r.id, id))
		_, _ = fmt.Fprintf(w, "page for %s", id)
		return
	}
	header.Set(headerStamp, fmt.Sprintf("%s.%s", r.id, id))
	header.Set("Content-Type", "text/event-stream")
	if r.models != nil {
		header.Set(headerVersions, strconv.FormatInt(version, 10))
	}
	pauseBefore, pause := 0, time.Duration(0)
	if r.pauseAt != nil {
		pauseBefore, pause = r.pauseAt(id)
	}
	events := r.events(id)
	for n := first; n <= events; n++ {
		wait := eventPause
		if n == pauseBefore {
			wait = pause
		}
		select {
		case <-req.Context().Done():
			r.record.add("run %s at %s cut by the caller before event %d of %d", id, r.id, n, events)
			return
		case <-time.After(wait):
		}
		text := ""
		if r.models != nil {
			r.mu.Lock()
			current := r.models[model]
			r.mu.Unlock()
			if current != version {
				version = current
				text = fmt.Sprintf("%s: %d\n", lowerHeaderVersions, version)
			}
		}
		text += fmt.Sprintf("id: %d\ndata: %s/%d/v%d\n\n", n, id, n, version)
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	r.record.add("run %s at %s complete with %d events, version %d", id, r.id, events, version)
}

const lowerHeaderVersions = "x-sesamestand-weight-versions"
