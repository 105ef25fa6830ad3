// Package untrusted implements clients outside the operators' control that try to exhaust
// the memory and the descriptors of a host. It is used by tests only. A crowd is bounded
// in its number of connections, in the bytes that each sends, and in time.
package untrusted

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = 3 * time.Second
	// sendTimeout bounds how long one client sends.
	sendTimeout = 10 * time.Second
	// pieceBytes is the size of the pieces in which a client sends a head or body.
	pieceBytes = 16 << 10
	// pieceInterval is the time between the pieces of a body that is sent piece by piece.
	pieceInterval = time.Millisecond
	// longHeadBytes is the size of a head that stays below 1 MB, the limit of Go's
	// HTTP server if none is set, and never ends.
	longHeadBytes = 1_000_000
	// endlessBytes is the size at which a head or a sequence of empty lines ends.
	endlessBytes = 4 << 20
)

// Target is what a crowd sends requests to.
type Target struct {
	Addr string
	// Request is a method and a path.
	Request string
	// Host is the value of the Host field.
	Host string
}

func (t Target) head(fields string) string {
	return t.Request + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + fields
}

// Crowd is a set of clients. Their connections stay open until Close.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Close closes the connections of all clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// run opens count connections at once, and returns when each client has sent what it
// sends or its connection has failed, which is no error: the host may close it.
func (c *Crowd) run(count int, addr string, send func(client int, conn net.Conn)) {
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return
			}
			c.keep(conn)
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			send(i, conn)
		})
	}
	clients.Wait()
}

// keep keeps a connection open until Close.
func (c *Crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// ShortLines sends requests whose heads have the given size and are made of short lines.
// They announce bodies that never arrive.
func (c *Crowd) ShortLines(count int, target Target, headBytes int) {
	heads := make([]string, 2)
	for kind := range heads {
		head := target.head("Content-Length: 1000\r\n")
		heads[kind] = head + lines(kind, headBytes-len(head)-2) + "\r\n"
	}
	c.run(count, target.Addr, func(client int, conn net.Conn) {
		_, _ = conn.Write([]byte(heads[client%len(heads)]))
	})
}

// lines returns header lines of at most the given size: with distinct names (kind 0), or
// with one name (kind 1).
func lines(kind, size int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		line := "a:\n"
		if kind == 0 {
			line = shortName(i) + ":\n"
		}
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789"

func shortName(i int) string {
	name := []byte{'x'}
	for ; i > 0; i /= len(nameLetters) {
		name = append(name, nameLetters[i%len(nameLetters)])
	}
	return string(name)
}

// LongHeads sends heads far over the limit that do not end: of short lines, of one line,
// or of a request line. Half of the clients stop just short of 1 MB.
func (c *Crowd) LongHeads(count int, target Target) {
	heads := []string{
		target.head("") + lines(0, endlessBytes),
		target.head("x: ") + strings.Repeat("x", endlessBytes),
		target.Request + strings.Repeat("x", endlessBytes),
	}
	c.run(count, target.Addr, func(client int, conn net.Conn) {
		head := heads[client%len(heads)]
		if client%2 == 1 {
			head = head[:longHeadBytes]
		}
		_ = sendPieces(conn, head, 0)
	})
}

// EmptyLines sends empty lines before a request, for half of the clients the first one of
// the connection.
func (c *Crowd) EmptyLines(count int, target Target) {
	first := target.head("Content-Length: 0\r\n\r\n")
	empty := strings.Repeat("\r\n", endlessBytes/2)
	c.run(count, target.Addr, func(client int, conn net.Conn) {
		if client%2 == 1 {
			_, _ = conn.Write([]byte(first))
		}
		_ = sendPieces(conn, empty, 0)
	})
}

// Bodies sends bodies of the given size, with a length or in chunks, whole or piece by
// piece. Of eight clients, seven stop one byte short of the end. The bodies are JSON
// strings, which a decoder has to read to their end.
func (c *Crowd) Bodies(count int, target Target, size int) {
	body := `"` + strings.Repeat("x", size-2)
	c.run(count, target.Addr, func(client int, conn net.Conn) {
		interval := time.Duration(0)
		if client%2 == 1 {
			interval = pieceInterval
		}
		framing, before, after := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "", `"`
		if client%4 >= 2 {
			framing, before, after = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n", size), "\"\r\n0\r\n\r\n"
		}
		if sendPieces(conn, target.head(framing)+before, 0) != nil || sendPieces(conn, body, interval) != nil {
			return
		}
		if client%8 == 0 {
			_, _ = conn.Write([]byte(after))
		}
	})
}

func sendPieces(conn net.Conn, text string, interval time.Duration) error {
	for len(text) > 0 {
		n := min(len(text), pieceBytes)
		if _, err := conn.Write([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(interval)
	}
	return nil
}
