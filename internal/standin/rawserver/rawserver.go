// Package rawserver is a stand-in for servers whose answers are malformed or end early.
package rawserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// Server answers requests with text that need not be a valid response.
type Server struct {
	listener net.Listener
	answer   func(*http.Request) (text string, reset bool)
}

// Listen starts a server that answers one request on each connection with the text
// that answer returns, and then closes the connection, or resets it.
func Listen(answer func(*http.Request) (text string, reset bool)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{listener, answer}
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

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	text, reset := s.answer(r)
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}
