package httpapi

import (
	"net"
	"net/http"
	"sync"
)

// ActiveConns is the set of client connections with a request whose response was not
// sent yet. The zero value is an empty set. It is safe for concurrent use.
type ActiveConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
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
		a.conns = make(map[net.Conn]struct{})
	}
	a.conns[c] = struct{}{}
}

// Count returns the number of connections.
func (a *ActiveConns) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
