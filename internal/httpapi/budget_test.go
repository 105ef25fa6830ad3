package httpapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/account"
)

// Guards against a body that is cut, or taken for whole although it ended early.
func TestBodyIsReadToItsEnd(t *testing.T) {
	b := NewBodyBudget(account.Unlimited())
	for _, size := range []int{0, 1, minBlockBytes - 1, minBlockBytes, minBlockBytes + 1, freeBodyBytes, 3 * freeBodyBytes} {
		want := bytes.Repeat([]byte("0123456"), size)[:size]
		for _, limit := range []int{size, size + 1, 1 << 30} {
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.OneByteReader(bytes.NewReader(want))} {
				got, err := b.readAll(t.Context(), r, -1, limit)
				must.NoError(t, err)
				must.True(t, bytes.Equal(want, got))
			}
		}
		if size > 0 {
			_, err := b.readAll(t.Context(), bytes.NewReader(want), -1, size-1)
			must.ErrorIs(t, err, ErrBodyTooLong)
		}
		_, err := b.readAll(t.Context(), io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 1<<30)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	must.EqOp(t, 0, b.account.Held(account.Responses))
}

// Guards against bodies that together take more memory than the process has for them, and
// against a small body that fails because of large ones.
func TestBodiesShareOneBudget(t *testing.T) {
	b := NewBodyBudget(account.New(account.Limits{Total: 4<<20 + 3*freeBodyBytes}))
	large, other := b.Share(t.Context()), b.Share(t.Context())
	must.NoError(t, large.Hold(4<<20))
	must.ErrorIs(t, other.Hold(1<<20), ErrBodyBudget)
	must.NoError(t, other.Hold(freeBodyBytes))
	_, err := b.readAll(t.Context(), strings.NewReader(strings.Repeat("x", freeBodyBytes/2)), -1, 1<<20)
	must.NoError(t, err)
	large.Release()
	must.NoError(t, other.Hold(1<<20))
	other.Release()
	must.EqOp(t, 0, b.account.Held(account.Responses))
	_, err = b.readAll(t.Context(), iotest.ErrReader(errors.New("broken")), -1, 1<<20)
	must.Error(t, err)
	must.EqOp(t, 0, b.account.Held(account.Responses))
}

// Guards against a response to HEAD that is refused for the length of a body that does not
// follow.
func TestLengthOfAHeadResponseIsNotRead(t *testing.T) {
	request := &http.Request{Method: http.MethodHead}
	response := &http.Response{Request: request, ContentLength: 1 << 30, Body: http.NoBody}
	body, err := NewBodyBudget(account.Unlimited()).ReadResponse(t.Context(), response, 1<<20)
	must.NoError(t, err)
	must.SliceEmpty(t, body)
	request.Method = http.MethodGet
	_, err = NewBodyBudget(account.Unlimited()).ReadResponse(t.Context(), response, 1<<20)
	must.ErrorIs(t, err, ErrBodyTooLong)
}
