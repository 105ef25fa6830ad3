//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	pageEvery      = 25 * time.Millisecond
	leavingAfter   = 4 * time.Second
	foreignAfter   = 7 * time.Second // from the start; the server says that it leaves since leavingAfter
	foreignEntries = 3               // within one heartbeat
	missingTime    = 14 * time.Second
	drainTime      = 2 * time.Second // drain_ms
)

// page is a plain request as its client and its server have seen it.
type page struct {
	host    *host
	sent    time.Time
	reached map[string]bool // servers that ran it
}

// missingField has a server say in its answers that it is leaving, and writes an entry
// without a field under its ID, as another writer may.
func missingField(w *world) error {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	config, _ := json.Marshal(map[string]any{
		"version":  3,
		"routes":   []map[string]any{{"name": "pages", "host": siteHost, "prefix": "/pages/", "kind": "idempotent", "service": "galerie", "timeout_ms": 800, "slo_ms": 150, "attempts": 2, "priority": 2}},
		"services": []map[string]any{{"name": "galerie", "max_conns": 110, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 32 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	w.store.put("op", "config", config)
	var mu sync.Mutex
	pages := make(map[string]*page)
	var servers []*replica
	for i := range 3 {
		r := &replica{
			id: fmt.Sprintf("g-%02d", i), service: "galerie", zone: zones[i], slots: 6, record: w.record, store: w.store,
			onRun: func(id, server string) {
				mu.Lock()
				defer mu.Unlock()
				if p := pages[id]; p != nil {
					p.reached[server] = true
				}
			},
		}
		if err := r.start(); err != nil {
			return err
		}
		servers = append(servers, r)
	}
	if err := w.startHosts(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	leaver := servers[0]
	time.AfterFunc(leavingAfter, func() {
		w.record.add("%s says in its answers that it is leaving", leaver.id)
		leaver.leaving.Store(true)
	})
	for i := range foreignEntries {
		if !w.trouble {
			break
		}
		// One entry could be replaced by the server's own a moment later.
		time.AfterFunc(foreignAfter+time.Duration(i)*heartbeat/foreignEntries, func() {
			entry := leaver.entry(1)
			delete(entry, "born")
			data, _ := json.Marshal(entry)
			w.store.put("servers", leaver.id, data)
			w.record.add("another writer writes an entry of %s: %s", leaver.id, data)
		})
	}
	passed := make(map[*host]time.Time) // when a host first passed on that the server is leaving
	served := 0
	var done sync.WaitGroup
	for time.Since(began) < missingTime {
		id, h := randomID(random), w.hosts[random.IntN(len(w.hosts))]
		mu.Lock()
		pages[id] = &page{host: h, sent: time.Now(), reached: make(map[string]bool)}
		mu.Unlock()
		done.Go(func() {
			header := w.page(h, id)
			mu.Lock()
			defer mu.Unlock()
			if header == nil {
				return
			}
			served++
			if header.Get(headerServerLeaving) == "1" && passed[h].IsZero() {
				passed[h] = time.Now()
				w.record.add("host %s passes on that %s is leaving", h.name, header.Get(headerInstance))
			}
		})
		time.Sleep(pageEvery)
	}
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, p := range pages {
		at := passed[p.host]
		if !at.IsZero() && p.reached[leaver.id] && p.sent.After(at.Add(drainTime)) {
			w.record.broken("DRAIN: request %s, sent %d ms after host %s had passed on that %s is leaving, reached that server from it", id, p.sent.Sub(at).Milliseconds(), p.host.name, leaver.id)
		}
	}
	w.record.add("%d requests, %d served, %d hosts have passed on the notice", len(pages), served, len(passed))
	if len(passed) == 0 || served < len(pages)*9/10 {
		return fmt.Errorf("%w: %d hosts have passed on the notice, %d of %d requests were served", errCannotRun, len(passed), served, len(pages))
	}
	return nil
}

// page sends a plain request and returns the header of a success, or nil.
func (w *world) page(h *host, id string) http.Header {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/pages/"+id[:4], nil)
	if err != nil {
		return nil
	}
	request.Host = siteHost
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerDeadline, "800")
	response, err := callClient.Do(request)
	if err != nil {
		w.record.add("request %s to %s: %v", id, h.name, err)
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	w.record.add("request %s to %s: answer %d from %s, leaving %q, %d bytes", id, h.name, response.StatusCode, response.Header.Get(headerInstance), response.Header.Get(headerServerLeaving), len(body))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return response.Header
}
