package httpapi

import (
	"errors"
	"net/http"
)

// Errors of responses of backend servers.
var (
	// ErrNoBody reports a success with neither a length nor a body.
	ErrNoBody = errors.New("answer has neither a length nor a body")
	// ErrUpgraded reports a response after which the bytes are not HTTP.
	ErrUpgraded = errors.New("answer switches to another protocol")
)

// Delimited reports whether the end of a response's body is marked by a length or by a
// last chunk. Otherwise the body ends with the connection, which a server that ends
// early closes in the same way.
func Delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// CheckBody returns ErrNoBody if nothing shows that the empty body of a success is whole.
func CheckBody(response *http.Response, body []byte) error {
	if len(body) > 0 || response.StatusCode >= 300 || Delimited(response) || response.Request.Method == http.MethodHead {
		return nil
	}
	return ErrNoBody
}
