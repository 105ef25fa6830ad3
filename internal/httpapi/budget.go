package httpapi

import (
	"errors"
	"io"
	"sync"
)

// Errors of bodies that are not read to their end.
var (
	ErrBodyTooLong = errors.New("body of the answer exceeds the maximum size")
	ErrBodyBudget  = errors.New("bodies of answers that are being read exceed the memory for them")
)

const (
	// freeBodyBytes is the part of each body that no budget is needed for.
	freeBodyBytes = 256 << 10
	// minBlockBytes is the size of the first block of a body.
	minBlockBytes = 4 << 10
	// bodyMemoryShare is the share of a process's memory limit for bodies. It allows one
	// of 32 MiB, which moves into its last block half-way, at 120 MB.
	bodyMemoryShare = 0.4
	// unlimitedBodyBytes is the budget of a process without a memory limit.
	unlimitedBodyBytes = 512 << 20
)

// BodyBudget bounds the memory of all bodies of responses that are being read at a time.
// A limit for each of them is not enough: several servers may send bytes without end at
// once. It is safe for concurrent use.
type BodyBudget struct {
	mu   sync.Mutex
	left int64
}

// NewBodyBudget returns the budget of a process with a memory limit in MB, or 0 for none.
func NewBodyBudget(memoryMB float64) *BodyBudget {
	if memoryMB <= 0 {
		return &BodyBudget{left: unlimitedBodyBytes}
	}
	return &BodyBudget{left: int64(memoryMB * bodyMemoryShare * (1 << 20))}
}

// BodyShare is the part of the budget that one body holds.
type BodyShare struct {
	budget *BodyBudget
	held   int64
}

// Share returns the share of a body, which holds nothing yet. It must be released.
func (b *BodyBudget) Share() *BodyShare { return &BodyShare{budget: b} }

// Hold sets the share to the given size of the body. The first freeBodyBytes need no
// budget.
func (s *BodyShare) Hold(size int64) error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	more := max(size-freeBodyBytes, 0) - s.held
	if more > s.budget.left {
		return ErrBodyBudget
	}
	s.budget.left -= more
	s.held += more
	return nil
}

// Release returns the share to the budget.
func (s *BodyShare) Release() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.left += s.held
	s.held = 0
}

// ReadAll reads a body of at most limit bytes to its end.
func (b *BodyBudget) ReadAll(body io.Reader, limit int) ([]byte, error) {
	share := b.Share()
	defer share.Release()
	return ReadBody(body, -1, int64(limit), share.Hold)
}

// ReadBody reads a body of at most limit bytes to its end. length is the announced one, or
// negative. hold is called with all memory of the body before more is taken: 1.5 times the
// limit at most.
func ReadBody(body io.Reader, length, limit int64, hold func(size int64) error) ([]byte, error) {
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
			if buffer, err = enlarge(buffer, nextBlock(int64(cap(buffer)), target), hold); err != nil {
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
// the target the smallest one that is larger, and at least minBlockBytes.
func nextBlock(size, target int64) int64 {
	next := target
	for next/2 > size && next/2 >= minBlockBytes {
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
