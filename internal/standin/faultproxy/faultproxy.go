// Package faultproxy is a small TCP proxy that injects network faults. It is
// for tests only: it connects two real processes and breaks what is between
// them.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction names one direction of a connection.
type Direction int

// Directions, as the proxy sees them.
const (
	ToServer Direction = iota
	ToClient
)

// bufferBytes is the largest piece that is forwarded at once.
const bufferBytes = 32 << 10

// Proxy forwards connections from its address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool // new connections are reset
	closed  bool
	delay   time.Duration
	frozen  [2]bool // by Direction; all connections
	links   map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         bool // both directions are frozen for good
	halves         int  // directions that ended in order
}

// Listen starts a proxy on a free loopback port in front of target (IP:port).
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	p := &Proxy{listener: listener, target: target, links: make(map[*link]struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the IP:port of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut resets all connections, and new ones too until Restore.
func (p *Proxy) Cut() {
	p.change(func() { p.cut = true })
	p.Reset()
}

// Reset resets the open connections; new ones work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	links := p.linksLocked()
	p.mu.Unlock()
	for _, l := range links {
		p.drop(l)
	}
}

// Delay holds each piece of data back for d.
func (p *Proxy) Delay(d time.Duration) { p.change(func() { p.delay = d }) }

// Freeze stops one direction of all connections, new ones included, until Restore.
func (p *Proxy) Freeze(direction Direction) { p.change(func() { p.frozen[direction] = true }) }

// Silence stops the connections that are open now for good, without closing
// them. New connections work.
func (p *Proxy) Silence() {
	p.change(func() {
		for _, l := range p.linksLocked() {
			l.silent = true
		}
	})
}

// Restore ends Cut, Delay and Freeze. Silenced connections stay silent.
func (p *Proxy) Restore() {
	p.change(func() { p.cut, p.delay, p.frozen = false, 0, [2]bool{} })
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	p.change(func() { p.closed = true })
	err := p.listener.Close()
	p.Reset()
	return err
}

func (p *Proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.changed.Broadcast()
}

func (p *Proxy) linksLocked() []*link {
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *Proxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, 5*time.Second)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	refuse := p.cut || p.closed
	if !refuse {
		p.links[l] = struct{}{}
	}
	p.mu.Unlock()
	if refuse {
		reset(client)
		reset(server)
		return
	}
	go p.forward(l, client, server, ToServer)
	go p.forward(l, server, client, ToClient)
}

// forward copies one direction until it ends, then passes the end on.
func (p *Proxy) forward(l *link, from, to net.Conn, direction Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !p.pass(l, direction) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.end(l, to, err)
			return
		}
	}
}

// pass applies the delay and waits while the direction is frozen. It returns
// false when the connection is gone.
func (p *Proxy) pass(l *link, direction Direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if _, open := p.links[l]; !open {
			return false
		}
		if !l.silent && !p.frozen[direction] {
			return true
		}
		p.changed.Wait()
	}
}

// end passes an orderly end on as a half close, and drops the rest.
func (p *Proxy) end(l *link, to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && tcp.CloseWrite() == nil {
		p.mu.Lock()
		l.halves++
		done := l.halves == 2
		p.mu.Unlock()
		if done {
			p.change(func() { delete(p.links, l) })
			_ = l.client.Close()
			_ = l.server.Close()
		}
		return
	}
	p.drop(l)
}

func (p *Proxy) drop(l *link) {
	p.change(func() { delete(p.links, l) })
	reset(l.client)
	reset(l.server)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
