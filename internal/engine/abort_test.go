package engine

import (
	"context"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a completion that reaches its engine after it was given up, because the
// kernel went on to send what it had buffered.
func TestAbandonedCompletionIsNotSentLater(t *testing.T) {
	must.ErrorIs(t, rawserver.Abandon(func(ctx context.Context, addr string) {
		request := GenerateRequest{RequestID: "r", Prompt: strings.Repeat("x", 32<<20)}
		_ = NewClient(Config{}).Stream(ctx, addr, request, func(Chunk) error { return nil })
	}), syscall.ECONNRESET)
}
