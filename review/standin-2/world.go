//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *bufio.Writer
	out   *os.File
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: bufio.NewWriter(out), out: out}, nil
}

func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Flush()
	_ = r.out.Close()
}

// host is one process of the system.
type host struct {
	name, zone         string
	front, ready, peer string
	settings, log      string
	command            *exec.Cmd
	exited             chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	record  *recorder
	store   *store
	hosts   []*host
	dir     string // temporary
	trouble bool
}

// zones are those of the small deployment linrounds.
var zones = []string{"sanchong", "banqiao", "neihu"}

func newWorld(record *recorder, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{record: record, store: newStore(), dir: dir, trouble: trouble}, nil
}

// freeAddrs returns n addresses on a loopback IP that nobody listens on.
func freeAddrs(ip string, n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // once all are found, so that they differ
		addrs[i] = listener.Addr().String()
	}
	return addrs, nil
}

// settings renders deploy/host.ini.tmpl with the values of a small deployment.
func (w *world) settings(h *host, metrics, logAddr string) string {
	return fmt.Sprintf(`[host]
id = %s
data_centre = %s
http_addr = %s
ready_addr = %s
metrics_addr = %s
peer_addr = %s

[platform]
kind = log_store
log_addr = %s
partitions = %d
record_bytes = 262144
append_bytes = 2097152
min_member_ttl = 1000ms

[limits]
decision_log_per_second = 300
cpu_share = 0.8
cores = 1
memory = 174

[timing]
order_lease = 3000ms
stop_grace = 8s
job_end_grace = 3000ms
job_retention = 120s
`, h.name, h.zone, h.front, h.ready, metrics, h.peer, logAddr, partitions)
}

// loopback returns a loopback IP of this process.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
}

// addHosts prepares n hosts.
func (w *world) addHosts(n int) error {
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)]}
		// Hosts have IPs of their own, so that no connection takes a port before its host does.
		addrs, err := freeAddrs(loopback(i+1), 4)
		if err != nil {
			return err
		}
		h.front, h.ready, h.peer = addrs[0], addrs[1], addrs[2]
		logAddr, err := w.store.listen(h.name)
		if err != nil {
			return err
		}
		h.settings, h.log = filepath.Join(w.dir, h.name+".ini"), filepath.Join(w.dir, h.name+".log")
		if err := os.WriteFile(h.settings, []byte(w.settings(h, addrs[3], logAddr)), 0o600); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *host) error {
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	h.command = exec.Command("target/sesamestand", "serve", "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = output, output
	// The process ends with this one, whatever ends it.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { _ = c.Wait(); close(exited) }(h.command, h.exited)
	w.record.notef("start %s", h.name)
	return nil
}

// kill kills the process of a host and waits for its end.
func (w *world) kill(h *host) {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
	w.record.notef("killed %s", h.name)
}

func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary files. The logs of the hosts are kept
// if KEEP_LOGS names a folder.
func (w *world) close() {
	for _, h := range w.hosts {
		w.kill(h)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		for _, h := range w.hosts {
			if data, err := os.ReadFile(h.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

// isReady asks a host as the platform's balancer does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(ctx context.Context) error {
	for _, h := range w.hosts {
		for !h.isReady() {
			select {
			case <-ctx.Done():
				data, _ := os.ReadFile(h.log)
				return fmt.Errorf("%s is not ready: %w, its log ends with %q", h.name, ctx.Err(), data[max(len(data)-500, 0):])
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	w.record.notef("all hosts ready")
	return nil
}

// ownerOf returns the host that owns a partition of the topic work.
func (w *world) ownerOf(partition int) *host {
	owners, err := w.store.log.Owners(context.Background(), "duties", "work")
	if err != nil {
		return nil
	}
	for _, h := range w.hosts {
		if strings.HasPrefix(owners[partition], h.name+"-") {
			return h
		}
	}
	return nil
}

// limits are those of every configuration.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// hostName is the host name of all routes.
const hostName = "ficu95.example"
