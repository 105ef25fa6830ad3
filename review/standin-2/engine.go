//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model replica. It runs items as streams of events, reports on
// itself and takes orders. It loads no weights slower than loadTime.
type engine struct {
	w    *world
	id   string
	addr string

	mu       sync.Mutex
	events   int // of an item
	padding  int // bytes of an event beside its text
	versions map[string]int64
	busy     bool
	orders   int
	running  int
}

const (
	engineSlots  = 12
	eventTime    = 40 * time.Millisecond
	eventsOfItem = 10
	loadTime     = 900 * time.Millisecond
)

func newEngine(w *world, id, zone, service string, models []string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, addr: listener.Addr().String(), events: eventsOfItem, versions: make(map[string]int64)}
	for _, m := range models {
		e.versions[m] = 1
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		born := time.Now().UnixMilli()
		for seq := 1; ; seq++ {
			w.store.put("servers", id, map[string]any{
				"service": service, "addr": e.addr, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
				"stage": "both", "models": e.models(), "seq": seq, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e, nil
}

func (e *engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []map[string]any
	for name, version := range e.versions {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements the calls of a replica.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Sesamestand-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Sesamestand-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		models := e.models()
		e.mu.Lock()
		report := map[string]any{"stage": "both", "models": models, "busy": e.busy, "seq": e.orders, "waiting": 0, "running": e.running, "kv_used": 0, "kv_total": 45343, "handles": 0}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(report))
	case "/v1/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version, Fence          int64
		Precondition            *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.record.notef("replica %s is ordered %s of %s by %s, fence %d", e.id, strconv.FormatInt(o.Version, 10), o.Model, o.Holder, o.Fence)
	switch {
	case e.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	case e.busy || o.Precondition != nil && *o.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.busy = true
		e.orders++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.versions[o.Model] = false, o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// run runs an item to its end, or resumes it after the event that the request names.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get("X-Sesamestand-Request-Id"), r.Header.Get("X-Sesamestand-Model")
	e.mu.Lock()
	version := e.versions[model]
	full := e.running >= engineSlots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	w.Header().Set("X-Sesamestand-Request-Id", id)
	if full {
		w.Header().Set("X-Sesamestand-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if expected := r.Header.Get("X-Sesamestand-Expect-Version"); expected != "" && expected != strconv.FormatInt(version, 10) {
		w.Header().Set("X-Sesamestand-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if after, err := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id"))); err == nil {
		first = after + 1
	}
	began.Store(id, time.Now())
	e.w.record.notef("replica %s runs item %s from event %d", e.id, id, first)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Sesamestand-Stamp", e.id+"."+id)
	w.Header().Set("X-Sesamestand-Weight-Versions", strconv.FormatInt(version, 10))
	controller := http.NewResponseController(w)
	for n := first; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			e.w.record.notef("replica %s drops item %s: its connection closed", e.id, id)
			return
		case <-time.After(eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", n, eventText(id, n), strings.Repeat(".", e.padding)); err != nil {
			return
		}
		_ = controller.Flush()
	}
	e.w.record.notef("replica %s finished item %s", e.id, id)
}

// began holds when the last run of an item began, by the item's ID.
var began sync.Map

func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }
