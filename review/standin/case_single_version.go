//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The disruption node_slow of the site file, with the variant "giver" of the kinds: the
// machine that gave the last order runs 5.5 times slower for 5.5 s. It comes several times.
const (
	slowFactor   = 5.5
	slowWindow   = 5500 * time.Millisecond
	slowInterval = 6500 * time.Millisecond // from the start of a window to that of the next one
	slowSlice    = 4 * time.Millisecond
)

const playTime = 90 * time.Second

// slowDown slows down the host that gave the last order, until the given time.
func (w *world) slowDown(holder func() string, until time.Time) {
	for time.Now().Before(until) {
		last := holder()
		for _, h := range w.hosts {
			if last != "" && strings.HasPrefix(last, h.name+"-") {
				w.record.add("host %s runs %.1f times slower for %d ms", h.name, slowFactor, slowWindow.Milliseconds())
				h.slow(slowWindow)
				w.record.add("host %s runs as before", h.name)
			}
		}
		time.Sleep(slowInterval - slowWindow)
	}
}

// slow lets the process run for one of slowFactor slices.
func (h *host) slow(d time.Duration) {
	process := h.process.Process
	defer func() { _ = process.Signal(syscall.SIGCONT) }()
	for end := time.Now().Add(d); time.Now().Before(end); {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration((slowFactor - 1) * float64(slowSlice)))
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(slowSlice)
	}
}

// singleVersion plays a trainer on a route with single_version. Each result must have one
// version.
func singleVersion(w *world) error {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var mu sync.Mutex
	holder := "" // of the last order
	groups := []int{18}
	var trainers []*trainer
	var routes, models []map[string]any
	for i, n := range groups {
		t := &trainer{
			world: w, model: fmt.Sprintf("model-%d", i), prefix: fmt.Sprintf("/lot%d/", i), groups: n, wanted: n * 9 / 10, named: 1,
			random: rand.New(rand.NewPCG(random.Uint64(), 2)),
			check: func(job string, _ time.Duration, r result) {
				made := versionsOfText(r.Text)
				w.record.add("job %s lists %s %s versions %v, made under %v", job, r.ID, r.State, r.Versions, made)
				if r.State == "finished" && (len(r.Versions) != 1 || len(made) != 1) {
					w.record.broken("VERSION: result %s of job %s on a single_version route has versions %v, its events were made under %v", r.ID, job, r.Versions, made)
				}
			},
		}
		trainers = append(trainers, t)
		routes = append(routes, map[string]any{
			"name": t.model, "host": siteHost, "prefix": t.prefix, "kind": "rollout", "service": "atelier-lm", "timeout_ms": 10000, "slo_ms": 400,
			"due_ms": dueTime.Milliseconds(), "retention_s": 40, "attempts": 3, "priority": 1, "sticky": true, "single_version": true,
		})
		models = append(models, map[string]any{"name": t.model})
	}
	config, _ := json.Marshal(map[string]any{
		"version": 3, "routes": routes,
		"services": []map[string]any{{"name": "atelier-lm", "max_conns": 160, "health_path": "/health", "engine": map[string]any{"slots": slots, "stride": 58, "kv_capacity": memoryTokens, "models": models}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 32 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	w.store.put("op", "config", config)
	named := func(model string) int64 {
		for _, t := range trainers {
			if t.model == model {
				return t.newest()
			}
		}
		return 0
	}
	for i := range replicaCount {
		r := &replica{
			id: fmt.Sprintf("i-%02d", i), service: "atelier-lm", zone: zones[i%len(zones)], slots: slots,
			record: w.record, store: w.store, onOrder: func(by string) {
				mu.Lock()
				defer mu.Unlock()
				holder = by
			},
			events: runEvents, named: named, models: make(map[string]int64),
		}
		for _, t := range trainers {
			r.models[t.model] = 1
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := w.startHosts(7); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if w.trouble {
		lastHolder := func() string {
			mu.Lock()
			defer mu.Unlock()
			return holder
		}
		go w.slowDown(lastHolder, began.Add(playTime))
	}
	var done sync.WaitGroup
	for _, t := range trainers {
		done.Go(func() { t.run(began.Add(playTime)) })
	}
	done.Wait()
	steps := 0
	for _, t := range trainers {
		steps += t.steps
	}
	w.record.add("%d steps", steps)
	if steps < 10 {
		return fmt.Errorf("%w: only %d steps", errCannotRun, steps)
	}
	return nil
}
