package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// bodyLimit bounds request bodies; stand-ins get no larger ones in tests.
const bodyLimit = 16 << 20

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the request's body into target. It answers 400 and returns
// false when the body is not valid.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Authorized checks the bearer token; an empty token lets every request in.
func Authorized(w http.ResponseWriter, r *http.Request, token string) bool {
	if token == "" || r.Header.Get("Authorization") == "Bearer "+token {
		return true
	}
	http.Error(w, "unauthorized", http.StatusUnauthorized)
	return false
}

// Abort drops the connection of the request without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Faults holds the faults of one stand-in, a struct of type F. A POST /faults
// request changes only the keys that its JSON body names.
type Faults[F any] struct {
	mu    sync.Mutex
	value F
}

// Get returns a copy of the faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Set replaces the faults.
func (f *Faults[F]) Set(value F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
}

// Update changes the faults with change.
func (f *Faults[F]) Update(change func(*F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// ServeHTTP merges the JSON body into the faults and answers with the result.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !ReadJSON(w, r, &body) {
		return
	}
	var err error
	f.Update(func(value *F) { err = json.Unmarshal(body, value) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	WriteJSON(w, http.StatusOK, f.Get())
}
