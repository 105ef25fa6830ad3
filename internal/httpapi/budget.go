package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/sesamestand/sesamestand/internal/core/account"
)

// Errors of bodies that are not read to their end.
var (
	ErrBodyTooLong = errors.New("body of the answer exceeds the maximum size")
	ErrBodyBudget  = errors.New("the process has no memory for the body of the answer")
)

const (
	// freeBodyBytes is the part of each body of the process's own requests that is counted
	// whether there is room or not.
	freeBodyBytes = 256 << 10
	// wholeBodyBytes is the announced length up to which the body of a response to a client
	// gets its memory in one step. Responses that each have got a part of it and wait for
	// the rest keep it from one another.
	wholeBodyBytes = 4 << 20
	// minBlockBytes is the size of the first block of a body.
	minBlockBytes = 4 << 10
)

// ClientMemory counts the memory that a client's request makes the process hold until its
// response was sent.
type ClientMemory interface {
	// Hold counts more bytes, or returns some if they are negative. It may wait for room.
	Hold(more int64) error
}

type clientMemoryKey struct{}

// WithClientMemory returns the context of a client's request.
func WithClientMemory(ctx context.Context, m ClientMemory) context.Context {
	return context.WithValue(ctx, clientMemoryKey{}, m)
}

// ClientMemoryOf returns the memory of the client's request that is handled, or nil.
func ClientMemoryOf(ctx context.Context) ClientMemory {
	m, _ := ctx.Value(clientMemoryKey{}).(ClientMemory)
	return m
}

// BodyBudget counts the memory of the bodies of responses, those to clients' requests
// with the client and the others on the account of the process. It is safe for concurrent
// use.
type BodyBudget struct{ account *account.Account }

// NewBodyBudget returns a budget that counts on an account.
func NewBodyBudget(a *account.Account) *BodyBudget { return &BodyBudget{a} }

// BodyShare is the memory of one body.
type BodyShare struct {
	account *account.Account
	client  ClientMemory // of the request that the body answers; nil if it is the process's own
	held    int64
}

// Share returns the share of a body, which holds nothing yet. It must be released.
func (b *BodyBudget) Share(ctx context.Context) *BodyShare {
	return &BodyShare{account: b.account, client: ClientMemoryOf(ctx)}
}

// Hold sets the share to the given size of the body.
func (s *BodyShare) Hold(size int64) error {
	more := size - s.held
	switch {
	case s.client != nil:
		if err := s.client.Hold(more); err != nil {
			return err
		}
	case more <= 0 || size <= freeBodyBytes:
		s.account.Add(account.Responses, more)
	case !s.account.Take(account.Responses, more):
		return ErrBodyBudget
	}
	s.held = size
	return nil
}

// Release returns what the share holds.
func (s *BodyShare) Release() {
	_ = s.Hold(0) // less is always granted
}

// ReadResponse reads the body of a response, of at most limit bytes, to its end. If the
// response answers a client's request, the body counts until it was sent to the client.
func (b *BodyBudget) ReadResponse(ctx context.Context, response *http.Response, limit int) ([]byte, error) {
	length := response.ContentLength
	if response.Request != nil && response.Request.Method == http.MethodHead {
		length = -1 // announces a body that does not follow
	}
	return b.readAll(ctx, response.Body, length, limit)
}

// readAll is ReadResponse for a body with an announced length, or a negative one.
func (b *BodyBudget) readAll(ctx context.Context, body io.Reader, length int64, limit int) ([]byte, error) {
	share := b.Share(ctx)
	least := int64(minBlockBytes)
	if share.client != nil && length <= wholeBodyBytes {
		least = max(least, length)
	}
	data, err := readBlocks(body, length, int64(limit), least, share.Hold)
	if err != nil || share.client == nil {
		share.Release()
	}
	return data, err
}

// ReadBody reads a body of at most limit bytes to its end. length is the announced one, or
// negative. hold is called with all memory of the body before more is taken: 1.5 times the
// limit at most.
func ReadBody(body io.Reader, length, limit int64, hold func(size int64) error) ([]byte, error) {
	return readBlocks(body, length, limit, minBlockBytes, hold)
}

// readBlocks is ReadBody with a least size of the blocks into which the body moves.
func readBlocks(body io.Reader, length, limit, least int64, hold func(size int64) error) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLong
	}
	target := limit
	if length >= 0 {
		target = length
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) == target {
				if err := readEnd(body); err != nil {
					return nil, err
				}
				return buffer, nil
			}
			var err error
			if buffer, err = enlarge(buffer, nextBlock(int64(cap(buffer)), target, least), hold); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// enlarge moves a body into a larger block.
func enlarge(buffer []byte, size int64, hold func(size int64) error) ([]byte, error) {
	if err := hold(int64(cap(buffer)) + size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	return larger, hold(size)
}

// nextBlock returns the size of the block that follows one of the given size: of halves of
// the target the smallest one that is larger and not below the least size.
func nextBlock(size, target, least int64) int64 {
	next := target
	for next/2 > size && next/2 >= least {
		next /= 2
	}
	return next
}

// readEnd returns ErrBodyTooLong if a body goes on.
func readEnd(body io.Reader) error {
	var b [1]byte
	for {
		n, err := body.Read(b[:])
		switch {
		case n > 0:
			return ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
