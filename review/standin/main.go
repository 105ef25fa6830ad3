//go:build review

// Command standin runs one case of the review: it starts entry hosts as processes of
// their own, and plays the platform's store, the backend servers and the clients. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	breaks int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breaks++; r.breaks <= 3 {
		fmt.Println(text)
	}
}

// world is what a case runs in.
type world struct {
	record  *record
	dir     string
	trouble bool
	store   *store
	addr    string // of the store
	hosts   []*host
}

var errCannotRun = errors.New("the case cannot run")

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*world) error{
		"single-version": singleVersion, "kept-connections": keptConnections, "nested-route": nestedRoute, "silent-stream": silentStream,
		"missing-field": missingField,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		dir = keep
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w := &world{record: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.addr = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	defer func() {
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
			h.awaitEnd(5 * time.Second)
		}
	}()
	if err := cases[os.Args[1]](w); err != nil {
		rec.add("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("rule broken %d times", rec.breaks)
	if rec.breaks > 0 {
		fmt.Printf("rule broken %d times\n", rec.breaks)
		return 1
	}
	fmt.Println("rule held")
	return 0
}

// startHosts starts entry hosts and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h, err := w.newHost(i, zones[i%len(zones)])
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if !h.awaitReady(10 * time.Second) {
			return fmt.Errorf("%w: host %s is not ready", errCannotRun, h.name)
		}
	}
	return nil
}

// awaitReady asks the readiness check as the platform does, until it answers 200.
func (h *host) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
