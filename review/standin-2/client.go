//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// newID returns a request ID as clients choose them.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answered is what a client got for one attempt.
type answered struct {
	id     string
	status int // 0 without an answer
	header http.Header
	body   []byte
	err    error
	at     time.Time // when the attempt was sent
}

// ask sends one client attempt to a host on a connection of its own.
func (w *world) ask(h *host, method, path string, header map[string]string, body []byte, deadline time.Duration) answered {
	a := answered{id: header["X-Sesamestand-Request-Id"], at: time.Now()}
	if a.id == "" {
		a.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = hostName
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.Header.Set("X-Sesamestand-Request-Id", a.id)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		w.record.notef("client %s %s %s at %s: %v", a.id, method, path, h.name, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.body, a.err = io.ReadAll(response.Body)
	a.status, a.header = response.StatusCode, response.Header
	w.record.notef("client %s %s %s at %s: %d %q", a.id, method, path, h.name, a.status, shorten(a.body))
	return a
}

func shorten(data []byte) string {
	if len(data) > 200 {
		return string(data[:200]) + "..."
	}
	return string(data)
}

// plain sends an attempt of a plain request with the deadline of its client.
func (w *world) plain(h *host, method, path string, body []byte, deadline time.Duration) answered {
	return w.ask(h, method, path, map[string]string{"X-Sesamestand-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)}, body, deadline)
}

// anyHost returns a host that counts as ready to the platform's balancer.
func (w *world) anyHost() *host { return w.hosts[rand.IntN(len(w.hosts))] }

// quiet sends an attempt without a line in the record, and returns the status.
func (w *world) quiet(h *host, path, id string, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+path, nil)
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("X-Sesamestand-Request-Id", id)
	request.Header.Set("X-Sesamestand-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
