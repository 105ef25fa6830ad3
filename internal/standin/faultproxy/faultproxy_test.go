package faultproxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startEchoServer starts a server that echoes each line, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					_, _ = conn.Write([]byte(lines.Text() + "\n"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether the server echoes a line within the limit.
func echoes(conn net.Conn, limit time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "hello\n"
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 200 * time.Millisecond
)

// Guards against a silenced connection that is closed or forwards data again.
// Either would hide faults of clients that rely on connections just because they
// are open.
func TestSilencedConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	p, err := Listen(startEchoServer(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	old := dial(t, p)
	must.True(t, echoes(old, longTimeout))
	p.Silence()
	must.True(t, echoes(dial(t, p), longTimeout))
	must.False(t, echoes(old, shortTimeout))
	p.Restore()
	must.False(t, echoes(old, shortTimeout))
}

// Guards against a cut that leaves earlier connections open, or that blocks new
// ones after Restore.
func TestCutAndRestore(t *testing.T) {
	p, err := Listen(startEchoServer(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	old := dial(t, p)
	must.True(t, echoes(old, longTimeout))
	p.Cut()
	must.False(t, echoes(old, longTimeout))
	// The reset can arrive before the connection is established or after it.
	if fresh, err := net.Dial("tcp", p.Addr()); err == nil {
		must.False(t, echoes(fresh, longTimeout))
		_ = fresh.Close()
	}
	p.Restore()
	must.True(t, echoes(dial(t, p), longTimeout))
}

// Guards against a frozen direction that forwards data, and against data that is
// lost when the direction is restored.
func TestFrozenDirectionDeliversAfterRestore(t *testing.T) {
	p, err := Listen(startEchoServer(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	conn := dial(t, p)
	p.Freeze(ToClient)
	must.False(t, echoes(conn, shortTimeout))
	p.Restore()
	_ = conn.SetDeadline(time.Now().Add(longTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "hello\n", line)
}
