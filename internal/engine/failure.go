package engine

import "fmt"

// Failure tells how far a failed completion got.
type Failure int

// Failures of a completion.
const (
	// FailureNotSent means that no connection was made: the engine has not seen the request.
	FailureNotSent Failure = iota
	// FailureRefused means that the engine answered with an error status.
	FailureRefused
	// FailureBroken means that the connection broke or the stream lost a chunk.
	FailureBroken
	// FailureSilent means that no chunk came within the progress timeout.
	FailureSilent
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	return [...]string{"not-sent", "refused", "broken", "silent"}[f]
}

// StreamError is the error of a completion that did not end with a finish reason.
type StreamError struct {
	Failure  Failure
	Addr     string
	Status   int // HTTP status of a refusal
	Received int // chunks accepted before the failure
	err      error
}

func (e *StreamError) Error() string {
	return fmt.Sprintf("engine %s: %s after %d chunks: %v", e.Addr, e.Failure, e.Received, e.err)
}

func (e *StreamError) Unwrap() error { return e.err }

// MayHaveReached reports whether the engine may have seen the request.
func (e *StreamError) MayHaveReached() bool { return e.Failure != FailureNotSent }
