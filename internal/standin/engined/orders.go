package engined

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/standin"
)

// maxWriteBytes is the maximum size of one write when weights are served.
const maxWriteBytes = 16 << 10

// weightLoad is a load of a model or a weight version in progress.
type weightLoad struct {
	model   string
	version int64
	cancel  context.CancelFunc
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	status, fence := s.acceptOrder(order)
	standin.WriteJSON(w, status, map[string]any{"accepted": status == http.StatusAccepted, "fence": fence})
}

// acceptOrder checks an order, records it and starts its execution. It returns
// the HTTP status and the highest fencing number received.
func (s *Server) acceptOrder(order engine.Order) (status int, fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status = http.StatusAccepted
	switch {
	case !s.config.IgnoreFence && order.Fence < s.state.Fence:
		status = http.StatusConflict
	case !validOrder(order):
		status = http.StatusBadRequest
	}
	s.journal.Orders = append(s.journal.Orders, OrderEntry{
		Time: time.Now(), Engine: s.config.ID, Order: order,
		Accepted: status == http.StatusAccepted, VersionBefore: s.state.Version,
	})
	if status != http.StatusAccepted {
		return status, s.state.Fence
	}
	if !s.config.IgnoreFence {
		s.state.Fence = order.Fence
	}
	s.executeLocked(order, len(s.journal.Orders)-1)
	return status, s.state.Fence
}

func validOrder(order engine.Order) bool {
	switch order.Kind {
	case engine.OrderLoadModel:
		return order.Model != ""
	case engine.OrderLoadVersion:
		return order.Version > 0
	case engine.OrderLoadAdapter:
		return order.Adapter != ""
	case engine.OrderSetRole:
		return slices.Contains([]string{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}, order.Role)
	}
	return false
}

// executeLocked executes an accepted order. The parameter entry is the order's
// index in the journal.
func (s *Server) executeLocked(order engine.Order, entry int) {
	switch order.Kind {
	case engine.OrderSetRole:
		s.state.Role = order.Role
		s.journal.Orders[entry].EndedAt = time.Now()
	case engine.OrderLoadAdapter:
		if !slices.Contains(s.state.Adapters, order.Adapter) {
			s.state.Adapters = append(slices.Clone(s.state.Adapters), order.Adapter)
		}
		s.journal.Orders[entry].EndedAt = time.Now()
	default:
		s.loadLocked(order, entry)
	}
}

// loadLocked starts a load of weights in the background. It replaces a load in
// progress, unless that is a load of the same weights.
func (s *Server) loadLocked(order engine.Order, entry int) {
	model := order.Model
	if model == "" {
		model = s.state.Model
	}
	if s.loading != nil && s.loading.model == model && s.loading.version == order.Version {
		return
	}
	s.stopLoadLocked()
	ctx, cancel := context.WithCancel(context.Background())
	current := &weightLoad{model: model, version: order.Version, cancel: cancel}
	s.loading = current
	s.state.Loading = order.Version
	go func() {
		err := s.fetchWeights(ctx, current, order.Source)
		s.finishLoad(current, entry, err)
	}()
}

func (s *Server) stopLoadLocked() {
	if s.loading != nil {
		s.loading.cancel()
		s.loading = nil
		s.state.Loading = 0
	}
}

// finishLoad swaps in the loaded weights while requests continue to run, or
// records the failure.
func (s *Server) finishLoad(current *weightLoad, entry int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.journal.Orders[entry].EndedAt = now
	if s.loading != current {
		s.journal.Orders[entry].Error = "replaced or crashed"
		return
	}
	s.stopLoadLocked()
	if err != nil {
		s.journal.Orders[entry].Error = err.Error()
		s.state.LastError = err.Error()
		return
	}
	s.state.LastError = ""
	s.state.Model, s.state.Version = current.model, current.version
	s.cache = emptyCache(s.cache)
	s.pausedUntil = now.Add(s.config.SwapPause)
}

// emptyCache returns an empty cache that continues the event sequence of old with
// an eviction event for each block. Cached blocks are invalid under new weights.
func emptyCache(old *prefixCache) *prefixCache {
	cache := newPrefixCache(old.capacity)
	cache.events, cache.nextSeq = old.events, old.nextSeq
	now := time.Now()
	for element := old.lru.Back(); element != nil; element = element.Prev() {
		cache.record(engine.CacheEvent{Prefix: element.Value.(string)}, now, func() bool { return false })
	}
	return cache
}

// fetchWeights downloads the weights from a peer engine or the weight store. If
// there is neither, it waits for Config.LoadTime.
func (s *Server) fetchWeights(ctx context.Context, current *weightLoad, source string) error {
	if s.consumeLoadFailure() {
		return eris.Errorf("load of version %d failed on demand", current.version)
	}
	var address string
	switch {
	case source != "":
		address = fmt.Sprintf("http://%s/weights/%s/%d", source, url.PathEscape(current.model), current.version)
	case s.config.WeightsAddr != "":
		address = fmt.Sprintf("http://%s/models/%s/versions/%d/blob", s.config.WeightsAddr, url.PathEscape(current.model), current.version)
	default:
		select {
		case <-time.After(s.config.LoadTime):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "build request for weights")
	}
	if s.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+s.config.Token)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("fetch weights: status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return eris.Wrap(err, "read weights")
}

// consumeLoadFailure reports whether the current load is to fail, and decrements
// Faults.FailLoads if it is positive.
func (s *Server) consumeLoadFailure() bool {
	fail := false
	s.faults.Update(func(f *Faults) {
		fail = f.FailLoads != 0
		if f.FailLoads > 0 {
			f.FailLoads--
		}
	})
	return fail
}

// handleWeights serves the engine's weights to a peer engine.
func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	state := s.State()
	if r.PathValue("model") != state.Model || r.PathValue("version") != strconv.FormatInt(state.Version, 10) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.config.WeightBytes))
	buffer := make([]byte, maxWriteBytes)
	for remaining := s.config.WeightBytes; remaining > 0; remaining -= len(buffer) {
		buffer = buffer[:min(remaining, len(buffer))]
		if s.peerLimiter.WaitN(r.Context(), len(buffer)) != nil {
			return
		}
		if _, err := w.Write(buffer); err != nil {
			return
		}
	}
}
