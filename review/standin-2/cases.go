//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// readyLimit bounds the start of all hosts.
const readyLimit = 20 * time.Second

func plainRoute(kind string) map[string]any {
	return map[string]any{"name": "r-orders", "host": hostName, "prefix": "/lohu930/", "kind": kind, "timeout_ms": 800, "slo_ms": 150, "priority": 2, "service": "order-desk", "attempts": 2}
}

// desk starts the servers of the plain service.
func desk(w *world, n int) ([]*plainServer, error) {
	var servers []*plainServer
	for i := range n {
		s, err := newPlainServer(w, fmt.Sprintf("i-desk%d", i+1), zones[i%len(zones)], "order-desk", 6, 24, 25*time.Millisecond)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

var deskService = map[string]any{"name": "order-desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}

// begin starts the hosts and waits until all are ready.
func begin(ctx context.Context, w *world, hosts int, config map[string]any) error {
	w.store.put("op", "config", config)
	if err := w.addHosts(hosts); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return w.awaitReady(ctx)
}

// Doses of garble with "extra late" at linrounds: the share of a server's
// answers of which a second copy is sent, and the length of one disturbance.
const (
	copyShare  = 0.03
	copyWindow = 5 * time.Second
)

// refusalCopy sends bursts of requests that must not run twice, so that servers shed some.
// One
// server in three, at a time, sends second copies of a few answers, late.
func refusalCopy(ctx context.Context, w *world) ([]string, error) {
	servers, err := desk(w, len(zones))
	if err != nil {
		return nil, err
	}
	config := map[string]any{"version": 7, "routes": []any{plainRoute("non_idempotent")}, "services": []any{deskService}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	disturb := func(s *plainServer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		began, before, copies := time.Now(), s.answers, 0
		s.disturb = func(s *plainServer, id string, shed bool) disturbance {
			if !shed || time.Since(began) > copyWindow || float64(copies+1) > copyShare*float64(s.answers-before) {
				return none
			}
			copies++
			return twice
		}
		w.record.notef("disturbance: %s sends second copies of up to %g of its answers for %s", s.id, copyShare, copyWindow)
	}
	var mu sync.Mutex
	got := make(map[string]int)
	var sent sync.WaitGroup
	send := func(h *host) {
		sent.Go(func() {
			a := w.plain(h, http.MethodPost, "/lohu930/2f", []byte("order"), 800*time.Millisecond)
			mu.Lock()
			got[a.id] = a.status
			mu.Unlock()
		})
	}
	for round := range 3 * len(servers) {
		if w.trouble && round%3 == 0 {
			disturb(servers[round/3]) // one server after the other
		}
		// More requests than all servers hold, so that each of them sheds some.
		for i := range 150 {
			send(w.hosts[i%len(w.hosts)])
		}
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return nil, err
		}
		// Fewer than one server holds, at one host after the other.
		for _, h := range w.hosts {
			for range 15 {
				send(h)
			}
			if err := sleep(ctx, 120*time.Millisecond); err != nil {
				return nil, err
			}
		}
	}
	sent.Wait()
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	runs.Lock()
	defer runs.Unlock()
	var breaks []string
	served, refused := 0, 0
	for id, status := range got {
		ran := runs.byID[id]
		switch {
		case status == http.StatusOK:
			served++
		case status == http.StatusServiceUnavailable:
			refused++
		}
		if len(ran) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s of a non_idempotent route ran %d times, on %v; its client got %d", id, len(ran), ran, status))
		}
		if len(ran) > 0 && status == http.StatusServiceUnavailable {
			w.record.notef("besides, REFUSED: request %s ran on %v and was answered 503", id, ran)
		}
	}
	w.record.notef("%d requests, %d answered 200, %d answered 503", len(got), served, refused)
	if served < len(got)/4 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(got))
	}
	return breaks, nil
}

// Models and service of the replicas.
const (
	engineService = "draft-model"
	oldModel      = "route-note"
	newModel      = "stall-reply"
)

