package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
	core "github.com/sesamestand/sesamestand/internal/core/intake"
)

// serve serves the size of each body on a guarded address.
func serve(t *testing.T, guard *Guard, limit int64) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, limit)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}), nil)
	go func() { _ = server.Serve(guard.Listen(listener, core.Callers, false)) }()
	ctx, stop := context.WithCancel(context.Background())
	go guard.Run(ctx)
	t.Cleanup(func() {
		stop()
		_ = server.Close()
	})
	return listener.Addr().String()
}

// smallOptions returns the options of a process with a memory limit in MB.
func smallOptions(memoryMB float64) Options {
	return Options{MemoryMB: memoryMB, Account: account.New(account.NewLimits(memoryMB, 0.45, 0))}
}

// requireEmpty waits until no memory and no connection is counted.
func requireEmpty(t *testing.T, guard *Guard) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		guard.mu.Lock()
		held, connections := guard.table.Held()
		left := len(guard.conns) + len(guard.byRemote)
		guard.mu.Unlock()
		if held == 0 && connections == 0 && left == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held by %d connections, %d are known", held, connections, left)
		}
	}
}

func post(t *testing.T, client *http.Client, addr string, body io.Reader) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr, body)
	must.NoError(t, err)
	return do(t, client, request)
}

func do(t *testing.T, client *http.Client, request *http.Request) string {
	t.Helper()
	response, err := client.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return fmt.Sprint(response.StatusCode, " ", string(text))
}

// Guards against a body of the largest permitted size that is not served alone on the
// smallest hosts, and against memory that is not returned.
func TestLargestBodyIsServedOnTheSmallestHost(t *testing.T) {
	const size = 32 << 20
	guard := New(smallOptions(144))
	addr, client := serve(t, guard, size), &http.Client{Transport: &http.Transport{}}
	for range 3 {
		must.EqOp(t, fmt.Sprint("200 ", size), post(t, client, addr, strings.NewReader(strings.Repeat("x", size))))
		chunked := io.MultiReader(strings.NewReader(strings.Repeat("x", size)))
		must.EqOp(t, fmt.Sprint("200 ", size), post(t, client, addr, chunked))
	}
	must.EqOp(t, "503 ", post(t, client, addr, strings.NewReader(strings.Repeat("x", size+1))))
	client.CloseIdleConnections()
	requireEmpty(t, guard)
}

// Guards against heads beyond the limit of the configuration, which may change, and
// against the refusal of heads within it.
func TestHeadBeyondTheLimitIsRefused(t *testing.T) {
	guard := New(Options{Account: account.Unlimited(), Heads: func() HeadLimits { return HeadLimits{Bytes: 8 << 10} }})
	addr := serve(t, guard, 1<<10)
	for size, want := range map[int]string{8 << 10: "200", 8<<10 + headSlackBytes + 1: "431", 300 << 10: "431"} {
		conn, err := net.Dial("tcp", addr)
		must.NoError(t, err)
		line := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nx: "
		go func() { _, _ = io.WriteString(conn, line+strings.Repeat("x", size-len(line)-4)+"\r\n\r\n") }()
		status, err := bufio.NewReader(conn).ReadString('\n')
		must.NoError(t, err)
		must.StrContains(t, status, want, must.Sprintf("head of %d bytes", size))
		_ = conn.Close()
	}
	requireEmpty(t, guard)
}

// Guards against bodies that stop just short of their end and keep others from being
// served.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const size = 1 << 20
	options := smallOptions(8)
	options.MaxConnections = 100
	guard := New(options)
	addr := serve(t, guard, size)
	for range 10 {
		conn, err := net.Dial("tcp", addr)
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	must.EqOp(t, "200 8", post(t, client, addr, strings.NewReader("ordinary")))
	// Bodies that wait for memory are refused in time, so a caller that sends again is served.
	for deadline := time.Now().Add(time.Minute); ; {
		answer := post(t, client, addr, strings.NewReader(strings.Repeat("x", size)))
		if answer == fmt.Sprint("200 ", size) {
			return
		}
		must.EqOp(t, "503 ", answer)
		must.True(t, time.Now().Before(deadline), must.Sprint("the large body is never served"))
	}
}
