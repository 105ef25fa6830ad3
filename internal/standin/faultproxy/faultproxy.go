// Package faultproxy implements a TCP proxy that injects network faults between
// two real processes. It is for tests only.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is one direction of data flow through the proxy.
type Direction int

// Values of Direction.
const (
	ToServer Direction = iota
	ToClient
)

// bufferBytes is the maximum number of bytes that are forwarded at once.
const bufferBytes = 32 << 10

// Proxy forwards connections from its address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool // connections are reset, new ones included
	closed  bool
	delay   time.Duration
	frozen  [2]bool // by Direction; applies to all connections
	links   map[*link]struct{}
}

// link is one forwarded connection: the connection of the client and the one to
// the target.
type link struct {
	client, server   net.Conn
	silent           bool // both directions are stopped permanently
	closedDirections int  // directions that ended with an orderly shutdown (EOF)
}

// Listen starts a proxy on a free loopback port in front of target (IP:port).
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen on a loopback port")
	}
	p := &Proxy{listener: listener, target: target, links: make(map[*link]struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the IP:port of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut resets the open connections and, until Restore is called, all new ones.
func (p *Proxy) Cut() {
	p.update(func() { p.cut = true })
	p.Reset()
}

// Reset resets the open connections. New connections work.
func (p *Proxy) Reset() {
	p.mu.Lock()
	links := p.linksLocked()
	p.mu.Unlock()
	for _, l := range links {
		p.resetLink(l)
	}
}

// Delay delays all forwarded data by d.
func (p *Proxy) Delay(d time.Duration) { p.update(func() { p.delay = d }) }

// Freeze stops one direction of all connections, new ones included, until Restore
// is called.
func (p *Proxy) Freeze(direction Direction) { p.update(func() { p.frozen[direction] = true }) }

// Silence permanently stops both directions of the connections that are open now,
// without closing them. New connections work.
func (p *Proxy) Silence() {
	p.update(func() {
		for _, l := range p.linksLocked() {
			l.silent = true
		}
	})
}

// Restore undoes Cut, Delay and Freeze, but not Silence.
func (p *Proxy) Restore() {
	p.update(func() { p.cut, p.delay, p.frozen = false, 0, [2]bool{} })
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	p.update(func() { p.closed = true })
	err := p.listener.Close()
	p.Reset()
	return err
}

// update calls f under the lock and wakes up the forwarding goroutines that are
// blocked.
func (p *Proxy) update(f func()) {
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

// forward copies the data of one direction until a read or write fails, and then
// closes that direction or resets the connection.
func (p *Proxy) forward(l *link, from, to net.Conn, direction Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !p.waitToForward(l, direction) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.handleEnd(l, to, err)
			return
		}
	}
}

// waitToForward applies the delay and blocks while the direction is frozen. It
// returns false if the connection was closed.
func (p *Proxy) waitToForward(l *link, direction Direction) bool {
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

// handleEnd forwards an EOF as a half-close. It resets the connection after any
// other error.
func (p *Proxy) handleEnd(l *link, to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && tcp.CloseWrite() == nil {
		p.mu.Lock()
		l.closedDirections++
		done := l.closedDirections == 2
		p.mu.Unlock()
		if done {
			p.update(func() { delete(p.links, l) })
			_ = l.client.Close()
			_ = l.server.Close()
		}
		return
	}
	p.resetLink(l)
}

func (p *Proxy) resetLink(l *link) {
	p.update(func() { delete(p.links, l) })
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
