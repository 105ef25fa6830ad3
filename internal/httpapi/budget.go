package httpapi

import (
	"errors"
	"io"
	"slices"
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
	// of 32 MiB, whose blocks are joined at its end, at 174 MB.
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

// Hold extends the share to the given size of the body. The first freeBodyBytes need no
// budget.
func (s *BodyShare) Hold(size int64) error {
	more := size - freeBodyBytes - s.held
	if more <= 0 {
		return nil
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
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
	var blocks [][]byte
	total := 0
	for {
		size := min(max(total, minBlockBytes), freeBodyBytes, limit+1-total)
		if err := share.Hold(int64(total + size)); err != nil {
			return nil, err
		}
		block, err := readBlock(body, size)
		blocks, total = append(blocks, block), total+len(block)
		switch {
		case total > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			if err := share.Hold(2 * int64(total)); err != nil {
				return nil, err
			}
			return slices.Concat(blocks...), nil
		case err != nil:
			return nil, err
		}
	}
}

// readBlock reads until the block is full, or up to an error.
func readBlock(body io.Reader, size int) ([]byte, error) {
	block, n := make([]byte, size), 0
	for n < size {
		read, err := body.Read(block[n:])
		n += read
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}
