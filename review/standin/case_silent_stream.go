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

// Parameters of the streams. A stream lasts 2.2 s, or 3.7 s if its replica preempts it.
// Clients abandon a stream after a gap of 2 s (four times the objective of 400 ms and eight
// times the pause of 150 ms of the sheet are shorter).
const (
	streamEvents   = 60
	silentEvent    = 30
	silence        = 1500 * time.Millisecond
	silentShare    = 0.15 // of the streams
	streamDeadline = 12 * time.Second
	streamEvery    = 60 * time.Millisecond
	roundTime      = 14 * time.Second
	rounds         = 5
	// lastPart is the last sixth of grace_s.
	lastPart = graceS * time.Second / 6
)

// stream is what a client has seen of a stream.
type stream struct {
	id       string
	host     *host
	sent     time.Time
	ended    time.Time
	status   int
	events   int
	complete bool
}

// silentStream stops one host after the other with SIGTERM, as planned work, while
// streams run whose replica is silent for a while.
func silentStream(w *world) error {
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
	var mu sync.Mutex
	silent := make(map[string]bool) // streams that are preempted
	for i := range replicaCount {
		r := &replica{
			id: fmt.Sprintf("i-%02d", i), service: "atelier-lm", zone: zones[i%len(zones)], slots: slots,
			record: w.record, store: w.store, events: func(string) int { return streamEvents },
			named: func(string) int64 { return 1 }, models: map[string]int64{"model-0": 1},
			pauseAt: func(id string) (int, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if !silent[id] {
					return 0, 0
				}
				return silentEvent, silence
			},
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
	terms := make(map[*host][]time.Time) // SIGTERMs of each host
	out := make(map[*host]bool)          // hosts out of rotation
	stop := began.Add(rounds * roundTime)
	go w.rotate(out, &mu, stop)
	var streams []*stream
	var done sync.WaitGroup
	done.Go(func() {
		for time.Now().Before(stop.Add(-roundTime / 2)) {
			mu.Lock()
			h := w.hosts[random.IntN(len(w.hosts))]
			for out[h] {
				h = w.hosts[random.IntN(len(w.hosts))]
			}
			s := &stream{id: randomID(random), host: h, sent: time.Now()}
			streams = append(streams, s)
			silent[s.id] = w.trouble && random.Float64() < silentShare
			mu.Unlock()
			done.Go(func() { s.read(w.record) })
			time.Sleep(streamEvery)
		}
	})
	for round := range rounds {
		time.Sleep(time.Until(began.Add(time.Duration(round)*roundTime + 4*time.Second)))
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
	done.Wait()
	complete, cut := 0, 0
	for _, s := range streams {
		if s.complete {
			complete++
			continue
		}
		if s.status == 0 || s.events > 0 {
			cut++
		}
		w.record.add("stream %s incomplete: sent to %s at %.3f, ended at %.3f, status %d, %d events, silent %t", s.id, s.host.name, s.sent.Sub(w.record.began).Seconds(), s.ended.Sub(w.record.began).Seconds(), s.status, s.events, silent[s.id])
		if at, planned := lostAtTerm(s, terms[s.host]); planned && (s.status == 0 || s.events > 0) {
			w.record.broken("LOST: stream %s was cut by %s after %d of %d events, %d ms after its SIGTERM and %d ms after it was sent", s.id, s.host.name, s.events, streamEvents, s.ended.Sub(at).Milliseconds(), s.ended.Sub(s.sent).Milliseconds())
		}
	}
	w.record.add("%d streams, %d complete, %d cut at any time", len(streams), complete, cut)
	fmt.Printf("%d streams, %d complete, %d cut at any time\n", len(streams), complete, cut)
	if complete < len(streams)/2 {
		return fmt.Errorf("%w: %d of %d streams complete", errCannotRun, complete, len(streams))
	}
	return nil
}

// lostAtTerm reports whether an incomplete stream counts under LOST: it ended between a
// SIGTERM of its host and 1 s after the grace period, and not in the last sixth of the
// grace period.
func lostAtTerm(s *stream, terms []time.Time) (time.Time, bool) {
	for _, at := range terms {
		if s.ended.After(at) && s.ended.Before(at.Add(graceS*time.Second-lastPart)) {
			return at, true
		}
	}
	return time.Time{}, false
}

// rotate asks the readiness checks once a second, as the platform does. Two misses take a
// host out until it answers 200 again.
func (w *world) rotate(out map[*host]bool, mu *sync.Mutex, until time.Time) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*host]int)
	for time.Now().Before(until) {
		for _, h := range w.hosts {
			response, err := client.Get("http://" + h.ready + "/v1/ready")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			if misses[h]++; ok {
				misses[h] = 0
			}
			mu.Lock()
			out[h] = misses[h] >= 2
			mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// read sends the request on a new connection and reads the events of the response.
func (s *stream) read(rec *record) {
	defer func() { s.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", s.host.front, time.Second)
	if err != nil {
		rec.add("stream %s: no connection to %s", s.id, s.host.name)
		s.status = -1
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /notes/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: model-0\r\n%s: %d,%d\r\nContent-Length: 0\r\n\r\n",
		s.id[:4], siteHost, headerRequestID, s.id, headerDeadline, streamDeadline.Milliseconds(), headerModel, headerTokens, promptTokens, 58*streamEvents)
	rec.add("stream %s sent to %s", s.id, s.host.name)
	_ = conn.SetReadDeadline(time.Now().Add(streamDeadline))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.add("stream %s: no answer: %v", s.id, err)
		return
	}
	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			s.events++
		}
	}
	s.complete = lines.Err() == nil && s.status == http.StatusOK && s.events == streamEvents
	rec.add("stream %s: answer %d with %d events, complete %t, error %v", s.id, s.status, s.events, s.complete, lines.Err())
}
