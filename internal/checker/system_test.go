package checker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/standin"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
)

const groupSize = 2

// fakeSystem is a minimal system that fulfils the promises: it forwards to one
// engine and one service and coordinates one trainer. It aborts some responses to
// pulls.
type fakeSystem struct {
	engine     *engined.Server
	engineAddr string
	service    *serviced.Server

	mu            sync.Mutex
	epoch         int
	groups        []map[string]any
	pulls         int
	step          int    // highest submitted step
	epochChangeAt int    // number of the pull at which the epoch changes; 0 means none
	dropGroup     string // ID of a group that is accepted and dropped once
}

// newFakeSystem returns the system and the addresses of its two entry hosts.
func newFakeSystem(t *testing.T) (*fakeSystem, []string) {
	s := &fakeSystem{
		engine:  engined.New(engined.Config{ID: "e1", Model: "album", Version: 7, Lengths: engined.Lengths{Mean: 8}, TokenTime: time.Millisecond}),
		service: serviced.New(serviced.Config{ID: "desk1"}),
		epoch:   1,
	}
	var err error
	s.engineAddr, err = s.engine.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.engine.Close() })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.Handle("/v1/services/desk/", http.StripPrefix("/v1/services/desk", s.service.Handler()))
	mux.HandleFunc("POST /v1/trainers/captions/groups", s.submit)
	mux.HandleFunc("POST /v1/trainers/captions/pull", s.pull)
	mux.HandleFunc("POST /v1/trainers/captions/weights", s.weights)
	var entries []string
	for range 2 {
		endpoint, err := standin.Listen("127.0.0.1:0", mux)
		must.NoError(t, err)
		t.Cleanup(func() { _ = endpoint.Close() })
		entries = append(entries, endpoint.Addr())
	}
	return s, entries
}

// stopAfter returns a channel that is closed once a step after the given one was
// submitted, more than 12 pulls were received and the service got the given number
// of calls.
func (s *fakeSystem) stopAfter(t *testing.T, steps, calls int) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for t.Context().Err() == nil {
			s.mu.Lock()
			enough := s.step > steps && s.pulls > 12
			s.mu.Unlock()
			if enough && len(s.service.Journal()) >= calls {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return stop
}

func (s *fakeSystem) complete(w http.ResponseWriter, r *http.Request) {
	var request engine.GenerateRequest
	standin.ReadJSON(w, r, &request)
	request.RequestID = r.Header.Get("Request-Id")
	body, _ := json.Marshal(request)
	response, err := http.Post("http://"+s.engineAddr+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		standin.Abort()
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	_, _ = io.Copy(w, response.Body)
}

func (s *fakeSystem) submit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Epoch  string
		Step   int
		Groups []struct{ ID, Prompt string }
	}
	standin.ReadJSON(w, r, &body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.Epoch != "" && body.Epoch != fmt.Sprint(s.epoch) {
		standin.WriteJSON(w, http.StatusConflict, map[string]any{"epoch": fmt.Sprint(s.epoch)})
		return
	}
	s.step = max(s.step, body.Step)
	for _, g := range body.Groups {
		if g.ID == s.dropGroup {
			s.dropGroup = ""
			continue
		}
		group := map[string]any{"seq": len(s.groups) + 1, "id": g.ID, "step": body.Step}
		var samples []any
		for i := range groupSize {
			samples = append(samples, s.sample(fmt.Sprintf("%d/%s/%d", s.epoch, g.ID, i), g.Prompt, int64(i)))
		}
		group["samples"] = samples
		s.groups = append(s.groups, group)
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{"epoch": fmt.Sprint(s.epoch), "accepted": len(body.Groups)})
}

func (s *fakeSystem) sample(id, prompt string, seed int64) any {
	body, _ := json.Marshal(engine.GenerateRequest{RequestID: id, Model: "album", Prompt: prompt, Seed: seed})
	response, err := http.Post("http://"+s.engineAddr+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer engined.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return map[string]any{"id": id, "tokens": answer.Tokens, "versions": answer.WeightVersions[:1], "finish_reason": answer.FinishReason}
}

// pull aborts every fourth response.
func (s *fakeSystem) pull(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Epoch  string
		Cursor int
	}
	standin.ReadJSON(w, r, &body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulls++; s.pulls == s.epochChangeAt {
		s.epoch, s.groups = s.epoch+1, nil
	}
	if body.Epoch != fmt.Sprint(s.epoch) {
		standin.WriteJSON(w, http.StatusConflict, map[string]any{"epoch": fmt.Sprint(s.epoch)})
		return
	}
	if s.pulls%4 == 0 {
		standin.Abort()
	}
	if len(s.groups) <= body.Cursor {
		time.Sleep(5 * time.Millisecond)
	}
	next := s.groups[min(body.Cursor, len(s.groups)):]
	standin.WriteJSON(w, http.StatusOK, map[string]any{"epoch": body.Epoch, "groups": next[:min(1, len(next))]})
}

func (s *fakeSystem) weights(w http.ResponseWriter, r *http.Request) {
	var body struct{ Version int64 }
	standin.ReadJSON(w, r, &body)
	order, _ := json.Marshal(engine.Order{Kind: engine.OrderLoadVersion, Version: body.Version})
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.engineAddr+"/orders", bytes.NewReader(order))
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
	for s.engine.State().Version < body.Version {
		time.Sleep(time.Millisecond)
	}
	standin.WriteJSON(w, http.StatusOK, body)
}
