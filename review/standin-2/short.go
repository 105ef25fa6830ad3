//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Doses of garble with "unframed" at linrounds: the share of a replica's answers without a
// length.
const unframedShare = 0.03

// itemProcess is a replica in a process of its own, which can be killed. It serves runs of
// items on the address in args, and says on its output when a run without a length begins.
// Every run from the given number on, and at most unframedShare of all, has none.
func itemProcess(id, addr string) int {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var mu sync.Mutex
	answers, unframed := 0, 0
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Sesamestand-Expect-Instance") != id {
			w.Header().Set("X-Sesamestand-Instance", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/v1/report" {
			_, _ = w.Write(encode(map[string]any{"stage": "both", "models": []map[string]any{{"name": oldModel, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 45343, "handles": 0}))
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		item := r.Header.Get("X-Sesamestand-Request-Id")
		first := 1
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if r.Header.Get("Last-Event-Id") != "" {
			first++
		}
		mu.Lock()
		answers++
		whole := float64(unframed+1) > unframedShare*float64(answers)
		if !whole {
			unframed++
		}
		mu.Unlock()
		head := http.Header{"X-Sesamestand-Request-Id": {item}, "X-Sesamestand-Stamp": {id + "." + item}, "Content-Type": {"text/event-stream"}, "X-Sesamestand-Weight-Versions": {"1"}}
		var out io.Writer = w
		flush := func() { _ = http.NewResponseController(w).Flush() }
		if whole {
			for name, values := range head {
				w.Header()[name] = values
			}
		} else {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			out, flush = c, func() {}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
			_ = head.Write(c)
			fmt.Fprint(c, "\r\n")
			fmt.Println("unframed", item)
		}
		for n := first; n <= eventsOfItem; n++ {
			time.Sleep(eventTime)
			if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventText(item, n)); err != nil {
				return
			}
			flush()
		}
	})}
	if err := server.Serve(listener); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return 2
}

// brokenOff has a replica crash while it answers an item without a length.
func brokenOff(ctx context.Context, w *world) ([]string, error) {
	const id = "i-draft0"
	addrs, err := freeAddrs(loopback(100), 1)
	if err != nil {
		return nil, err
	}
	addr := addrs[0]
	for i := range 8 {
		if _, err := newEngine(w, fmt.Sprintf("i-draft%d", i+1), zones[i%len(zones)], engineService, []string{oldModel}); err != nil {
			return nil, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	replica := exec.Command(self, "item-process", id, addr)
	replica.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	replica.Stderr = os.Stderr
	output, err := replica.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := replica.Start(); err != nil {
		return nil, err
	}
	up := make(chan struct{}) // closed when the replica is killed
	var once sync.Once
	kill := func() { once.Do(func() { close(up); _ = replica.Process.Kill() }) }
	defer func() { kill(); _ = replica.Wait() }()
	go func() {
		born := time.Now().UnixMilli()
		for seq := 1; ; seq++ {
			select {
			case <-up:
				return
			default:
			}
			w.store.put("servers", id, map[string]any{
				"service": engineService, "addr": addr, "zone": zones[0], "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
				"stage": "both", "models": []map[string]any{{"name": oldModel, "version": 1, "adapters": []string{}}}, "seq": seq, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	engines := map[string]any{"name": engineService, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": engineSlots, "kv_capacity": 45343, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 58, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
		"models": []map[string]string{{"name": oldModel}},
	}}
	config := map[string]any{"version": 7, "routes": []any{rolloutRoute("r-old", "/pufi791/")}, "services": []any{engines}, "limits": limits}
	if err := begin(ctx, w, 10, config); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	unframed := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			if item, ok := strings.CutPrefix(lines.Text(), "unframed "); ok {
				w.record.notef("disturbance: replica %s answers item %s without a length", id, item)
				select {
				case unframed <- item:
				default:
				}
			}
		}
	}()
	var breaks []string
	for step := 0; step < 8; step++ {
		body, ids := submission("/pufi791/", oldModel, 104)
		job := newID()
		if a := w.ask(w.anyHost(), http.MethodPost, "/pufi791/7c41e0", map[string]string{"X-Sesamestand-Request-Id": job, "Content-Type": "application/json"}, body, 4*time.Second); a.status != http.StatusAccepted {
			return nil, fmt.Errorf("step %d was answered %d", step, a.status)
		}
		if w.trouble {
			go func() {
				select {
				case item := <-unframed:
					time.Sleep(4*eventTime + eventTime/2) // between two events
					w.record.notef("disturbance: replica %s crashes while it runs item %s", id, item)
					kill()
				case <-ctx.Done():
				}
			}()
		}
		all, err := w.results(ctx, w.anyHost(), job, 12*time.Second)
		if err != nil {
			return nil, err
		}
		if all.Next < len(ids) {
			return nil, fmt.Errorf("step %d has %d of %d results", step, all.Next, len(ids))
		}
		for _, r := range all.Results {
			var want []string
			for n := 1; n <= eventsOfItem; n++ {
				want = append(want, eventText(r.ID, n))
			}
			if r.State == "finished" && r.Text != strings.Join(want, "\n") {
				breaks = append(breaks, fmt.Sprintf("MIXED: item %s is listed as finished with %d of %d events", r.ID, strings.Count(r.Text, "\n")+1, eventsOfItem))
			}
		}
		w.record.notef("step %d has all its %d results", step, len(ids))
		w.ask(w.anyHost(), http.MethodDelete, "/v1/lots/"+job, nil, nil, 4*time.Second)
		select {
		case <-up:
			return breaks, nil // the replica was killed in this step
		default:
		}
	}
	if w.trouble {
		return nil, fmt.Errorf("no item was answered without a length")
	}
	return breaks, nil
}
