package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/httpclient"
	"github.com/sesamestand/sesamestand/internal/netdial"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// ErrFenced is returned if an engine refused an order because it has received
// an order with a higher fencing number.
var ErrFenced = errors.New("engine refused order: fencing number is out of date")

const (
	// adminIdleConns is the maximum number of idle connections per engine.
	adminIdleConns = 1
	// adminIdleTimeout exceeds the interval between two state reads, so that
	// they share a connection.
	adminIdleTimeout = 30 * time.Second
	// adminBodyLimit bounds how much of a response body is read.
	adminBodyLimit = 1 << 20
)

// AdminClient reads the state of engines and sends them orders. Its connections are
// separate from those of completions, so that orders do not queue behind streams.
// An order has a connection of its own: the pool may take bytes after one answer for
// the answer to the next request. It is safe for concurrent use.
type AdminClient struct {
	states *http.Client
	orders *http.Client
	token  string
}

// NewAdminClient returns a client that authenticates with backendToken unless it
// is empty.
func NewAdminClient(backendToken string) *AdminClient {
	dial := netdial.DiscardUnsent(new(net.Dialer).DialContext)
	return &AdminClient{
		token: backendToken,
		states: &http.Client{Transport: httpclient.Transport{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: adminIdleConns, IdleConnTimeout: adminIdleTimeout,
		}}},
		orders: &http.Client{Transport: httpclient.Transport{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}},
	}
}

// State reads the state of the engine at addr.
func (a *AdminClient) State(ctx context.Context, addr string) (State, error) {
	var state State
	response, err := a.do(ctx, a.states, http.MethodGet, "http://"+addr+"/state", nil)
	if err != nil {
		return state, eris.Wrapf(err, "read state of engine %s", addr)
	}
	defer a.drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return state, eris.Errorf("engine %s responded %s to a state read", addr, response.Status)
	}
	if err := decodeBody(response, adminBodyLimit, &state); err != nil {
		return State{}, eris.Wrapf(err, "decode state of engine %s", addr)
	}
	state.Leaving = platform.SaysLeaving(response)
	return state, nil
}

// decodeBody reads a JSON body to its end, so that one that ends early is an error.
func decodeBody(response *http.Response, limit int64, value any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return eris.Errorf("body exceeds %d bytes", limit)
	}
	return json.Unmarshal(data, value)
}

// SendOrder sends one order. It returns nil if the engine accepted the order,
// which it then executes asynchronously, and ErrFenced if the engine refused the
// order's fencing number. After any other error the outcome is unknown: the order
// may or may not be executed.
func (a *AdminClient) SendOrder(ctx context.Context, addr string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	response, err := a.do(ctx, a.orders, http.MethodPost, "http://"+addr+"/orders", body)
	if err != nil {
		return eris.Wrapf(err, "send order %s to engine %s", order.Kind, addr)
	}
	defer a.drainAndClose(response)
	switch {
	case response.StatusCode == http.StatusConflict:
		return eris.Wrapf(ErrFenced, "send order %s to engine %s with fencing number %d", order.Kind, addr, order.Fence)
	case response.StatusCode/100 != 2:
		return eris.Errorf("engine %s responded %s to order %s", addr, response.Status, order.Kind)
	}
	return nil
}

// CloseIdle closes all idle connections, including any that stopped responding.
func (a *AdminClient) CloseIdle() { a.states.CloseIdleConnections() }

func (a *AdminClient) do(ctx context.Context, client *http.Client, method, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if a.token != "" {
		request.Header.Set("Authorization", "Bearer "+a.token)
	}
	return client.Do(request)
}

// drainAndClose reads the rest of the body, so that the connection can be
// reused, and closes it.
func (a *AdminClient) drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, adminBodyLimit))
	_ = response.Body.Close()
}
