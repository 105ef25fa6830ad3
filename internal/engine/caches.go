package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxCacheEventsBody bounds how much of a response with cache events is read.
const maxCacheEventsBody = 4 << 20

// CacheEvents returns the cache events of an engine with sequence numbers
// greater than after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error) {
	url := "http://" + addr + "/cache/events?after=" + strconv.FormatInt(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create cache events request")
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.transport(target{addr: addr}).RoundTrip(request)
	if err != nil {
		return nil, eris.Wrapf(err, "read cache events of engine %s", addr)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("engine %s responded %s to a read of cache events", addr, response.Status)
	}
	var body struct {
		Events []CacheEvent `json:"events"`
	}
	if err := decodeBody(response, maxCacheEventsBody, &body); err != nil {
		return nil, eris.Wrapf(err, "decode cache events of engine %s", addr)
	}
	return body.Events, nil
}
