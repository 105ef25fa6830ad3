package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// exchangeTimeout bounds how long one client of Exchange sends requests.
	exchangeTimeout = 30 * time.Second
	// unreadBytes is the receive buffer of a client that reads nothing.
	unreadBytes = 4 << 10
)

// WithBody returns the text of a request to the target. fields are further header lines.
func (t Target) WithBody(fields, body string) string {
	return t.head(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", fields, len(body))) + body
}

// Exchange has each client send requests one after the other and read the responses.
// The client connects again after a response that closes its connection.
func (c *Crowd) Exchange(clients, requests int, addr string, request func(client, n int) string) {
	c.run(clients, addr, func(client int, conn net.Conn) {
		deadline := time.Now().Add(exchangeTimeout)
		for n := 0; n < requests && time.Now().Before(deadline); n++ {
			_ = conn.SetDeadline(deadline)
			if err := exchange(conn, request(client, n)); err == nil {
				continue
			}
			_ = conn.Close()
			var err error
			if conn, err = net.DialTimeout("tcp", addr, dialTimeout); err != nil {
				return
			}
			c.keep(conn)
		}
	})
}

// exchange sends a request and reads its response. A response that closes the connection
// is an error.
func exchange(conn net.Conn, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return net.ErrClosed
	}
	return nil
}

// Unread has each client send requests on one connection, without waiting for responses,
// and read nothing.
func (c *Crowd) Unread(clients, requests int, addr string, request func(client, n int) string) {
	c.run(clients, addr, func(client int, conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(unreadBytes)
		}
		for n := range requests {
			if sendPieces(conn, request(client, n), 0) != nil {
				return
			}
		}
	})
}
