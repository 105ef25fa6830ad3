package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// bodyLimit is the maximum size of a request body. Tests send smaller ones.
const bodyLimit = 16 << 20

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the request's body into target. It responds 400 and returns
// false if the body is invalid.
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

// Authorized reports whether the request carries the bearer token, and responds
// 401 if it does not. An empty token accepts every request.
func Authorized(w http.ResponseWriter, r *http.Request, token string) bool {
	if token == "" || r.Header.Get("Authorization") == "Bearer "+token {
		return true
	}
	http.Error(w, "unauthorized", http.StatusUnauthorized)
	return false
}

// Abort closes the connection of the current request without a response. It must
// be called from the request's handler.
func Abort() { panic(http.ErrAbortHandler) }

// Faults holds the injected faults of one stand-in in a struct of type F. It is
// the handler of POST /faults, which changes only the fields that its JSON body
// contains.
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

// Update calls change with a pointer to the faults, under the lock.
func (f *Faults[F]) Update(change func(*F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// ServeHTTP merges the JSON body into the faults and responds with the result.
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
