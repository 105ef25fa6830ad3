//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// plainServer is a stand-in of a server of a plain service. It runs slots requests at a
// time, queues some more and sheds the rest.
type plainServer struct {
	w    *world
	id   string
	zone string
	addr string
	// listener is that of addr.
	listener *net.TCPListener
	slots    int
	queue    int
	work     time.Duration

	mu      sync.Mutex
	running chan struct{}
	held    int // requests that run or wait
	answers int // that were sent in all
	// disturb decides what happens to the answer of a request; nil means nothing.
	disturb func(s *plainServer, id string, shed bool) disturbance
	// crashPath is the path of requests that crash the server as it begins to run them.
	crashPath string
	crashes   int
	// dark is closed when the server is back after a crash; nil while it is up.
	dark  chan struct{}
	back  time.Time // when it was back last
	conns map[net.Conn]bool
	born  int64
}

// crashTime is the time until a server that crashed is back.
const crashTime = 3 * time.Second

// disturbance is what a server in trouble does to one answer.
type disturbance int

const (
	none      disturbance = iota
	loseReset             // the answer is not sent, the connection is reset
	twice                 // a second copy is sent where the answer to the next request is expected
	fail                  // the request is run and then answered with a failure of status 503
)

func newPlainServer(w *world, id, zone, service string, slots, queue int, work time.Duration) (*plainServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{w: w, id: id, zone: zone, addr: listener.Addr().String(), listener: listener.(*net.TCPListener), slots: slots, queue: queue, work: work, running: make(chan struct{}, slots), conns: make(map[net.Conn]bool), born: time.Now().UnixMilli()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// A dark server accepts nothing. The kernel of the stand-in does, until it is back.
			if s.awaitUp() || time.Since(s.backAt()) < backlogTime {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
				continue
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			s.awaitUp()
			s.mu.Lock()
			born := s.born
			s.mu.Unlock()
			w.store.put("servers", id, map[string]any{
				"service": service, "addr": s.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return s, nil
}

// awaitUp waits while the server is dark, and reports whether it was.
func (s *plainServer) awaitUp() bool {
	s.mu.Lock()
	dark := s.dark
	s.mu.Unlock()
	if dark == nil {
		return false
	}
	<-dark
	return true
}

// backlogTime is the time after a crash in which connections that the kernel accepted during
// it are closed.
const backlogTime = 50 * time.Millisecond

// backAt returns when the server was back after its last crash.
func (s *plainServer) backAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

// setBacklog sets the number of connections that the kernel accepts beyond one until the
// server takes them.
func (s *plainServer) setBacklog(n int) {
	raw, err := s.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
	if err != nil {
		panic(err)
	}
}

// crash makes the server dark: its connections stay open, nothing is sent on them, and no other is
// accepted. It is
// back after crashTime, under its ID, and knows nothing of the connections of before.
func (s *plainServer) crash(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark != nil {
		return
	}
	s.dark = make(chan struct{})
	s.crashes++
	s.setBacklog(0)
	var fillers []net.Conn
	for range 3 { // from here on, the kernel answers no SYN
		if c, err := net.DialTimeout("tcp", s.addr, 20*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	s.w.record.notef("server %s crashes as it begins to run %s, and is dark", s.id, id)
	time.AfterFunc(crashTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		clear(s.conns)
		for _, c := range fillers {
			_ = c.Close()
		}
		s.setBacklog(128)
		s.held, s.running, s.born = 0, make(chan struct{}, s.slots), time.Now().UnixMilli()
		s.back = time.Now()
		close(s.dark)
		s.dark = nil
		s.w.record.notef("server %s is back", s.id)
	})
}

// serve serves the requests of one connection, one at a time.
func (s *plainServer) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var extra []byte // copy of an earlier answer that arrives late
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Sesamestand-Request-Id")
		if extra != nil {
			s.w.record.notef("server %s sends the second copy of an earlier answer where that to %s is expected", s.id, id)
			if _, err := c.Write(extra); err != nil {
				extra = nil
			}
			extra = nil
		}
		s.mu.Lock()
		crash := s.dark == nil && s.crashPath != "" && request.URL.Path == s.crashPath
		s.mu.Unlock()
		if crash {
			s.w.ran(s, request, id)
			s.crash(id)
		}
		if s.awaitUp() {
			return // the process that read the request is gone
		}
		answer, shed := s.answer(request, id)
		what := none
		s.mu.Lock()
		s.answers++
		if s.disturb != nil {
			what = s.disturb(s, id, shed)
		}
		s.mu.Unlock()
		switch what {
		case loseReset:
			s.w.record.notef("server %s ran %s, its answer is lost and the connection reset", s.id, id)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		case twice:
			extra = answer
		case fail:
			s.w.record.notef("server %s ran %s and answers with a failure, status 503", s.id, id)
			answer = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Sesamestand-Request-Id: %s\r\nX-Sesamestand-Stamp: %s.%s\r\nContent-Length: 0\r\n\r\n", id, s.id, id)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer runs a request and returns the answer, or sheds it.
func (s *plainServer) answer(request *http.Request, id string) (answer []byte, shed bool) {
	if expected := request.Header.Get("X-Sesamestand-Expect-Instance"); expected != "" && expected != s.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Sesamestand-Instance: %s\r\nContent-Length: 0\r\n\r\n", s.id), true
	}
	s.mu.Lock()
	if s.held >= s.slots+s.queue {
		s.mu.Unlock()
		s.w.record.notef("server %s sheds %s", s.id, id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Sesamestand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), true
	}
	s.held++
	s.mu.Unlock()
	s.running <- struct{}{}
	s.w.ran(s, request, id)
	time.Sleep(s.work)
	<-s.running
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
	body := "page of " + id + "\n"
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Sesamestand-Request-Id: %s\r\nX-Sesamestand-Stamp: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(body), body)
	return b.Bytes(), false
}

// runs holds the servers that ran each request, in their order.
var runs = struct {
	sync.Mutex
	byID map[string][]string
}{byID: make(map[string][]string)}

func (w *world) ran(s *plainServer, request *http.Request, id string) {
	runs.Lock()
	defer runs.Unlock()
	runs.byID[id] = append(runs.byID[id], s.id)
	w.record.notef("server %s runs %s (%s %s)", s.id, id, request.Method, request.URL.Path)
}
