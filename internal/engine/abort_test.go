package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a completion that reaches its engine after it was given up, because the
// kernel went on to send what it had buffered.
func TestAbandonedCompletionIsNotSentLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		request := GenerateRequest{RequestID: "r", Prompt: strings.Repeat("x", 32<<20)}
		_ = NewClient(Config{}).Stream(ctx, listener.Addr().String(), request, func(Chunk) error { return nil })
	}()
	c, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.ReadFull(c, make([]byte, 1))
	must.NoError(t, err)
	cancel()
	<-ended
	_, err = io.Copy(io.Discard, c)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
