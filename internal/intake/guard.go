// Package intake guards the addresses of a host against clients outside the operators'
// control. Its listeners, connections and HTTP handler carry out what core/intake decides.
package intake

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/account"
	core "github.com/sesamestand/sesamestand/internal/core/intake"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Limits of connections and memory.
const (
	// connectionShare is the share of the process's memory for buffers and stacks of
	// connections, of some connectionBytes each.
	connectionShare = 0.25
	connectionBytes = 16 << 10
	// clientShare is the share of the descriptors for clients. The host needs the rest for
	// backend servers, the store and other hosts.
	clientShare = 0.75
	// peerShare is the share of other hosts in the connections of clients.
	peerShare = 0.3
	// operatorShare is the share of the readiness and metrics addresses, which need at
	// most operatorConnections.
	operatorShare       = 0.125
	operatorConnections = 64
	// fallbackConnections is used if the descriptors are unknown.
	fallbackConnections = 256
)

// Timeouts.
const (
	// DefaultHeadTimeout bounds the time of a head if the configuration allows no more.
	DefaultHeadTimeout = 10 * time.Second
	bodyTimeout        = 30 * time.Second
	responseTimeout    = 30 * time.Second
	// idleTimeout is far above the idle timeout that operators configure for clients,
	// which may send on an idle connection until that timeout.
	idleTimeout = 2 * time.Minute
	// roomTimeout bounds how long a request waits for memory.
	roomTimeout = 2 * time.Second
	// sweepInterval is the interval at which connections without progress are closed, and
	// at which waiting requests ask again.
	sweepInterval = 250 * time.Millisecond
	// gaugeSweeps is the number of sweeps between two updates of the gauges.
	gaugeSweeps = 8
)

const (
	// DefaultHeadBytes is the limit of heads without a configuration.
	DefaultHeadBytes = 16 << 10
	// headSlackBytes is added to the limit of heads, as net/http does.
	headSlackBytes = 4 << 10
	// maxHeadBytes bounds heads whatever the configuration allows.
	maxHeadBytes = 1 << 20
)

// HeadLimits are the limits of heads that the configuration names; 0 means none.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration
}

// Options configure a Guard.
type Options struct {
	MemoryMB       float64 // memory limit of the process, or 0
	MaxConnections int     // of clients; 0 means a share of the descriptors
	// Account counts what the connections hold, beside other consumers of the process.
	Account  *account.Account
	Recorder *telemetry.Recorder
	// Heads returns the limits of heads, which may change. nil means the defaults.
	Heads func() HeadLimits
}

// Guard guards all addresses of a process. It is safe for concurrent use.
type Guard struct {
	options Options
	logged  *rate.Limiter

	mu        sync.Mutex
	table     *core.Table
	conns     map[core.ID]*Conn
	byRemote  map[string]*Conn // connections of peers that are not known yet
	changed   chan struct{}    // closed when memory was returned
	headBytes int
}

// New returns a guard.
func New(options Options) *Guard {
	g := &Guard{
		options: options, logged: rate.NewLimiter(1, 5), table: core.NewTable(core.Limits{}, options.Account),
		conns: make(map[core.ID]*Conn), byRemote: make(map[string]*Conn), changed: make(chan struct{}),
	}
	g.updateLimits()
	return g
}

// Run closes connections without progress until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for sweep := 0; ; sweep++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.updateLimits()
		if sweep%gaugeSweeps == 0 {
			g.observeHeld()
		}
		g.mu.Lock()
		closing := g.table.Expired(time.Now())
		g.notify()
		g.mu.Unlock()
		g.close(closing)
	}
}

// observeHeld sets the gauges of the memory that clients make the process hold.
func (g *Guard) observeHeld() {
	if g.options.Recorder == nil {
		return
	}
	for _, c := range account.Consumers() {
		g.options.Recorder.Set("client_memory_bytes", g.options.Account.Held(c), "consumer", c.String())
	}
}

