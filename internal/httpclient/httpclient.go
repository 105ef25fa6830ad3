// Package httpclient checks the status of responses, for all HTTP clients of the system.
package httpclient

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// ErrInvalidStatus reports a response whose status is not three digits from 100 to 599.
// RFC 9110 has no other status. Nothing of such a response is used, the outcome of its
// request is unknown, and its connection is closed: where the response ends is unknown.
var ErrInvalidStatus = errors.New("answer has an invalid status")

// CheckStatus returns ErrInvalidStatus for a response that is none. net/http takes a status
// of three characters that it can convert to a number, such as "+20", which is below 100.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < 100 || response.StatusCode > 599 {
		return fmt.Errorf("%w %.3q", ErrInvalidStatus, response.Status)
	}
	return nil
}

// Transport is an http.Transport that returns an error instead of a response with an
// invalid status, and closes its connection.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info.Conn }}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response); err != nil {
		_ = response.Body.Close()
		_ = used.Close()
		return nil, err
	}
	response.Request = request
	return response, nil
}
