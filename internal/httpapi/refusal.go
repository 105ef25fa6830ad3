// Package httpapi defines what the HTTP APIs for callers have in common: header
// names and the representation of refusals (status, headers and JSON body), and what
// makes a response of a backend server whole.
package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// HeaderRequestsPerSecond is the header by which a backend server names its rate limit
// in its responses: the requests per second that it accepts from all entry hosts
// together, as a decimal number.
const HeaderRequestsPerSecond = "Requests-Per-Second"

// Names of HTTP headers exchanged between callers and entry hosts.
const (
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout-Ms"
	HeaderOutcome        = "Sesamestand-Outcome"
	HeaderReason         = "Sesamestand-Reason"
	HeaderReplayed       = "Sesamestand-Replayed"
)

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail describes a refusal in its JSON body.
type RefusalDetail struct {
	Outcome   cluster.Outcome `json:"outcome"`
	Reason    cluster.Reason  `json:"reason"`
	Message   string          `json:"message"`
	RequestID string          `json:"request_id"`
}

var statuses = map[cluster.Reason]int{
	cluster.ReasonNoReplica:       http.StatusServiceUnavailable,
	cluster.ReasonRateLimited:     http.StatusServiceUnavailable,
	cluster.ReasonNotOwner:        http.StatusServiceUnavailable,
	cluster.ReasonOverload:        http.StatusTooManyRequests,
	cluster.ReasonDeadline:        http.StatusGatewayTimeout,
	cluster.ReasonCrashInducing:   http.StatusUnprocessableEntity,
	cluster.ReasonSuperseded:      http.StatusConflict,
	cluster.ReasonBackendFailed:   http.StatusBadGateway,
	cluster.ReasonLogUnavailable:  http.StatusServiceUnavailable,
	cluster.ReasonKeyExpired:      http.StatusConflict,
	cluster.ReasonKeyInvalid:      http.StatusBadRequest,
	cluster.ReasonOtherOriginator: http.StatusConflict,
	cluster.ReasonDraining:        http.StatusServiceUnavailable,
	cluster.ReasonNotReady:        http.StatusServiceUnavailable,
	cluster.ReasonUnauthorized:    http.StatusUnauthorized,
	cluster.ReasonNoPermission:    http.StatusServiceUnavailable,
	cluster.ReasonBadRequest:      http.StatusBadRequest,
	cluster.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	cluster.ReasonUnknownName:     http.StatusNotFound,
}

// Status returns the HTTP status for a refusal reason.
func Status(reason cluster.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// NewRefusalBody returns the JSON body of a refusal.
func NewRefusalBody(requestID string, refusal *cluster.Refusal) RefusalBody {
	return RefusalBody{Error: RefusalDetail{
		Outcome:   refusal.Outcome,
		Reason:    refusal.Reason,
		Message:   refusal.Message,
		RequestID: requestID,
	}}
}

// WriteRefusal writes a refusal as the response to a request. Nothing may have
// been written to w before.
func WriteRefusal(w http.ResponseWriter, requestID string, refusal *cluster.Refusal) {
	WriteRefusalWithStatus(w, requestID, refusal, Status(refusal.Reason))
}

// WriteRefusalWithStatus is like WriteRefusal, but for APIs that choose the HTTP status
// themselves.
func WriteRefusalWithStatus(w http.ResponseWriter, requestID string, refusal *cluster.Refusal, status int) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(refusal.Outcome))
	header.Set(HeaderReason, string(refusal.Reason))
	if requestID != "" {
		header.Set(HeaderRequestID, requestID)
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(NewRefusalBody(requestID, refusal)); err != nil {
		klog.V(1).InfoS("failed to write refusal", "request_id", requestID, "err", err)
	}
}
