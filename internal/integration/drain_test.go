package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

// callerConn is a connection of a caller of the service "orders".
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialEntry(t *testing.T, h *testbed.EntryHost) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", h.Settings.Host.HTTPAddr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// call sends a call that may run once and reads its response to the end. A timeout of 0
// is the host's default.
func (c *callerConn) call(id string, timeout time.Duration) (status int, outcome string, err error) {
	text := fmt.Sprintf("POST /v1/services/orders/%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n",
		id, testbed.CallerToken, httpapi.HeaderRequestID, id, httpapi.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()))
	if timeout > 0 {
		text += fmt.Sprintf("%s: %d\r\n", httpapi.HeaderRequestTimeout, timeout.Milliseconds())
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(httpapi.HeaderOutcome), err
}

// Guards against calls that may run once and that a stopping host takes late in its
// drain, or had taken before, and ends without an answer.
func TestDrainEndsNoCallWithoutAnswer(t *testing.T) {
	const drainTimeout = 3 * time.Second
	s := startSystemWith(t, "lin", 1, tokenTime, func(s *settings.Settings) { s.Timing.DrainTimeout = drainTimeout })
	stopped, servers := s.Entries[0], s.Services["orders"]
	setDelay := func(delay time.Duration) {
		for _, server := range servers {
			server.SetFaults(serviced.Faults{DelayMS: int(delay.Milliseconds())})
		}
	}
	received := func(id string) bool {
		return slices.ContainsFunc(servers, func(server *serviced.Server) bool {
			return slices.ContainsFunc(server.Journal(), func(c serviced.Call) bool { return c.RequestID == id })
		})
	}
	var kept []*callerConn
	for i := range 3 {
		c := dialEntry(t, stopped)
		status, _, err := c.call(fmt.Sprintf("first-%d", i), 0)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, status)
		kept = append(kept, c)
	}
	setDelay(time.Minute)
	var calls sync.WaitGroup
	calls.Go(func() {
		status, outcome, err := kept[0].call("in-flight", 0)
		must.NoError(t, err)
		must.NotEqOp(t, http.StatusOK, status)
		must.EqOp(t, "unknown", outcome)
	})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return received("in-flight") }), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)))
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- stopped.Process.Stop() }()
	time.Sleep(time.Until(began.Add(stopped.Settings.Timing.DrainDelay + 300*time.Millisecond)))
	for id, c := range map[string]*callerConn{"late-kept": kept[1], "late-new": dialEntry(t, stopped)} {
		calls.Go(func() {
			status, outcome, err := c.call(id, 0)
			must.NoError(t, err, must.Sprint(id))
			must.EqOp(t, http.StatusServiceUnavailable, status, must.Sprint(id))
			must.EqOp(t, "not-run", outcome, must.Sprint(id))
			must.False(t, received(id), must.Sprint(id))
		})
	}
	time.Sleep(100 * time.Millisecond)
	setDelay(0)
	status, _, err := kept[2].call("late-short", time.Second)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, status)
	calls.Wait()
	must.NoError(t, <-ended)
}
