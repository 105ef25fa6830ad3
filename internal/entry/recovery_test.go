package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a handler that panics in the middle of a response, to which the text of
// an error is added and which then ends as complete.
func TestPanicWithinAResponseBreaksTheConnection(t *testing.T) {
	const event = "data: {}\n\n"
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		status  int // 0 if the connection must break before a response
		body    string
		broken  bool
	}{
		"before the response": {func(http.ResponseWriter, *http.Request) { panic("fault") }, http.StatusInternalServerError, "Internal Server Error\n", false},
		"aborted before it":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, "", true},
		"within a stream": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
			panic("fault")
		}, http.StatusOK, event, true},
		"aborted within a stream": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusOK, event, true},
		"before a body is sent": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, "half")
			panic("fault")
		}, 0, "", true},
		"without a panic": {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") }, http.StatusOK, "whole", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(withRecovery(test.handler))
			defer server.Close()
			response, err := http.Get(server.URL)
			if test.status == 0 {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			must.EqOp(t, test.status, response.StatusCode)
			must.EqOp(t, test.body, string(body))
			must.EqOp(t, test.broken, err != nil)
		})
	}
}