func rolloutRoute(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": hostName, "prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "priority": 1, "service": engineService, "attempts": 3, "retention_s": 40.0, "due_ms": 7500, "single_version": false, "sticky": true, "resumable": true}
}

func submission(prefix, model string, items int) (body []byte, ids []string) {
	var list []map[string]any
	for i := range items {
		id := newID()
		ids = append(ids, id)
		list = append(list, map[string]any{
			"id": id, "path": prefix + "3/" + id[:4], "headers": map[string]string{"X-Sesamestand-Model": model, "X-Sesamestand-Tokens": "271,400", "X-Sesamestand-Prefix-Hash": "9c2e41:255,5d07b8:16"},
			"body": []byte("prompt"), "tokens": 671, "group": fmt.Sprintf("g%d", i/4),
		})
	}
	return encode(map[string]any{"step": 0, "model": model, "min_version": 1, "group_count": items / 4, "items": list}), ids
}

// page is an answer to a read of a batch job.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID, State, Text string
		Versions        []int64
	} `json:"results"`
}

// results reads all results of a batch job, until the limit.
func (w *world) results(ctx context.Context, h *host, job string, limit time.Duration) (page, error) {
	var all page
	for end := time.Now().Add(limit); time.Now().Before(end); {
		a := w.ask(h, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job, all.Next), map[string]string{"X-Sesamestand-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
		if a.status != http.StatusOK {
			if err := sleep(ctx, 300*time.Millisecond); err != nil {
				return all, err
			}
			continue
		}
		var p page
		if err := json.Unmarshal(a.body, &p); err != nil {
			return all, err
		}
		all.Total, all.Next, all.Results = p.Total, p.Next, append(all.Results, p.Results...)
		if all.Next >= all.Total {
			return all, nil
		}
	}
	return all, nil
}

// workPartition returns the partition of the topic work that holds records of a batch job.
func (w *world) workPartition(job string) int {
	for p := range partitions {
		page, err := w.store.log.Read(context.Background(), logstore.Partition{Topic: "work", Number: p}, 0, 64<<20, 0)
		if err != nil {
			continue
		}
		for _, r := range page.Records {
			if r.Key == "j/"+job+"/0" {
				return p
			}
		}
	}
	return -1
}

// staleRunner adds a route for a trainer. The host that runs the items of the service
// learns of it later than the host that accepts the trainer's first step, because one of its
// connections to the store goes silent.
func staleRunner(ctx context.Context, w *world) ([]string, error) {
	for i := range 9 {
		if _, err := newEngine(w, fmt.Sprintf("i-draft%d", i+1), zones[i%len(zones)], engineService, []string{oldModel, newModel}); err != nil {
			return nil, err
		}
	}
	engines := map[string]any{"name": engineService, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": engineSlots, "kv_capacity": 45343, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 58, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
		"models": []map[string]string{{"name": oldModel}, {"name": newModel}},
	}}
	config := map[string]any{"version": 7, "routes": []any{rolloutRoute("r-old", "/pufi791/")}, "services": []any{engines}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil { // the memberships of the store's group settle
		return nil, err
	}
	// A first step shows which host runs the items of the service.
	body, _ := submission("/pufi791/", oldModel, 16)
	job := newID()
	if a := w.ask(w.hosts[0], http.MethodPost, "/pufi791/7c41e0", map[string]string{"X-Sesamestand-Request-Id": job, "Content-Type": "application/json"}, body, 4*time.Second); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("the first step was answered %d", a.status)
	}
	first, err := w.results(ctx, w.hosts[1], job, 15*time.Second)
	if err != nil || first.Next < 16 {
		return nil, fmt.Errorf("the first step has %d results: %v", first.Next, err)
	}
	runner := w.ownerOf(w.workPartition(job))
	if runner == nil {
		return nil, fmt.Errorf("the partition of the first step has no owner")
	}
	var entry *host
	for _, h := range w.hosts {
		if h != runner {
			entry = h
		}
	}
	w.record.notef("%s runs the items of the service", runner.name)
	if w.trouble {
		silenced, opened := w.store.silence(runner.name, "op")
		for range 50 {
			if silenced > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond) // between two long polls
			silenced, opened = w.store.silence(runner.name, "op")
		}
		if silenced != 1 {
			return nil, fmt.Errorf("%d connections of %s poll the operators' topic", silenced, runner.name)
		}
		w.record.notef("disturbance: 1 of %d connections that %s opened to the store goes silent", opened, runner.name)
	}
	config["version"], config["routes"] = 9, []any{rolloutRoute("r-old", "/pufi791/"), rolloutRoute("r-new", "/sute402/")}
	w.store.put("op", "config", config)
	w.record.notef("the store acknowledged the configuration with the new route")
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return nil, err
	}
	body, ids := submission("/sute402/", newModel, 52)
	job = newID()
	accepted := time.Now()
	if a := w.ask(entry, http.MethodPost, "/sute402/7c41e0", map[string]string{"X-Sesamestand-Request-Id": job, "Content-Type": "application/json"}, body, 4*time.Second); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("the step was answered %d", a.status)
	}
	results, err := w.results(ctx, w.hosts[1], job, 15*time.Second)
	if err != nil {
		return nil, err
	}
	errored := 0
	for _, r := range results.Results {
		if r.State == "errored" {
			errored++
		}
	}
	w.record.notef("the step has %d of %d results after %s, %d of them errored", results.Next, len(ids), time.Since(accepted).Round(time.Millisecond), errored)
	switch {
	case errored > 0:
		return []string{fmt.Sprintf("MIXED: %d of %d items of an accepted batch job were listed as errored %s after its 202, before any answer of 422 or 500, before retention_s (40 s), and with its job and its route in force", errored, len(ids), time.Since(accepted).Round(10*time.Millisecond))}, nil
	case results.Next < len(ids):
		return nil, fmt.Errorf("only %d of %d results arrived", results.Next, len(ids))
	}
	return nil, nil
}

