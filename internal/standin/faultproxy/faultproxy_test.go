package faultproxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startEcho answers each line with the same line.
func startEcho(t *testing.T) string {
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

// echo reports whether a line comes back within the limit.
func echo(conn net.Conn, limit time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "hello\n"
}

const (
	enough = 10 * time.Second
	short  = 200 * time.Millisecond
)

// Guards against a silenced connection that is closed or that wakes up, which
// would hide faults of clients that trust open connections.
func TestSilencedConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	p, err := Listen(startEcho(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	old := dial(t, p)
	must.True(t, echo(old, enough))
	p.Silence()
	must.True(t, echo(dial(t, p), enough))
	must.False(t, echo(old, short))
	p.Restore()
	must.False(t, echo(old, short))
}

// Guards against a cut that leaves old connections open or blocks new ones
// after it is over.
func TestCutAndRestore(t *testing.T) {
	p, err := Listen(startEcho(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	old := dial(t, p)
	must.True(t, echo(old, enough))
	p.Cut()
	must.False(t, echo(old, enough))
	// The reset can arrive before the connection is established or after it.
	if fresh, err := net.Dial("tcp", p.Addr()); err == nil {
		must.False(t, echo(fresh, enough))
		_ = fresh.Close()
	}
	p.Restore()
	must.True(t, echo(dial(t, p), enough))
}

// Guards against a frozen direction that lets data through, and against data
// that is lost when the direction is restored.
func TestFrozenDirectionDeliversAfterRestore(t *testing.T) {
	p, err := Listen(startEcho(t))
	must.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	conn := dial(t, p)
	p.Freeze(ToClient)
	must.False(t, echo(conn, short))
	p.Restore()
	_ = conn.SetDeadline(time.Now().Add(enough))
	line, err := bufio.NewReader(conn).ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "hello\n", line)
}
