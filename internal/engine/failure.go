package engine

import "fmt"

// Failure classifies how a completion failed.
type Failure int

// Values of Failure.
const (
	// FailureNotSent means that no connection was established, so the engine
	// cannot have received the request.
	FailureNotSent Failure = iota
	// FailureRefused means that the engine responded with an error status.
	FailureRefused
	// FailureBroken means that the connection broke, or that the stream was
	// incomplete or invalid.
	FailureBroken
	// FailureSilent means that no new chunk arrived within the progress timeout.
	FailureSilent
	// FailureExpired means that the request was not written and acknowledged before it
	// expired. A part of it may have reached the engine.
	FailureExpired
)

// String returns the name that logs and metrics use.
func (f Failure) String() string {
	return [...]string{"not-sent", "refused", "broken", "silent", "expired"}[f]
}

// StreamError is returned for a completion that ended without a finish reason.
type StreamError struct {
	Failure  Failure
	Addr     string
	Status   int // HTTP status if Failure is FailureRefused
	Received int // chunks accepted before the failure
	err      error
}

func (e *StreamError) Error() string {
	return fmt.Sprintf("engine %s: %s after %d chunks: %v", e.Addr, e.Failure, e.Received, e.err)
}

func (e *StreamError) Unwrap() error { return e.err }

// MayHaveReachedEngine reports whether the engine may have received the request.
func (e *StreamError) MayHaveReachedEngine() bool { return e.Failure != FailureNotSent }
