package httpapi

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ActiveConns is the set of client connections with a request whose response was not
// sent yet. The zero value is an empty set. It is safe for concurrent use.
type ActiveConns struct {
	mu    sync.Mutex
	conns map[net.Conn]time.Time // since when each is active
}

// Observe is the http.Server.ConnState of the server whose connections are tracked. A
// connection is active from the header of a request to the last byte of its response, so
// that a response that is sent after its handler has returned counts.
func (a *ActiveConns) Observe(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != http.StateActive {
		delete(a.conns, c)
		return
	}
	if a.conns == nil {
		a.conns = make(map[net.Conn]time.Time)
	}
	a.conns[c] = time.Now()
}

// Count returns the number of connections.
func (a *ActiveConns) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// ActiveConn is a connection with a request whose response was not sent yet.
type ActiveConn struct {
	Client string
	For    time.Duration
}

// Longest returns the connections that have been active for the longest time, at most n.
func (a *ActiveConns) Longest(n int) []ActiveConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	all := make([]ActiveConn, 0, len(a.conns))
	for c, since := range a.conns {
		all = append(all, ActiveConn{c.RemoteAddr().String(), now.Sub(since)})
	}
	slices.SortFunc(all, func(x, y ActiveConn) int { return int(y.For - x.For) })
	return all[:min(n, len(all))]
}
