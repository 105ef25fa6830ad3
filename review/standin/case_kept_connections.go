//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the clients with kept connections. They stay below four fifths of
// idle_timeout_ms (20 s).
const (
	keptClients    = 36
	leastThinking  = time.Second
	mostThinking   = 8 * time.Second
	leastEvents    = 60  // 2.2 s
	mostKeptEvents = 130 // 4.8 s
	// excusedAfterTerm is the time after a SIGTERM until which requests may be cut in the
	// last sixth of the grace period.
	excusedAfterTerm = 3 * time.Second
)

// keptStream is what a client has seen of a stream on a kept connection.
type keptStream struct {
	stream
	wanted int
	reused bool // the connection had carried another request before
}

// keptConnections stops one host after the other with SIGTERM, as planned work, while
// clients send streams on connections that they keep.
func keptConnections(w *world) error {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	config, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "notes", "host": siteHost, "prefix": "/notes/", "kind": "stream", "service": "atelier-lm", "timeout_ms": 10000, "slo_ms": 400,
			"attempts": 3, "priority": 1, "sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{"name": "atelier-lm", "max_conns": 160, "health_path": "/health", "engine": map[string]any{"slots": slots, "stride": 58, "kv_capacity": memoryTokens, "models": []map[string]any{{"name": "model-0"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 32 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	w.store.put("op", "config", config)
	for i := range replicaCount {
		r := &replica{
			id: fmt.Sprintf("i-%02d", i), service: "atelier-lm", zone: zones[i%len(zones)], slots: slots, record: w.record, store: w.store,
			events: keptEvents, named: func(string) int64 { return 1 }, models: map[string]int64{"model-0": 1},
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := w.startHosts(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	stop := began.Add(rounds * roundTime)
	var mu sync.Mutex
	out := make(map[*host]bool)
	terms := make(map[*host][]time.Time)
	var streams []*keptStream
	go w.rotate(out, &mu, stop)
	var clients sync.WaitGroup
	for range keptClients {
		random := rand.New(rand.NewPCG(random.Uint64(), 2))
		clients.Go(func() {
			time.Sleep(time.Duration(random.Float64() * float64(mostThinking)))
			for time.Now().Before(stop) {
				mu.Lock()
				h := w.hosts[random.IntN(len(w.hosts))]
				for out[h] {
					h = w.hosts[random.IntN(len(w.hosts))]
				}
				mu.Unlock()
				seen := w.keepConnection(h, random, stop)
				mu.Lock()
				streams = append(streams, seen...)
				mu.Unlock()
			}
		})
	}
	for round := range rounds {
		time.Sleep(time.Until(began.Add(time.Duration(round)*roundTime + 4*time.Second)))
		if !w.trouble {
			continue
		}
		h := w.hosts[round%len(w.hosts)]
		mu.Lock()
		terms[h] = append(terms[h], time.Now())
		mu.Unlock()
		h.signal(syscall.SIGTERM)
		h.awaitEnd(graceS * time.Second)
		time.Sleep(300 * time.Millisecond)
		if err := h.start(); err != nil {
			return err
		}
	}
	clients.Wait()
	complete := 0
	for _, s := range streams {
		if s.complete {
			complete++
			continue
		}
		w.record.add("stream %s incomplete: sent to %s at %.3f on a connection used before: %t, ended at %.3f, status %d, %d of %d events", s.id, s.host.name, s.sent.Sub(w.record.began).Seconds(), s.reused, s.ended.Sub(w.record.began).Seconds(), s.status, s.events, s.wanted)
		for _, at := range terms[s.host] {
			if s.status == http.StatusOK && s.sent.After(at.Add(excusedAfterTerm)) && s.ended.Before(at.Add((graceS+1)*time.Second)) {
				w.record.broken("LOST: stream %s, sent %d ms after the SIGTERM of %s on a kept connection, was cut after %d of %d events, %d ms after the SIGTERM", s.id, s.sent.Sub(at).Milliseconds(), s.host.name, s.events, s.wanted, s.ended.Sub(at).Milliseconds())
			}
		}
	}
	w.record.add("%d streams, %d complete", len(streams), complete)
	fmt.Printf("%d streams, %d complete\n", len(streams), complete)
	if complete < len(streams)/2 {
		return fmt.Errorf("%w: %d of %d streams complete", errCannotRun, complete, len(streams))
	}
	return nil
}

// keptEvents returns the number of events of a stream, drawn from its ID.
func keptEvents(id string) int {
	n := 0
	for _, c := range id {
		n = (n*31 + int(c)) % (mostKeptEvents - leastEvents)
	}
	return leastEvents + n
}

// keepConnection sends one stream after the other on a connection until the host closes
// it or says that it will, and returns the streams.
func (w *world) keepConnection(h *host, random *rand.Rand, stop time.Time) []*keptStream {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return nil
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var seen []*keptStream
	for time.Now().Before(stop) {
		s := &keptStream{stream: stream{id: randomID(random), host: h, sent: time.Now()}, reused: len(seen) > 0}
		s.wanted = keptEvents(s.id)
		_, err := fmt.Fprintf(conn, "POST /notes/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: model-0\r\n%s: %d,%d\r\nContent-Length: 0\r\n\r\n",
			s.id[:4], siteHost, headerRequestID, s.id, headerDeadline, streamDeadline.Milliseconds(), headerModel, headerTokens, promptTokens, 58*s.wanted)
		w.record.add("stream %s of %d events sent to %s", s.id, s.wanted, h.name)
		_ = conn.SetReadDeadline(time.Now().Add(streamDeadline))
		response, readErr := http.ReadResponse(reader, nil)
		if err != nil || readErr != nil {
			s.ended = time.Now()
			w.record.add("stream %s: no answer: %v %v", s.id, err, readErr)
			return append(seen, s)
		}
		s.status = response.StatusCode
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data: ") {
				s.events++
			}
		}
		s.ended = time.Now()
		s.complete = lines.Err() == nil && s.status == http.StatusOK && s.events == s.wanted
		w.record.add("stream %s: answer %d with %d events, complete %t, close %t, error %v", s.id, s.status, s.events, s.complete, response.Close, lines.Err())
		seen = append(seen, s)
		if response.Close || !s.complete {
			return seen
		}
		time.Sleep(leastThinking + time.Duration(random.Float64()*float64(mostThinking-leastThinking)))
	}
	return seen
}
