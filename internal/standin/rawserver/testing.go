package rawserver

import (
	"net/http"
	"testing"
	"time"
)

// closeTimeout bounds how long a client may take to close a connection.
const closeTimeout = 2 * time.Second

// CheckInvalidStatuses calls a server for each response of InvalidStatuses, and checks that
// call returns an error, as it must, and that its connection is closed.
func CheckInvalidStatuses(t *testing.T, fields, body string, call func(addr string) error) {
	t.Helper()
	for name, text := range InvalidStatuses(fields, body) {
		t.Run(name, func(t *testing.T) {
			server, err := Listen(func(*http.Request) (string, End) { return text, KeepOpen })
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			if call(server.Addr()) == nil {
				t.Error("the call has no error")
			}
			for deadline := time.Now().Add(closeTimeout); server.Open() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the connection is not closed")
				}
			}
		})
	}
}
