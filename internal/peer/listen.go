package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Listen listens for other entry hosts. When the listener is closed, connections whose
// handshake has not ended are closed with it: a gRPC server that stops waits for them, up
// to two minutes for a host that has connected and is gone.
//
// guard wraps the listener of the connections.
func Listen(addr string, guard func(net.Listener) net.Listener) (net.Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s for entry hosts", addr)
	}
	return &listener{Listener: guard(inner), starting: make(map[*startingConn]struct{})}, nil
}

type listener struct {
	net.Listener

	mu       sync.Mutex
	closed   bool
	starting map[*startingConn]struct{} // connections whose handshake has not ended
}

// startingConn is a connection of a listener. A gRPC server clears its deadline when the
// handshake has ended.
type startingConn struct {
	net.Conn
	listener *listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &startingConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = accepted.Close()
		return c, nil
	}
	l.starting[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.starting {
		_ = c.Conn.Close()
	}
	clear(l.starting)
	return l.Listener.Close()
}

// SetDeadline implements net.Conn.
func (c *startingConn) SetDeadline(t time.Time) error {
	if t.IsZero() {
		c.listener.forget(c)
	}
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *startingConn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

func (l *listener) forget(c *startingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.starting, c)
}
