package netdial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"
)

// smallBuffer is a receive buffer that a peer fills quickly when it does not read.
const smallBuffer = 4 << 10

// connect returns a watched connection and its peer, which has a small receive buffer.
func connect(t *testing.T, timeouts AckTimeouts) (c net.Conn, peer *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c, err = WatchAcks((&net.Dialer{KeepAlive: -1}).DialContext, timeouts)(context.Background(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return c, accepted.(*net.TCPConn)
}

// control calls f with the file descriptor of a connection.
func control(t *testing.T, c net.Conn, f func(fd int)) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) { f(int(fd)) }))
}

func isEstablished(t *testing.T, c net.Conn) bool {
	t.Helper()
	established := false
	control(t, c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		must.NoError(t, err)
		established = info.State == unix.BPF_TCP_ESTABLISHED
	})
	return established
}

// hasKeepAlive reports whether the kernel probes an idle connection.
func hasKeepAlive(t *testing.T, c net.Conn) bool {
	t.Helper()
	value := 0
	control(t, c, func(fd int) {
		var err error
		value, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		must.NoError(t, err)
	})
	return value != 0
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against a connection that ends without a reset although sent bytes are not
// acknowledged: what is held up on the way would reach the peer later.
func TestConnectionWithUnacknowledgedBytesIsReset(t *testing.T) {
	c, peer := connect(t, AckTimeouts{Unacked: 200 * time.Millisecond, Silent: time.Second, MinUnacked: 100 * time.Millisecond})
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20)) // more than both buffers
		ended <- err
	}()
	must.ErrorIs(t, <-ended, ErrUnacknowledged)
	eventually(t, func() bool { return !isEstablished(t, peer) })
	_, err := c.Read(make([]byte, 1))
	must.ErrorIs(t, err, ErrUnacknowledged)
	_, err = io.Copy(io.Discard, peer)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against the reset of a connection whose peer reads slowly, or that has been idle.
func TestSlowPeerIsNotReset(t *testing.T) {
	c, peer := connect(t, AckTimeouts{Unacked: time.Second, Silent: 0, MinUnacked: 500 * time.Millisecond})
	const size = 8 << 20
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(c, io.LimitReader(zeros{}, size))
		ended <- err
	}()
	buffer, read := make([]byte, size/40), 0
	for read < size {
		n, err := io.ReadFull(peer, buffer[:min(len(buffer), size-read)])
		must.NoError(t, err)
		read += n
		time.Sleep(50 * time.Millisecond)
	}
	must.NoError(t, <-ended)
	time.Sleep(time.Second)
	_, err := peer.Write([]byte("x"))
	must.NoError(t, err)
	_, err = c.Read(buffer[:1])
	must.NoError(t, err)
}

// Guards against the reset of a connection on which a long write is acknowledged slowly
// but steadily.
func TestProgressOfAcknowledgedBytesRestartsTheTime(t *testing.T) {
	const allowed = 10 * time.Minute // the timer of the connection does not fire
	c, peer := connect(t, AckTimeouts{Unacked: allowed, Silent: 0, MinUnacked: allowed})
	w := c.(*WatchedConn)
	written := make(chan error, 1)
	go func() {
		_, err := w.Write(make([]byte, 64<<20)) // more than both buffers
		written <- err
	}()
	acked := func() int64 {
		unacked, err := w.unacked()
		must.NoError(t, err)
		return w.written - unacked
	}
	// later runs a check as if a time had passed since the progress that is known now.
	later := func(after time.Duration, known int64) (lost bool) {
		w.mu.Lock()
		w.since, w.acked = w.since.Add(-after), known
		w.mu.Unlock()
		w.check()
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.lost != nil
	}
	known := func() int64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.acked
	}
	for range 8 {
		from := known()
		eventually(t, func() bool {
			_, err := io.CopyN(io.Discard, peer, 64<<10)
			must.NoError(t, err)
			w.mu.Lock()
			defer w.mu.Unlock()
			return acked() > from
		})
		must.False(t, later(allowed*6/10, from)) // progress
		w.mu.Lock()
		now := acked()
		w.mu.Unlock()
		must.False(t, later(allowed*6/10, now)) // none since the check before
	}
	eventually(t, func() bool { return later(allowed, known()) })
	must.ErrorIs(t, <-written, ErrUnacknowledged)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against keep-alive probes that end a connection while bytes are not
// acknowledged or just before a request is sent, and against a wait without them.
func TestKeepAliveProbesOnlyWhileAResponseIsAwaited(t *testing.T) {
	c, peer := connect(t, AckTimeouts{Unacked: 2 * time.Second, Silent: 4 * time.Second, MinUnacked: time.Second})
	must.False(t, hasKeepAlive(t, c))
	c.(*WatchedConn).Probe(true)
	_, err := c.Write([]byte("x"))
	must.NoError(t, err)
	eventually(t, func() bool { return hasKeepAlive(t, c) })
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 16<<20))
		written <- err
	}()
	eventually(t, func() bool { return !hasKeepAlive(t, c) })
	_, err = io.CopyN(io.Discard, peer, 16<<20)
	must.NoError(t, err)
	must.NoError(t, <-written)
	eventually(t, func() bool { return hasKeepAlive(t, c) })
	c.(*WatchedConn).Probe(false)
	must.False(t, hasKeepAlive(t, c))
	_, err = c.Write([]byte("x"))
	must.NoError(t, err)
	time.Sleep(600 * time.Millisecond)
	must.False(t, hasKeepAlive(t, c))
}

// Guards against a silent peer that is given up later than an idle connection, and
// against one that is given up before a lost byte could be sent again.
func TestAllowedTimeShrinksWithSilence(t *testing.T) {
	timeouts := AckTimeouts{Unacked: 1500 * time.Millisecond, Silent: 3 * time.Second, MinUnacked: 700 * time.Millisecond}
	must.EqOp(t, 1500*time.Millisecond, timeouts.allowed(0))
	must.EqOp(t, time.Second, timeouts.allowed(2*time.Second))
	must.EqOp(t, 700*time.Millisecond, timeouts.allowed(time.Hour))
}
