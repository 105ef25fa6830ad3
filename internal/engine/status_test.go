package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/standin/rawserver"
)

// Guards against a response with a status that is none, which counts as a refusal or as the
// answer to a completion, a state read or an order.
func TestResponseWithAnInvalidStatusIsNoResponse(t *testing.T) {
	t.Run("completion", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", "data: {}\n\n", func(addr string) error {
			indexes, err := runStreamWithin(addr, nil, 20*time.Second)
			must.SliceEmpty(t, indexes)
			requireFailure(t, err, FailureBroken, 0)
			return err
		})
	})
	t.Run("state", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", "{}", func(addr string) error {
			_, err := NewAdminClient("").State(context.Background(), addr)
			return err
		})
	})
	t.Run("order", func(t *testing.T) {
		rawserver.CheckInvalidStatuses(t, "", "{}", func(addr string) error {
			err := NewAdminClient("").SendOrder(context.Background(), addr, Order{Kind: OrderLoadVersion})
			must.False(t, errors.Is(err, ErrFenced))
			return err
		})
	})
}
