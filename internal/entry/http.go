package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/urfave/negroni/v3"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/services"
	"github.com/sesamestand/sesamestand/internal/trainers"
)

const completionsPath = "/v1/completions"

// routes returns the HTTP handler. The API under /v1/ is subject to
// authentication and limits; health checks and operator endpoints are not.
func (h *Host) routes() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST "+completionsPath, h.callers.Completions)
	api.Handle("/v1/services/", h.services)
	api.Handle("/v1/trainers/", h.trainers)

	limited := negroni.New(
		negroni.HandlerFunc(h.answerBeforeStop),
		// The configuration decides whether callers need keys.
		negroni.HandlerFunc(h.awaitConfiguration),
		negroni.HandlerFunc(h.authenticate),
		negroni.HandlerFunc(h.limitBody),
	)
	limited.UseHandler(api)

	mux := http.NewServeMux()
	mux.Handle("/v1/", limited)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.Handle("GET /metrics", h.operatorOnly(h.recorder.Handler()))
	mux.Handle("GET /status", h.operatorOnly(http.HandlerFunc(h.serveStatus)))
	mux.Handle("GET /explain/{id}", h.operatorOnly(http.HandlerFunc(h.serveExplain)))

	return withRecovery(mux)
}

// withRecovery responds with status 500 if a handler panics. If the response has begun,
// the connection is broken instead: added text and an orderly end would make the
// response appear complete.
func withRecovery(next http.Handler) http.Handler {
	outer := negroni.New(negroni.HandlerFunc(recoverPanic))
	outer.UseHandler(next)
	return outer
}

func recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler {
			klog.ErrorS(nil, "handler panicked", "method", r.Method, "path", r.URL.Path,
				"request_id", r.Header.Get(httpapi.HeaderRequestID), "cause", cause, "stack", string(debug.Stack()))
		}
		response, ok := w.(negroni.ResponseWriter)
		if cause == http.ErrAbortHandler || !ok || response.Written() {
			panic(http.ErrAbortHandler)
		}
		writeText(w, http.StatusInternalServerError, http.StatusText(http.StatusInternalServerError))
	}()
	next(w, r)
}

const (
	// configurationWaitTimeout is how long a request waits until a host that has
	// just started has a configuration.
	configurationWaitTimeout = 2 * time.Second
	// configurationPollInterval is the interval at which such a request checks
	// whether the configuration is available.
	configurationPollInterval = 20 * time.Millisecond
)

// awaitConfiguration delays requests until this host has a configuration. Without
// one, it would refuse every declared name as unknown. A request with a request
// ID or an idempotency key may have run through another host, so that it is not
// refused with the outcome "not-run".
func (h *Host) awaitConfiguration(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	for deadline := time.Now().Add(configurationWaitTimeout); !h.configs.Ready(); time.Sleep(configurationPollInterval) {
		if r.Context().Err() == nil && time.Now().Before(deadline) {
			continue
		}
		outcome := cluster.OutcomeNotRun
		if access.MayHaveRunBefore(r) {
			outcome = cluster.OutcomeUnknown
		}
		httpapi.WriteRefusal(w, r.Header.Get(httpapi.HeaderRequestID), &cluster.Refusal{
			Outcome: outcome, Reason: cluster.ReasonNotReady,
			Message: "this entry host has not read the configuration yet",
		})
		return
	}
	next(w, r)
}

func (h *Host) limitBody(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	limit := int64(h.settings.Limits.BodyBytes)
	if r.ContentLength > limit {
		httpapi.WriteRefusal(w, r.Header.Get(httpapi.HeaderRequestID), &cluster.Refusal{
			Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonTooLarge,
			Message: "the body is over the limit of this entry host",
		})
		return
	}
	// Handlers convert the *http.MaxBytesError of the reader to the same refusal.
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	next(w, r)
}

// authenticate checks the bearer token. Each trainer has its own token; callers
// share a list of tokens. If the configuration declares workspaces, keys take their place.
func (h *Host) authenticate(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	caller, refusal := h.gate.Admit(r, func(set *declare.Set) bool { return mayBePublic(set, r.URL.Path) })
	if refusal != nil {
		httpapi.WriteRefusal(w, r.Header.Get(httpapi.HeaderRequestID), refusal)
		return
	}
	if caller.Checked || h.authorized(r) {
		next(w, r)
		return
	}
	h.recorder.Count("unauthorized_total")
	httpapi.WriteRefusal(w, r.Header.Get(httpapi.HeaderRequestID), &cluster.Refusal{
		Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonUnauthorized,
		Message: "the bearer token is missing or wrong",
	})
}

// mayBePublic reports whether a path may be used without a key. For completions, whose body
// names the model, it is enough that there is a public model; the handler decides.
func mayBePublic(set *declare.Set, path string) bool {
	if rest, ok := strings.CutPrefix(path, trainers.PathPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		return set.PublicTrainer(name)
	}
	if rest, ok := strings.CutPrefix(path, services.PathPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		return set.PublicService(name)
	}
	if path != completionsPath {
		return false
	}
	for name := range set.Models {
		if set.PublicModel(name) {
			return true
		}
	}
	return false
}

func (h *Host) authorized(r *http.Request) bool {
	token := bearerToken(r)
	if rest, ok := strings.CutPrefix(r.URL.Path, "/v1/trainers/"); ok {
		name, _, _ := strings.Cut(rest, "/")
		want, known := h.settings.Auth.TrainerTokens[name]
		if !known {
			// If no trainer tokens are configured, trainers authenticate as callers.
			return len(h.settings.Auth.TrainerTokens) == 0 && tokenAllowed(token, h.settings.Auth.CallerTokens)
		}
		return tokensEqual(token, want)
	}
	return tokenAllowed(token, h.settings.Auth.CallerTokens)
}

// operatorOnly requires the operator token, if one is configured.
func (h *Host) operatorOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := h.settings.Auth.OperatorToken
		if want != "" && !tokensEqual(bearerToken(r), want) {
			writeText(w, http.StatusUnauthorized, "the operator token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tokenAllowed reports whether the token is in the list. An empty list allows
// every token.
func tokenAllowed(token string, list []string) bool {
	for _, want := range list {
		if tokensEqual(token, want) {
			return true
		}
	}
	return len(list) == 0
}

// tokensEqual compares tokens by their digests in constant time, so that the time
// taken reveals neither the token nor its length.
func tokensEqual(got, want string) bool {
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(1).InfoS("failed to write the response", "err", err)
	}
}
