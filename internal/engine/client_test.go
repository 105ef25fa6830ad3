package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startEngine starts an engine that handles completions with handler. It returns
// the engine's address and a channel that receives a value for each cancel call.
func startEngine(t *testing.T, handler http.HandlerFunc) (addr string, cancelled chan struct{}) {
	cancelled = make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", handler)
	mux.HandleFunc("POST /cancel", func(http.ResponseWriter, *http.Request) { cancelled <- struct{}{} })
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String(), cancelled
}

func runStream(addr string, delivered []string) ([]int, error) {
	return runStreamWithin(addr, delivered, 200*time.Millisecond)
}

func runStreamWithin(addr string, delivered []string, progressTimeout time.Duration) ([]int, error) {
	client := NewClient(Config{ProgressTimeout: progressTimeout})
	var indexes []int
	err := client.Stream(context.Background(), addr, GenerateRequest{RequestID: "r", Delivered: delivered},
		func(chunk Chunk) error {
			indexes = append(indexes, chunk.Index)
			return nil
		})
	return indexes, err
}

func writeEvents(w http.ResponseWriter, lines ...string) {
	for _, line := range lines {
		fmt.Fprintf(w, "data: %s\n\n", line)
	}
	w.(http.Flusher).Flush()
}

// Guards against misclassified failures. Only a request that was never sent is
// known not to have run, so no other failure may be reported as FailureNotSent.
func TestStreamClassifiesFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = runStream(closed, nil)
	requireFailure(t, err, FailureNotSent, 0)

	addr, _ := startEngine(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) })
	_, err = runStream(addr, nil)
	requireFailure(t, err, FailureRefused, 0)

	first := `{"request_id":"r","index":0,"token":"a"}`
	addr, _ = startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, first)
		panic(http.ErrAbortHandler)
	})
	_, err = runStream(addr, nil)
	requireFailure(t, err, FailureBroken, 1)

	addr, _ = startEngine(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, first, "[DONE]") })
	_, err = runStream(addr, nil)
	requireFailure(t, err, FailureBroken, 1)

	addr, _ = startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, first, `{"request_id":"r","index":2,"token":"c","finish_reason":"stop"}`)
	})
	_, err = runStream(addr, nil)
	requireFailure(t, err, FailureBroken, 1)
}

func requireFailure(t *testing.T, err error, failure Failure, received int) {
	t.Helper()
	var got *StreamError
	must.True(t, errors.As(err, &got), must.Sprint(err))
	must.Eq(t, failure, got.Failure)
	must.Eq(t, received, got.Received)
	must.Eq(t, failure != FailureNotSent, got.MayHaveReachedEngine())
}

// Guards against an engine that still runs a request after its stream timed out,
// and against repeated chunks or chunks of other requests that reset the timeout.
func TestStreamCancelsSilentEngine(t *testing.T) {
	addr, cancelled := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, `{"request_id":"r","index":0,"token":"a"}`)
		for r.Context().Err() == nil {
			writeEvents(w, `{"request_id":"other","index":1,"token":"x"}`, `{"request_id":"r","index":0,"token":"a"}`)
			time.Sleep(10 * time.Millisecond)
		}
	})
	indexes, err := runStream(addr, nil)
	requireFailure(t, err, FailureSilent, 1)
	must.Eq(t, []int{0}, indexes)
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("engine did not receive a cancel call within 20 s")
	}
}

// Guards against a resumed stream that repeats tokens of earlier attempts or
// skips any.
func TestResumedStreamContinuesAfterDelivered(t *testing.T) {
	addr, _ := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 4 {
			writeEvents(w, fmt.Sprintf(`{"request_id":"r","index":%d,"token":"a"}`, i))
		}
		writeEvents(w, `{"request_id":"r","index":4,"token":"a","finish_reason":"length"}`, "[DONE]")
	})
	indexes, err := runStream(addr, []string{"a", "a"})
	must.NoError(t, err)
	must.Eq(t, []int{2, 3, 4}, indexes)
}

// Guards against a progress timeout that is triggered by a slow caller although
// the engine has sent its chunks in time.
func TestSlowSinkDoesNotTimeOut(t *testing.T) {
	addr, _ := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, `{"request_id":"r","index":0,"token":"a"}`,
			`{"request_id":"r","index":1,"token":"a","finish_reason":"stop"}`, "[DONE]")
	})
	client := NewClient(Config{ProgressTimeout: 100 * time.Millisecond})
	must.NoError(t, client.Stream(context.Background(), addr, GenerateRequest{RequestID: "r"}, func(Chunk) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	}))
}
