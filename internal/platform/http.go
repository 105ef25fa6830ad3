package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/httpclient"
)

// callTimeout bounds each call to the platform, in addition to the wait of a
// long poll. It is the only way to detect a connection that stopped delivering
// data. Its value is bounded by the requirement that a configuration change is
// active within 10 s even after such a failure.
const callTimeout = 4 * time.Second

// idleTimeout is the time after which idle pooled connections are closed. It is
// short because an established connection can stop delivering data while new
// connections still work.
const idleTimeout = 30 * time.Second

// maxResponseBytes bounds the size of a response body.
const maxResponseBytes = 64 << 20

type httpClient struct {
	base   string
	token  string
	client *http.Client
}

func newHTTPClient(addr, token string) httpClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     idleTimeout,
	}
	return httpClient{base: "http://" + addr, token: token, client: &http.Client{Transport: httpclient.Transport{Transport: transport}}}
}

// statusError reports a response with a status other than 2xx.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// call sends one request and decodes the JSON response into target. After a
// failed request or an incomplete response it closes the idle pooled connections,
// so that the next call dials a new one. The transport retries a POST only when
// none of it was written.
func (c httpClient) call(ctx context.Context, method, path string, timeout time.Duration, body []byte, target any) error {
	_, err := c.callIfNoneMatch(ctx, method, path, timeout, body, "", target)
	return err
}

// callIfNoneMatch is like call, but sends etag in If-None-Match. When the server
// responds 304 Not Modified, target is left unchanged. It returns the entity tag
// of the response.
func (c httpClient) callIfNoneMatch(ctx context.Context, method, path string, timeout time.Duration, body []byte, etag string, target any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return "", eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.client.CloseIdleConnections()
		return "", eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if etag != "" && response.StatusCode == http.StatusNotModified {
		return etag, nil
	}
	if response.StatusCode/100 != 2 {
		return "", &statusError{status: response.StatusCode, body: string(data[:min(len(data), 200)])}
	}
	if err != nil {
		c.client.CloseIdleConnections()
		return "", eris.Wrapf(err, "read answer of %s %s", method, path)
	}
	return response.Header.Get("ETag"), eris.Wrapf(json.Unmarshal(data, target), "decode answer of %s %s", method, path)
}

type httpLog struct{ httpClient }

// NewHTTPLog returns a client of the log service at addr (IP:port).
func NewHTTPLog(addr, token string) Log { return httpLog{newHTTPClient(addr, token)} }

// Append implements Log. The error is ErrRefused only when the log cannot have
// stored the records; every other failure is ErrOutcomeUnknown.
func (l httpLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	body, err := json.Marshal(records)
	if err != nil {
		return 0, eris.Wrap(err, "encode records")
	}
	var answer struct {
		Offset *int64 `json:"offset"`
	}
	err = l.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream)+"/records", callTimeout, body, &answer)
	var status *statusError
	switch {
	case err == nil && answer.Offset != nil:
		return *answer.Offset, nil
	case err == nil:
		return 0, fmt.Errorf("%w: answer has no offset", ErrOutcomeUnknown)
	case errors.As(err, &status) && isRefusalStatus(status.status):
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	case connectionRefused(err):
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// isRefusalStatus reports whether the status means that the records are not in
// the log. Other 5xx statuses can come from a gateway that lost the log's response.
func isRefusalStatus(status int) bool {
	return status/100 == 4 || status == http.StatusServiceUnavailable
}

// connectionRefused reports whether the connection was refused, in which case no
// record was sent.
func connectionRefused(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// Read implements Log.
func (l httpLog) Read(ctx context.Context, stream string, offset int64, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("offset", strconv.FormatInt(offset, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := l.call(ctx, http.MethodGet, "/streams/"+url.PathEscape(stream)+"/records?"+query.Encode(), callTimeout+wait, nil, &page)
	return page, err
}

// httpHostList polls the list with conditional requests: at 12,000 rows,
// transferring the full list every second would cost each host 1.4 MB/s.
type httpHostList struct {
	httpClient

	mu      sync.Mutex
	etag    string
	servers []BackendServer
	skipped string // last row that was skipped, with the reason
}

// NewHTTPHostList returns a client of the host list at addr (IP:port).
func NewHTTPHostList(addr, token string) HostList {
	return &httpHostList{httpClient: newHTTPClient(addr, token)}
}

// BackendServers implements HostList. The result is cached and must not be modified.
func (h *httpHostList) BackendServers(ctx context.Context) ([]BackendServer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var answer struct {
		Hosts *[]json.RawMessage `json:"hosts"`
	}
	etag, err := h.callIfNoneMatch(ctx, http.MethodGet, "/hosts", callTimeout, nil, h.etag, &answer)
	if err != nil {
		return nil, err
	}
	if answer.Hosts != nil {
		h.servers = h.decodeRows(*answer.Hosts)
	}
	h.etag = etag
	return h.servers, nil
}

// decodeRows decodes the rows of the list and skips those that name no server to use.
// The caller holds mu.
func (h *httpHostList) decodeRows(rows []json.RawMessage) []BackendServer {
	servers := make([]BackendServer, 0, len(rows))
	skipped, last := 0, ""
	for _, row := range rows {
		server, err := DecodeBackendServer(row)
		if err != nil {
			skipped, last = skipped+1, fmt.Sprintf("%.100s: %.200v", row, err)
			continue
		}
		servers = append(servers, server)
	}
	if last != h.skipped && last != "" {
		klog.InfoS("rows of the host list skipped", "rows", skipped, "last", last)
	}
	h.skipped = last
	return servers
}

// maxIDBytes bounds the ID of a backend server.
const maxIDBytes = 100

// DecodeBackendServer decodes and checks one row of the host list.
func DecodeBackendServer(row []byte) (BackendServer, error) {
	var server BackendServer
	if err := json.Unmarshal(row, &server); err != nil {
		return server, eris.Wrap(err, "decode row of the host list")
	}
	if server.ID == "" || len(server.ID) > maxIDBytes {
		return server, eris.Errorf("ID has %d bytes, want 1 to %d", len(server.ID), maxIDBytes)
	}
	if server.Addr == "" {
		return server, nil // counts as unreachable
	}
	return server, deployment.CheckAddr(server.Addr)
}

type httpWeightStore struct{ httpClient }

// NewHTTPWeightStore returns a client of the weight store at addr (IP:port).
func NewHTTPWeightStore(addr, token string) WeightStore {
	return httpWeightStore{newHTTPClient(addr, token)}
}

// Versions implements WeightStore.
func (s httpWeightStore) Versions(ctx context.Context, model string) ([]int64, error) {
	var answer struct {
		Versions []int64 `json:"versions"`
	}
	err := s.call(ctx, http.MethodGet, "/models/"+url.PathEscape(model)+"/versions", callTimeout, nil, &answer)
	return answer.Versions, err
}
