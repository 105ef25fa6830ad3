// Package standin provides the common parts of the stand-ins, which are simple
// in-memory implementations of the external systems: an HTTP endpoint that can
// reset or freeze connections, and helpers for JSON and injected faults. The
// stand-ins replace the platform's services in tests and demos only.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Endpoint serves one stand-in on a TCP address. It can reset all connections,
// or freeze the open ones while new ones work.
type Endpoint struct {
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	down  bool
	conns map[*endpointConn]struct{}
}

// Listen serves handler on addr, for example "127.0.0.1:0", until Close is
// called.
func Listen(addr string, handler http.Handler) (*Endpoint, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	e := &Endpoint{listener: listener, conns: make(map[*endpointConn]struct{})}
	e.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(&endpointListener{Listener: listener, endpoint: e}) }()
	return e, nil
}

// Addr returns the IP:port that the endpoint listens on.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// SetDown starts or ends an outage. While down is true, all connections, open and
// new, are reset.
func (e *Endpoint) SetDown(down bool) {
	e.mu.Lock()
	e.down = down
	open := e.openConnsLocked()
	e.mu.Unlock()
	if down {
		for _, c := range open {
			c.reset()
		}
	}
}

// Freeze freezes the connections that are open now: they stay open, but no more
// data is read from or written to them. New connections work.
func (e *Endpoint) Freeze() {
	e.mu.Lock()
	open := e.openConnsLocked()
	e.mu.Unlock()
	for _, c := range open {
		c.freeze()
	}
}

// Close stops serving and resets all connections.
func (e *Endpoint) Close() error {
	e.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := e.server.Shutdown(ctx); err != nil {
		return e.server.Close()
	}
	return nil
}

func (e *Endpoint) openConnsLocked() []*endpointConn {
	open := make([]*endpointConn, 0, len(e.conns))
	for c := range e.conns {
		open = append(open, c)
	}
	return open
}

type endpointListener struct {
	net.Listener
	endpoint *Endpoint
}

func (l *endpointListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &endpointConn{Conn: inner, endpoint: l.endpoint, closed: make(chan struct{}), frozen: make(chan struct{})}
		l.endpoint.mu.Lock()
		down := l.endpoint.down
		if !down {
			l.endpoint.conns[c] = struct{}{}
		}
		l.endpoint.mu.Unlock()
		if !down {
			return c, nil
		}
		c.reset()
	}
}

// endpointConn is a server-side connection that can be frozen.
type endpointConn struct {
	net.Conn
	endpoint   *Endpoint
	closeOnce  sync.Once
	freezeOnce sync.Once
	closed     chan struct{}
	frozen     chan struct{}
}

func (c *endpointConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isFrozen() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *endpointConn) Write(b []byte) (int, error) {
	if c.isFrozen() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless it is frozen. A frozen connection stays
// open for its peer until SetDown or Endpoint.Close resets it.
func (c *endpointConn) Close() error {
	if c.isFrozen() {
		return nil
	}
	return c.closeNow()
}

func (c *endpointConn) closeNow() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.endpoint.mu.Lock()
		delete(c.endpoint.conns, c)
		c.endpoint.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}

func (c *endpointConn) isFrozen() bool {
	select {
	case <-c.frozen:
		return true
	default:
		return false
	}
}

func (c *endpointConn) freeze() { c.freezeOnce.Do(func() { close(c.frozen) }) }

// reset closes the connection with a TCP reset.
func (c *endpointConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.closeNow()
}