// Doses of answer_lost with "reset" at linrounds: the share of a server's answers that are
// lost, and the length of one disturbance. A third of the servers is below its share of 0.5.
const (
	lostShare  = 0.05
	lostWindow = 4 * time.Second
)

// recoverAfter is the bound recover_s of the deployment.
const recoverAfter = 12 * time.Second

// refusedContent has clients open one page. Servers lose a few answers, one server after the
// other; at the end all hosts are killed and start again.
func refusedContent(ctx context.Context, w *world) ([]string, error) {
	servers, err := desk(w, len(zones))
	if err != nil {
		return nil, err
	}
	config := map[string]any{"version": 7, "routes": []any{plainRoute("idempotent")}, "services": []any{deskService}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	type sample struct {
		at     time.Time
		status int
	}
	var samples []sample
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var down atomic.Bool
	var traffic sync.WaitGroup
	traffic.Go(func() {
		ticker := time.NewTicker(time.Second / 30)
		defer ticker.Stop()
		for {
			select {
			case <-trafficCtx.Done():
				return
			case <-ticker.C:
			}
			if down.Load() {
				continue
			}
			traffic.Go(func() {
				a := w.plain(w.anyHost(), http.MethodGet, "/lohu930/trays/today", nil, 800*time.Millisecond)
				mu.Lock()
				samples = append(samples, sample{a.at, a.status})
				mu.Unlock()
			})
		}
	})
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	for _, s := range servers {
		if w.trouble {
			s.mu.Lock()
			began, before, lost := time.Now(), s.answers, 0
			s.disturb = func(s *plainServer, id string, shed bool) disturbance {
				if shed || time.Since(began) > lostWindow || float64(lost+1) > lostShare*float64(s.answers-before) {
					return none
				}
				lost++
				return loseReset
			}
			s.mu.Unlock()
			w.record.notef("disturbance: %s loses up to %g of its answers for %s", s.id, lostShare, lostWindow)
		}
		if err := sleep(ctx, lostWindow+500*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	fault := time.Now()
	if w.trouble {
		config["version"] = 9
		w.store.put("op", "config", config)
		w.record.notef("final fault: all processes are killed after the store acknowledged one more configuration")
		down.Store(true)
		for _, h := range w.hosts {
			w.kill(h)
		}
		if err := sleep(ctx, 1100*time.Millisecond); err != nil {
			return nil, err
		}
		if err := w.startAll(); err != nil {
			return nil, err
		}
		down.Store(false)
	}
	back := time.Now()
	readyCtx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := w.awaitReady(readyCtx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, time.Until(back.Add(recoverAfter+15*time.Second))); err != nil {
		return nil, err
	}
	stopTraffic()
	traffic.Wait()
	count := func(from, to time.Time) (served, all int) {
		for _, s := range samples {
			if s.at.Before(from) || !s.at.Before(to) {
				continue
			}
			all++
			if s.status == http.StatusOK {
				served++
			}
		}
		return served, all
	}
	servedBefore, before := count(time.Time{}, fault)
	servedAfter, after := count(back.Add(recoverAfter), time.Now())
	w.record.notef("served %d of %d requests before the final fault, %d of %d sent later than %s after the machines were back", servedBefore, before, servedAfter, after, recoverAfter)
	if 4*servedBefore < before || after == 0 {
		return nil, fmt.Errorf("served only %d of %d requests before the final fault", servedBefore, before)
	}
	if 4*servedAfter < after {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests sent later than %s after the machines were back were served, %d of %d before", servedAfter, after, recoverAfter, servedBefore, before)}, nil
	}
	return nil, nil
}

// stableWindow is the bound stable_window_ms of the deployment.
const stableWindow = 3 * time.Second

// silentCrash has a client send a request again and again that crashes each server which
// begins to run it. A server that crashes is dark for some seconds: it sends nothing, also no
// reset of its connections, before it is back.
func silentCrash(ctx context.Context, w *world) ([]string, error) {
	const path = "/lohu930/trays/odd"
	servers, err := desk(w, len(zones))
	if err != nil {
		return nil, err
	}
	config := map[string]any{"version": 7, "routes": []any{plainRoute("idempotent")}, "services": []any{deskService}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	if w.trouble {
		for _, s := range servers {
			s.mu.Lock()
			s.crashPath = path
			s.mu.Unlock()
		}
		w.record.notef("disturbance: %s crashes each server that begins to run it", path)
	}
	var third time.Time // when the request had crashed the third server
	var mu sync.Mutex
	sends := make(map[string]time.Time)
	var clients sync.WaitGroup
	for range 40 {
		clients.Go(func() {
			a := w.plain(w.anyHost(), http.MethodGet, path, nil, 800*time.Millisecond)
			mu.Lock()
			sends[a.id] = a.at
			mu.Unlock()
		})
		if err := sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		crashes := 0
		for _, s := range servers {
			s.mu.Lock()
			crashes += s.crashes
			s.mu.Unlock()
		}
		if third.IsZero() && crashes >= 3 {
			third = time.Now()
			w.record.notef("the request has crashed the third server")
		}
	}
	clients.Wait()
	if !w.trouble {
		return nil, nil
	}
	if third.IsZero() {
		return nil, fmt.Errorf("the request did not crash three servers")
	}
	runs.Lock()
	defer runs.Unlock()
	retries := 0
	for id, at := range sends {
		if len(runs.byID[id]) > 0 && at.After(third.Add(stableWindow)) {
			retries++
		}
	}
	w.record.notef("%d retries that were sent later than %s after the third crash reached servers", retries, stableWindow)
	if retries > 3 {
		return []string{fmt.Sprintf("BUDGET: a request that crashes the servers which run it reached servers in %d retries that were sent later than %s after it had crashed the third", retries, stableWindow)}, nil
	}
	return nil, nil
}

// Doses of srv_grey: one server of seven (a share of 0.15), which fails a share of 0.4 of its
// requests.
const (
	greyServers = 7
	failShare   = 0.4
)

// failed503 sends requests that must not run twice. One server fails part of its requests: it
// runs them and answers with status 503, signed and without X-Sesamestand-Not-Run.
func failed503(ctx context.Context, w *world) ([]string, error) {
	servers, err := desk(w, greyServers)
	if err != nil {
		return nil, err
	}
	config := map[string]any{"version": 7, "routes": []any{plainRoute("non_idempotent")}, "services": []any{deskService}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	if w.trouble {
		s := servers[0]
		s.mu.Lock()
		before, failed := s.answers, 0
		s.disturb = func(s *plainServer, id string, shed bool) disturbance {
			if shed || float64(failed+1) > failShare*float64(s.answers-before) {
				return none
			}
			failed++
			return fail
		}
		s.mu.Unlock()
		w.record.notef("disturbance: %s runs its requests, and answers up to %g of them with a failure", s.id, failShare)
	}
	var mu sync.Mutex
	got := make(map[string]answered)
	var clients sync.WaitGroup
	for range 100 {
		clients.Go(func() {
			a := w.plain(w.anyHost(), http.MethodPost, "/lohu930/2f", []byte("order"), 800*time.Millisecond)
			mu.Lock()
			got[a.id] = a
			mu.Unlock()
		})
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	runs.Lock()
	defer runs.Unlock()
	var breaks []string
	served := 0
	for id, a := range got {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran := runs.byID[id]; len(ran) > 0 {
				breaks = append(breaks, fmt.Sprintf("REFUSED: request %s of a non_idempotent route ran on %v and was answered %d", id, ran, a.status))
			}
		}
	}
	w.record.notef("%d requests, %d answered 200", len(got), served)
	if served < len(got)/4 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(got))
	}
	return breaks, nil
}

// memoryLimit is the memory of a machine of linrounds. A process that exceeds it is killed.
const memoryLimit = 174 << 20

// longIDs sends requests of legal size at one host whose request IDs are long.
func longIDs(ctx context.Context, w *world) ([]string, error) {
	if _, err := desk(w, len(zones)); err != nil {
		return nil, err
	}
	config := map[string]any{"version": 7, "routes": []any{plainRoute("idempotent")}, "services": []any{deskService}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	victim, most, over := w.hosts[0], int64(0), time.Time{}
	began := time.Now()
	filler := ""
	if w.trouble {
		filler = strings.Repeat("0123456789abcdef", 15<<10/16)
		w.record.notef("disturbance: clients send request IDs of %d bytes, in heads below max_header_bytes", len(filler)+16)
	}
	var served atomic.Int64
	for range 240 {
		var clients sync.WaitGroup
		for range 50 {
			clients.Go(func() {
				if a := w.quiet(victim, "/lohu930/trays/"+newID(), newID()+filler, 2*time.Second); a == http.StatusOK {
					served.Add(1)
				}
			})
		}
		clients.Wait()
		memory, err := residentMemory(victim.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		if memory > most {
			most = memory
		}
		if memory > memoryLimit && over.IsZero() {
			over = time.Now()
			w.record.notef("%s holds %d MB", victim.name, memory>>20)
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	w.record.notef("%d requests served; %s held %d MB at most", served.Load(), victim.name, most>>20)
	if !over.IsZero() {
		return []string{fmt.Sprintf("%s holds more than its machine's %d MB from %s after the first request on, and %d MB at most: the platform kills it", victim.name, memoryLimit>>20, over.Sub(began).Round(time.Second), most>>20)}, nil
	}
	return nil, nil
}

// residentMemory returns the resident memory of a process that this one started.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// Bounds ack_ms and cancel_ms of the deployment, and the time after which a trainer gives a
// step up.
const (
	ackLimit    = 4 * time.Second
	cancelLimit = 3 * time.Second
	stepLimit   = 12 * time.Second
)

// fullStore has a trainer ask for one step after the other. Their outputs, all together, take
// less than the store's 400 MB. The trainer ends the first step that has no results in time;
// later, the process that runs its items is killed.
func fullStore(ctx context.Context, w *world) ([]string, error) {
	w.store.limit = storeLimit
	for i := range 9 {
		e, err := newEngine(w, fmt.Sprintf("i-draft%d", i+1), zones[i%len(zones)], engineService, []string{oldModel})
		if err != nil {
			return nil, err
		}
		e.events, e.padding = 100, 2000
	}
	engines := map[string]any{"name": engineService, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": engineSlots, "kv_capacity": 45343, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
		"models": []map[string]string{{"name": oldModel}},
	}}
	config := map[string]any{"version": 7, "routes": []any{rolloutRoute("r-old", "/pufi791/")}, "services": []any{engines}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	for step := range 7 {
		body, ids := submission("/pufi791/", oldModel, 210)
		job := newID()
		a := w.ask(w.anyHost(), http.MethodPost, "/pufi791/7c41e0", map[string]string{"X-Sesamestand-Request-Id": job, "Content-Type": "application/json"}, body, 4*time.Second)
		if a.status != http.StatusAccepted {
			return nil, fmt.Errorf("step %d was answered %d", step, a.status)
		}
		got := 0
		for submitted := time.Now(); time.Since(submitted) < stepLimit && got < len(ids) && ctx.Err() == nil; {
			var p page
			read := w.ask(w.anyHost(), http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job, got), map[string]string{"X-Sesamestand-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
			if read.status == http.StatusOK && json.Unmarshal(read.body, &p) == nil {
				got += len(p.Results)
			}
		}
		w.record.notef("step %d has %d of %d results; the store holds %d MB of outputs, %d MB of partial outputs and %d MB of payloads", step, got, len(ids),
			w.store.storedBytes("blobs", "t/")>>20, w.store.storedBytes("blobs", "c/")>>20, w.store.storedBytes("blobs", "b/")>>20)
		ended, acknowledged := time.Now(), false
		for !acknowledged && time.Since(ended) < ackLimit && ctx.Err() == nil {
			acknowledged = w.ask(w.anyHost(), http.MethodDelete, "/v1/lots/"+job, nil, nil, 2*time.Second).status == http.StatusOK
			if !acknowledged {
				time.Sleep(200 * time.Millisecond)
			}
		}
		if acknowledged {
			continue
		}
		w.record.notef("the end of step %d got no acknowledgement in %s", step, ackLimit)
		return w.afterUnacknowledgedEnd(ctx, job, ids, ended.Add(ackLimit+cancelLimit))
	}
	return nil, nil
}

// afterUnacknowledgedEnd kills the process that runs the items of a job after the time from
// which none of them may be run, and returns those that are.
func (w *world) afterUnacknowledgedEnd(ctx context.Context, job string, ids []string, limit time.Time) ([]string, error) {
	if err := sleep(ctx, time.Until(limit.Add(500*time.Millisecond))); err != nil {
		return nil, err
	}
	runner := w.ownerOf(w.workPartition(job))
	if runner == nil {
		return nil, fmt.Errorf("the partition of the step has no owner")
	}
	if w.trouble {
		w.record.notef("disturbance: the process of %s, which runs the items, is killed", runner.name)
		w.kill(runner)
		if err := sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		if err := w.start(runner); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	late := 0
	for _, id := range ids {
		if at, ok := began.Load(id); ok && at.(time.Time).After(limit) {
			late++
		}
	}
	if late > 0 {
		return []string{fmt.Sprintf("UNASKED: %d items of a batch job reached replicas and ran later than %s after its end counted as acknowledged", late, cancelLimit)}, nil
	}
	return nil, nil
}