// updateLimits applies the limits of the settings and of the newest configuration.
func (g *Guard) updateLimits() {
	heads := HeadLimits{}
	if g.options.Heads != nil {
		heads = g.options.Heads()
	}
	if heads.Bytes <= 0 {
		heads.Bytes = DefaultHeadBytes
	}
	limits := core.Limits{
		HeadTimeout: max(DefaultHeadTimeout, heads.Timeout), BodyTimeout: bodyTimeout, ResponseTimeout: responseTimeout,
	}
	connections := g.maxConnections()
	if memory := g.options.MemoryMB * (1 << 20); memory > 0 {
		connections = min(connections, int(memory*connectionShare/connectionBytes))
	}
	operators, peers := min(operatorConnections, int(float64(connections)*operatorShare)), int(float64(connections)*peerShare)
	limits.Connections[core.Operators], limits.Connections[core.Peers] = operators, peers
	limits.Connections[core.Callers] = connections - operators - peers
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headBytes = min(heads.Bytes+headSlackBytes, maxHeadBytes)
	g.table.SetLimits(limits)
}

func (g *Guard) maxConnections() int {
	if g.options.MaxConnections > 0 {
		return g.options.MaxConnections
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		klog.ErrorS(err, "limit of descriptors not read")
		return fallbackConnections
	}
	return int(float64(min(descriptors.Cur, 1<<20)) * clientShare)
}

// notify wakes requests that wait for memory. g.mu is held.
func (g *Guard) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// close closes connections, and records why.
func (g *Guard) close(closing []core.Closing) {
	for _, c := range closing {
		g.mu.Lock()
		conn := g.conns[c.ID]
		g.mu.Unlock()
		if conn != nil {
			g.record("closed", c.Reason, conn.RemoteAddr())
			conn.abort()
		}
	}
}

// record counts a connection that was closed or a request that was refused, and logs some
// of them.
func (g *Guard) record(what string, reason core.Reason, client net.Addr) {
	if g.options.Recorder != nil {
		g.options.Recorder.Count("untrusted_clients_total", "action", what, "reason", string(reason))
	}
	if g.logged.Allow() {
		g.mu.Lock()
		held, connections := g.table.Held()
		g.mu.Unlock()
		klog.InfoS("client "+what, "reason", reason, "client", client, "held_bytes", held, "connections", connections)
	}
}

// Peers wraps the listener of the peer address.
func (g *Guard) Peers(inner net.Listener) net.Listener { return g.Listen(inner, core.Peers, false) }

// Listen wraps the listener of an address. encrypted says that bytes of its connections
// are not those of HTTP.
func (g *Guard) Listen(inner net.Listener, address core.Address, encrypted bool) net.Listener {
	return &listener{Listener: inner, guard: g, address: address, opaque: encrypted}
}

type listener struct {
	net.Listener
	guard   *Guard
	address core.Address
	opaque  bool
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.open(accepted, l.address, l.opaque); conn != nil {
			return conn, nil
		}
		l.guard.record("refused", core.NoConnection, accepted.RemoteAddr())
		_ = accepted.Close()
	}
}

func (g *Guard) open(accepted net.Conn, address core.Address, opaque bool) *Conn {
	g.mu.Lock()
	id, closing, ok := g.table.Open(address, time.Now())
	conn := &Conn{Conn: accepted, guard: g, id: id, peer: address == core.Peers, opaque: opaque, ended: make(chan struct{})}
	if ok {
		g.conns[id] = conn
	}
	if ok && address == core.Peers {
		g.byRemote[accepted.RemoteAddr().String()] = conn
	}
	g.mu.Unlock()
	g.close(closing)
	if !ok {
		return nil
	}
	return conn
}

// Known notes that the peer with this address has a valid token.
func (g *Guard) Known(remote net.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if conn := g.byRemote[remote.String()]; conn != nil {
		delete(g.byRemote, remote.String())
		g.table.Enter(conn.id, core.Idle, time.Now())
	}
}

// remove removes a connection that has ended.
func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(c.id)
	delete(g.conns, c.id)
	if remote := c.RemoteAddr().String(); g.byRemote[remote] == c {
		delete(g.byRemote, remote)
	}
	g.notify()
}
