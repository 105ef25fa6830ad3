package httpapi

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// Guards against a body that is cut, or taken for whole although it ended early.
func TestBodyIsReadToItsEnd(t *testing.T) {
	b := NewBodyBudget(0)
	for _, size := range []int{0, 1, minBlockBytes - 1, minBlockBytes, minBlockBytes + 1, freeBodyBytes, 3 * freeBodyBytes} {
		want := bytes.Repeat([]byte("0123456"), size)[:size]
		for _, limit := range []int{size, size + 1, 1 << 30} {
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.OneByteReader(bytes.NewReader(want))} {
				got, err := b.ReadAll(r, limit)
				must.NoError(t, err)
				must.True(t, bytes.Equal(want, got))
			}
		}
		if size > 0 {
			_, err := b.ReadAll(bytes.NewReader(want), size-1)
			must.ErrorIs(t, err, ErrBodyTooLong)
		}
		_, err := b.ReadAll(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<30)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	must.EqOp(t, unlimitedBodyBytes, b.left)
}

// Guards against bodies that together take more memory than the process has for them, and
// against a small body that fails because of large ones.
func TestBodiesShareOneBudget(t *testing.T) {
	b := NewBodyBudget(10)
	large, other := b.Share(), b.Share()
	must.NoError(t, large.Hold(4<<20))
	must.ErrorIs(t, other.Hold(1<<20), ErrBodyBudget)
	must.NoError(t, other.Hold(freeBodyBytes))
	_, err := b.ReadAll(strings.NewReader(strings.Repeat("x", freeBodyBytes/2)), 1<<20)
	must.NoError(t, err)
	large.Release()
	must.NoError(t, other.Hold(1<<20))
	other.Release()
	must.EqOp(t, 4<<20, b.left)
	_, err = b.ReadAll(iotest.ErrReader(errors.New("broken")), 1<<20)
	must.Error(t, err)
	must.EqOp(t, 4<<20, b.left)
}
