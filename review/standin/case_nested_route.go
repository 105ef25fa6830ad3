//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	jobRetention = 40 * time.Second // retention_s of the route of the jobs
	nestedTime   = 40 * time.Second
	// nestedAfter is the time after a job was accepted at which the operator adds the
	// nested route, and nestedStep the step of that job.
	nestedAfter = 1500 * time.Millisecond
	nestedStep  = 2
)

// nestedRoute adds a route with a longer prefix while a job is open whose submission had
// a path below that prefix. The route of the job stays as it is.
func nestedRoute(w *world) error {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	t := &trainer{world: w, model: "model-0", prefix: "/lot0/", folder: "fi78/", groups: 18, wanted: 16, named: 1, random: random}
	route := map[string]any{
		"name": "r-lot0", "host": siteHost, "prefix": "/lot0/", "kind": "rollout", "service": "atelier-lm", "timeout_ms": 10000, "slo_ms": 400,
		"due_ms": dueTime.Milliseconds(), "retention_s": jobRetention.Seconds(), "attempts": 3, "priority": 1, "sticky": true,
	}
	nested := map[string]any{
		"name": "r-fi78", "host": siteHost, "prefix": "/lot0/fi78/", "kind": "idempotent", "service": "galerie", "timeout_ms": 800, "slo_ms": 150,
		"attempts": 2, "priority": 2,
	}
	configure := func(version int, routes ...map[string]any) {
		config, _ := json.Marshal(map[string]any{
			"version": version, "routes": routes,
			"services": []map[string]any{
				{"name": "atelier-lm", "max_conns": 160, "health_path": "/health", "engine": map[string]any{"slots": slots, "stride": 58, "kv_capacity": memoryTokens, "models": []map[string]any{{"name": t.model}}}},
				{"name": "galerie", "max_conns": 110, "health_path": "/health"},
			},
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 32 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		})
		w.store.put("op", "config", config)
		w.record.add("configuration %d with %d routes acknowledged", version, len(routes))
	}
	configure(3, route)
	var mu sync.Mutex
	lastRun := make(map[string]string)
	t.check = func(job string, age time.Duration, r result) {
		w.record.add("job %s lists %s %s with %d bytes after %d ms", job, r.ID, r.State, len(r.Text), age.Milliseconds())
		mu.Lock()
		at := lastRun[r.ID]
		mu.Unlock()
		if r.State == "errored" && age < jobRetention {
			w.record.broken("MIXED: item %s of job %s is errored %d ms after the submission (retention_s %.0f); no replica answered 422 or 500, the job is open and its route is configured; last run: %s", r.ID, job, age.Milliseconds(), jobRetention.Seconds(), at)
		}
	}
	for i := range replicaCount + 3 {
		r := &replica{
			id: fmt.Sprintf("i-%02d", i), service: "atelier-lm", zone: zones[i%len(zones)], slots: slots, record: w.record, store: w.store,
			events: runEvents, named: func(string) int64 { return t.newest() }, models: map[string]int64{t.model: 1},
			onRun: func(id, server string) {
				mu.Lock()
				defer mu.Unlock()
				lastRun[id] = "at " + server
			},
		}
		if i >= replicaCount {
			r.id, r.service, r.slots, r.models, r.events = fmt.Sprintf("g-%02d", i), "galerie", 6, nil, nil
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := w.startHosts(4); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	t.accepted = func(step int64) {
		if step != nestedStep {
			return
		}
		time.Sleep(nestedAfter)
		t.mu.Lock()
		t.moved = true
		t.mu.Unlock()
		if w.trouble {
			configure(5, route, nested)
		} else {
			configure(5, route)
		}
	}
	t.run(began.Add(nestedTime))
	mu.Lock()
	defer mu.Unlock()
	for id, at := range lastRun {
		if strings.HasPrefix(at, "at g-") {
			w.record.broken("ROUTE: item %s was run %s, a server of galerie", id, at)
		}
	}
	if t.steps < 3 {
		return fmt.Errorf("%w: only %d steps", errCannotRun, t.steps)
	}
	return nil
}
