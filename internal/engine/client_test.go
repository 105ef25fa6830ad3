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

// serve returns the address of an engine that answers completions with handler
// and reports cancelled requests.
func serve(t *testing.T, handler http.HandlerFunc) (addr string, cancelled chan struct{}) {
	cancelled = make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", handler)
	mux.HandleFunc("POST /cancel", func(http.ResponseWriter, *http.Request) { cancelled <- struct{}{} })
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String(), cancelled
}

func stream(addr string, delivered []string) ([]int, error) {
	client := NewClient(Config{ProgressTimeout: 200 * time.Millisecond})
	var indexes []int
	err := client.Stream(context.Background(), addr, GenerateRequest{RequestID: "r", Delivered: delivered},
		func(chunk Chunk) error {
			indexes = append(indexes, chunk.Index)
			return nil
		})
	return indexes, err
}

func write(w http.ResponseWriter, lines ...string) {
	for _, line := range lines {
		fmt.Fprintf(w, "data: %s\n\n", line)
	}
	w.(http.Flusher).Flush()
}

// Guards against failures that are taken for others: only a request that was
// never sent is known not to have run.
func TestFailuresAreTold(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = stream(closed, nil)
	expect(t, err, FailureNotSent, 0)

	addr, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) })
	_, err = stream(addr, nil)
	expect(t, err, FailureRefused, 0)

	first := `{"request_id":"r","index":0,"token":"a"}`
	addr, _ = serve(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, first)
		panic(http.ErrAbortHandler)
	})
	_, err = stream(addr, nil)
	expect(t, err, FailureBroken, 1)

	addr, _ = serve(t, func(w http.ResponseWriter, _ *http.Request) { write(w, first, "[DONE]") })
	_, err = stream(addr, nil)
	expect(t, err, FailureBroken, 1)

	addr, _ = serve(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, first, `{"request_id":"r","index":2,"token":"c","finish_reason":"stop"}`)
	})
	_, err = stream(addr, nil)
	expect(t, err, FailureBroken, 1)
}

func expect(t *testing.T, err error, failure Failure, received int) {
	t.Helper()
	var got *StreamError
	must.True(t, errors.As(err, &got), must.Sprint(err))
	must.Eq(t, failure, got.Failure)
	must.Eq(t, received, got.Received)
	must.Eq(t, failure != FailureNotSent, got.MayHaveReached())
}

// Guards against a silent engine that goes on working, and against chunks of
// other requests and repeated ones counting as progress.
func TestSilenceIsDetectedAndCancelled(t *testing.T) {
	addr, cancelled := serve(t, func(w http.ResponseWriter, r *http.Request) {
		write(w, `{"request_id":"r","index":0,"token":"a"}`)
		for r.Context().Err() == nil {
			write(w, `{"request_id":"other","index":1,"token":"x"}`, `{"request_id":"r","index":0,"token":"a"}`)
			time.Sleep(10 * time.Millisecond)
		}
	})
	indexes, err := stream(addr, nil)
	expect(t, err, FailureSilent, 1)
	must.Eq(t, []int{0}, indexes)
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the engine was not told to stop")
	}
}

// Guards against a resumed stream that repeats or skips tokens.
func TestResumedStreamGoesOnBehindDelivered(t *testing.T) {
	addr, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 4 {
			write(w, fmt.Sprintf(`{"request_id":"r","index":%d,"token":"a"}`, i))
		}
		write(w, `{"request_id":"r","index":4,"token":"a","finish_reason":"length"}`, "[DONE]")
	})
	indexes, err := stream(addr, []string{"a", "a"})
	must.NoError(t, err)
	must.Eq(t, []int{2, 3, 4}, indexes)
}

// Guards against a caller that reads slowly being taken for a silent engine.
func TestSlowSinkIsNotSilence(t *testing.T) {
	addr, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, `{"request_id":"r","index":0,"token":"a"}`,
			`{"request_id":"r","index":1,"token":"a","finish_reason":"stop"}`, "[DONE]")
	})
	client := NewClient(Config{ProgressTimeout: 100 * time.Millisecond})
	must.NoError(t, client.Stream(context.Background(), addr, GenerateRequest{RequestID: "r"}, func(Chunk) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	}))
}
