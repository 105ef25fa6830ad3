// Package engine is the client of model engines: completions as server-sent
// events, state, cache events, orders and KV cache transfer.
package engine

// GenerateRequest is the body of POST /v1/completions towards an engine.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// Delivered holds tokens that an earlier attempt already produced; the
	// engine goes on behind them. The first chunk has index len(Delivered).
	Delivered   []string `json:"delivered,omitempty"`
	MaxTokens   int      `json:"max_tokens"`
	Temperature float64  `json:"temperature,omitempty"`
	Seed        int64    `json:"seed,omitempty"`
	Stream      bool     `json:"stream"`
}

// Chunk is one server-sent event of a completion. The last one has a
// FinishReason and is followed by "data: [DONE]".
type Chunk struct {
	RequestID     string `json:"request_id"`
	Index         int    `json:"index"` // position of Token in the whole answer
	Token         string `json:"token"`
	WeightVersion int64  `json:"weight_version"`
	FinishReason  string `json:"finish_reason,omitempty"` // "stop" or "length"
}

// Roles of a replica.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// State is what an engine reports at GET /state. Load fields lag.
type State struct {
	Model       string   `json:"model"`
	Version     int64    `json:"version"`
	Loading     int64    `json:"loading"` // version being loaded; 0 when none
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Fence       int64    `json:"fence"` // highest fencing number seen; 0 when ignored
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Incarnation int64    `json:"incarnation"` // changes with each start of the engine
	LastError   string   `json:"last_error,omitempty"`
}

// Kinds of orders.
const (
	OrderLoadModel   = "load_model"
	OrderLoadVersion = "load_version"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order is the body of POST /orders. The engine answers 409 when it checks
// fencing numbers and has seen a higher one; otherwise 202 and works on it.
type Order struct {
	Fence      int64  `json:"fence"`
	OrderOwner string `json:"holder"`
	Kind       string `json:"kind"`
	Model      string `json:"model,omitempty"`
	Version    int64  `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	// Source is the address of a peer engine to copy weights from; empty means the store.
	Source string `json:"source,omitempty"`
}

// CacheEvent is one row of GET /cache/events?after=SEQ. Events come late and
// sequence numbers may have gaps.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Stored bool   `json:"stored"` // false means evicted
	Prefix string `json:"prefix"` // hex hash of the prefix block chain, see PrefixHashes
}
