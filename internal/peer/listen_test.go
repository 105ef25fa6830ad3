package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// blockedLimits grants requests once it is released.
type blockedLimits struct{ entered, released chan struct{} }

func (b *blockedLimits) Acquire(context.Context, *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	close(b.entered)
	<-b.released
	return &peerpb.AcquireReply{}, nil
}

// Guards against a stop that waits for a silent connection, and against one that cuts the
// calls of established connections.
func TestGracefulStopClosesOnlyConnectionsWithoutHandshake(t *testing.T) {
	l, err := Listen("127.0.0.1:0", func(l net.Listener) net.Listener { return l })
	must.NoError(t, err)
	calls := &blockedLimits{entered: make(chan struct{}), released: make(chan struct{})}
	server := grpc.NewServer(ServerOptions("", nil, nil)...)
	peerpb.RegisterLimitsServer(server, &LimitsServer{LimitsHandler: calls})
	go func() { _ = server.Serve(l) }()
	pool := NewPool("", nil)
	t.Cleanup(pool.Close)
	answered := make(chan error, 1)
	go func() {
		_, err := pool.Acquire(t.Context(), l.Addr().String(), &peerpb.AcquireRequest{})
		answered <- err
	}()
	<-calls.entered
	silent, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	must.NoError(t, silent.SetReadDeadline(time.Now().Add(20*time.Second)))
	buffer := make([]byte, 1024)
	_, err = silent.Read(buffer) // the server has begun the handshake
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	for err == nil {
		_, err = silent.Read(buffer)
	}
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	close(calls.released)
	must.NoError(t, <-answered)
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the server does not stop")
	}
}
