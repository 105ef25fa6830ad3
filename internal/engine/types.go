// Package engine implements the HTTP client for model engines: streamed
// completions (server-sent events), state reports, prefix cache events and
// orders that change what an engine serves.
package engine

import "time"

// GenerateRequest is the body of POST /v1/completions on an engine.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// Delivered holds the tokens that earlier attempts already produced. The
	// engine continues after them, so the first chunk has index len(Delivered).
	Delivered   []string `json:"delivered,omitempty"`
	MaxTokens   int      `json:"max_tokens"`
	Temperature float64  `json:"temperature,omitempty"`
	Seed        int64    `json:"seed,omitempty"`
	Stream      bool     `json:"stream"`

	// Workspace is the name of the workspace that the request belongs to, which is sent in
	// a header. It is empty if there is none.
	Workspace string `json:"-"`
	// Expires is the time on the clock of boottime.Now after which the request must not
	// reach the engine; zero means no limit.
	Expires time.Time `json:"-"`
}

// Chunk is one server-sent event of a completion. The last chunk has a
// FinishReason and is followed by "data: [DONE]".
type Chunk struct {
	RequestID     string `json:"request_id"`
	Index         int    `json:"index"` // position of Token in the complete answer
	Token         string `json:"token"`
	WeightVersion int64  `json:"weight_version"`
	FinishReason  string `json:"finish_reason,omitempty"` // "stop" or "length"
}

// Roles of a replica. A mixed replica runs both phases of a completion; the others
// mainly prefill prompts or mainly decode tokens.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// State is the response of GET /state. Running and Waiting may be out of date.
type State struct {
	Model       string   `json:"model"`
	Version     int64    `json:"version"`
	Loading     int64    `json:"loading"` // version being loaded; 0 if none
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Fence       int64    `json:"fence"` // highest fencing number received; 0 if the engine does not check them
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Incarnation int64    `json:"incarnation"` // changes whenever the engine restarts
	LastError   string   `json:"last_error,omitempty"`
	// Leaving is set if the header of the response says that the engine is leaving.
	Leaving bool `json:"-"`
}

// Values of Order.Kind.
const (
	OrderLoadModel   = "load_model"
	OrderLoadVersion = "load_version"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order is the body of POST /orders: a change of an engine's model, weight
// version, adapters or role. An engine that checks fencing numbers responds 409
// if it has received a higher one. Otherwise it responds 202 and executes the
// order asynchronously.
type Order struct {
	Fence      int64  `json:"fence"`
	OrderOwner string `json:"holder"` // host that sends the order
	Kind       string `json:"kind"`
	Model      string `json:"model,omitempty"`
	Version    int64  `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	// Source is the address of a peer engine to copy the weights from; if empty,
	// they come from the weight store.
	Source string `json:"source,omitempty"`
}

// CacheEvent is one element of the response of GET /cache/events?after=SEQ.
// Events are delayed, and lost events leave gaps in the sequence numbers.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Stored bool   `json:"stored"` // false if the block was evicted
	Prefix string `json:"prefix"` // hex hash of the prompt prefix that ends with this block; see PrefixHashes
}
