package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFenced reports that an engine refused an order because it has seen a
// higher fencing number.
var ErrFenced = errors.New("engine refused the order's fencing number")

const (
	// adminIdleConns bounds the idle connections kept per engine.
	adminIdleConns = 1
	// adminIdleTimeout is longer than the interval between two state reads.
	adminIdleTimeout = 30 * time.Second
	// adminBodyLimit bounds the answer of GET /state.
	adminBodyLimit = 1 << 20
)

// Admin reads engines' state and sends orders. It keeps its own connections,
// so that orders do not wait behind streams. It is safe for concurrent use.
type Admin struct {
	client *http.Client
	token  string
}

// NewAdmin returns an admin client that sends the backend token, if any.
func NewAdmin(backendToken string) *Admin {
	return &Admin{token: backendToken, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: adminIdleConns,
		IdleConnTimeout:     adminIdleTimeout,
	}}}
}

// State reads the state of the engine at addr.
func (a *Admin) State(ctx context.Context, addr string) (State, error) {
	var state State
	response, err := a.do(ctx, http.MethodGet, "http://"+addr+"/state", nil)
	if err != nil {
		return state, eris.Wrapf(err, "read the state of engine %s", addr)
	}
	defer a.release(response)
	if response.StatusCode != http.StatusOK {
		return state, eris.Errorf("engine %s answered %s to a state read", addr, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, adminBodyLimit)).Decode(&state); err != nil {
		return state, eris.Wrapf(err, "decode the state of engine %s", addr)
	}
	return state, nil
}

// SendOrder sends one order. A nil error means that the engine accepted it
// and works on it, ErrFenced that it was refused; after any other error the
// order may or may not be executed.
func (a *Admin) SendOrder(ctx context.Context, addr string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	response, err := a.do(ctx, http.MethodPost, "http://"+addr+"/orders", body)
	if err != nil {
		return eris.Wrapf(err, "send order %s to engine %s", order.Kind, addr)
	}
	defer a.release(response)
	switch {
	case response.StatusCode == http.StatusConflict:
		return eris.Wrapf(ErrFenced, "order %s to engine %s with fence %d", order.Kind, addr, order.Fence)
	case response.StatusCode/100 != 2:
		return eris.Errorf("engine %s answered %s to order %s", addr, response.Status, order.Kind)
	}
	return nil
}

// CloseIdle closes connections that are not in use, such as those that went silent.
func (a *Admin) CloseIdle() { a.client.CloseIdleConnections() }

func (a *Admin) do(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
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
	return a.client.Do(request)
}

// release drains the body so that the connection can be used again.
func (a *Admin) release(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, adminBodyLimit))
	_ = response.Body.Close()
}
