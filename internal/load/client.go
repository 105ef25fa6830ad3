package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxBodyBytes bounds the body of a response.
const maxBodyBytes = 64 << 20

// entryRotation returns entry host addresses round-robin, as the platform's load
// balancer does.
type entryRotation struct {
	addrs []string
	next  atomic.Uint64
}

// newEntryRotation rotates over addrs, or over all when addrs is empty.
func newEntryRotation(addrs, all []string) *entryRotation {
	if len(addrs) == 0 {
		addrs = all
	}
	return &entryRotation{addrs: addrs}
}

// pick returns the next address in round-robin order.
func (e *entryRotation) pick() string {
	return e.addrs[int(e.next.Add(1)-1)%len(e.addrs)]
}

// after returns the address that follows addr.
func (e *entryRotation) after(addr string) string {
	for i, a := range e.addrs {
		if a == addr {
			return e.addrs[(i+1)%len(e.addrs)]
		}
	}
	return e.pick()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConns:        1024,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     20 * time.Second,
	}}
}

// isDialError reports whether a request failed before anything was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// postJSON sends a JSON body and returns the status and the body of the response.
func postJSON(ctx context.Context, client *http.Client, url, token string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, eris.Wrap(err, "encode body")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, eris.Wrap(err, "build request")
	}
	setHeaders(request, token)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	return response.StatusCode, answer, err
}

func setHeaders(request *http.Request, token string) {
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
}

type refusalBody struct {
	Error struct {
		Outcome   string `json:"outcome"`
		Reason    string `json:"reason"`
		Message   string `json:"message"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// Response headers.
const (
	headerOutcome  = "Sesamestand-Outcome"
	headerReason   = "Sesamestand-Reason"
	headerReplayed = "Sesamestand-Replayed"
)

// setRefusal records a refusal. Fields that the body lacks come from the headers.
func (a *Attempt) setRefusal(header http.Header, body []byte) {
	var refusal refusalBody
	_ = json.Unmarshal(body, &refusal)
	a.Result = ResultRefused
	a.Outcome, a.Reason, a.Error = refusal.Error.Outcome, refusal.Error.Reason, refusal.Error.Message
	if a.Outcome == "" {
		a.Outcome = header.Get(headerOutcome)
	}
	if a.Reason == "" {
		a.Reason = header.Get(headerReason)
	}
}

// setFailure records an attempt without a complete response.
func (a *Attempt) setFailure(err error) {
	a.Result, a.Error = ResultBroken, err.Error()
	if isDialError(err) {
		a.Result = ResultNotConnected
	}
}
