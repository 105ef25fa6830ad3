// Package rawserver is a stand-in for servers whose answers are malformed or end early,
// and for servers that do not read a request.
package rawserver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// End says what a server does with a connection after an answer.
type End int

// Values of End.
const (
	Close    End = iota // close it in order
	Reset               // reset it
	KeepOpen            // answer further requests on it
)

// Server answers requests with text that need not be a valid response.
type Server struct {
	listener net.Listener
	answer   func(*http.Request) (text string, end End)
	open     atomic.Int64
}

// Listen starts a server that answers requests with the text that answer returns.
func Listen(answer func(*http.Request) (text string, end End)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{listener: listener, answer: answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() error { return s.listener.Close() }

// Open returns the number of connections that neither side has closed.
func (s *Server) Open() int64 { return s.open.Load() }

func (s *Server) serve(c net.Conn) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		text, end := s.answer(r)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok && end == Reset {
			_ = tcp.SetLinger(0)
		}
		if end != KeepOpen {
			return
		}
	}
}

// Abandon calls send with the address of a server that does not read, cancels its context
// when the first bytes have arrived, and reads what arrives after send has returned. It
// returns the error that ends the connection, or nil if it is closed in order.
func Abandon(send func(ctx context.Context, addr string)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return neglect(func(addr string) { send(ctx, addr) }, cancel)
}

// Neglect is like Abandon with a send that ends by itself.
func Neglect(send func(addr string)) error { return neglect(send, func() {}) }

// neglect reads nothing but the first byte until send has returned.
func neglect(send func(addr string), arrived func()) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		send(listener.Addr().String())
	}()
	c, err := listener.Accept()
	if err != nil {
		return eris.Wrap(err, "accept")
	}
	defer func() { _ = c.Close() }()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return eris.Wrap(err, "read the first byte")
	}
	arrived()
	<-ended
	_, err = io.Copy(io.Discard, c)
	return err
}
