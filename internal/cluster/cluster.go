// Package cluster defines the types and interfaces shared by the roles of an
// entry host: members, ownership of replicas, configuration, weight versions and
// the execution of one generation.
package cluster

import (
	"context"
	"time"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// MemberState is the state of an entry host in the membership protocol.
type MemberState int

// Member states.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Member is one entry host.
type Member struct {
	ID          string // unique, from the settings of the host
	DataCentre  string
	PeerAddr    string // IP:port of its gRPC server
	Incarnation int64
	State       MemberState
}

// Members provides the current membership.
type Members interface {
	// Self returns this entry host.
	Self() Member
	// All returns all known members, including dead ones, ordered by ID.
	All() []Member
}

// Replica is an engine in the host list together with its last reported state.
type Replica struct {
	platform.BackendServer
	State   engine.State
	Healthy bool // the state was read recently
}

// Ownership reports which entry host owns a replica.
type Ownership interface {
	// Owner returns the member that admits requests to the replica, or false if
	// no live member of the replica's data centre is known. It skips dead members
	// as soon as membership reports them, before the log has a new view.
	Owner(replicaID, dataCentre string) (Member, bool)
	// MayOrder returns the fencing number under which this host may send
	// orders to the replica now, or false.
	MayOrder(replicaID string) (fence int64, ok bool)
}

// Inventory provides the newest host list that could be read.
type Inventory interface {
	BackendServers() []platform.BackendServer
}

// ReplicaStates provides the replicas that this host owns, for orders or only
// for admission, with the last state read from each.
type ReplicaStates interface {
	OwnedReplicas() []Replica
}

// Configs provides the active configuration.
type Configs interface {
	// Current returns the active set and its version. Version 0 means that there
	// is none yet.
	Current() (*declare.Set, int64)
}

// Versions is the table of the newest weight version of each model.
type Versions interface {
	Newest(model string) int64
	// Announce raises the newest version of a model; lower values are ignored.
	Announce(model string, version int64)
}

// Generation is one request for tokens, from a caller or from a trainer
// coordinator.
type Generation struct {
	RequestID   string
	Model       string
	Adapter     string
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        int64
	Class       declare.Class
	Trainer     string // empty for callers
	Caller      Caller // for trainers, without a key
	// MinVersion excludes replicas that serve an older weight version.
	MinVersion int64
	// Avoid lists the IDs of replicas not to use. A hedge avoids the replicas of
	// earlier attempts.
	Avoid []string
	// Priority orders the requests of one trainer in the queue of the owner;
	// lower values go first.
	Priority int64
	// OnReplicaChosen, if not nil, is called with the replica of each attempt
	// before the attempt starts, so that a hedge can avoid that replica.
	OnReplicaChosen func(replicaID string)
}

// Generator runs generations on the replicas of the system. It masks failures
// by retrying and resuming as far as the retry budget allows.
type Generator interface {
	// Generate calls sink for every chunk in index order, once per index. It
	// returns nil after the chunk with the finish reason, and a *Refusal or
	// another error otherwise. It stops when ctx ends.
	Generate(ctx context.Context, gen Generation, sink func(engine.Chunk) error) error
}

// Outcome reports whether a request without a complete response was run.
type Outcome string

// Outcomes of refused or broken requests.
const (
	OutcomeNotRun  Outcome = "not-run" // no backend server ran it
	OutcomeUnknown Outcome = "unknown" // a backend server may have run it
	OutcomePartial Outcome = "partial" // a part of the response was delivered
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonNoReplica       Reason = "no-replica"
	ReasonRateLimited     Reason = "rate-limited"
	ReasonNotOwner        Reason = "not-owner"
	ReasonOverload        Reason = "overload"
	ReasonDeadline        Reason = "deadline"
	ReasonCrashInducing   Reason = "crashes-backend-servers"
	ReasonSuperseded      Reason = "superseded"
	ReasonBackendFailed   Reason = "backend-server-failed"
	ReasonLogUnavailable  Reason = "log-unavailable"
	ReasonKeyExpired      Reason = "key-expired"
	ReasonKeyInvalid      Reason = "key-invalid"
	ReasonOtherOriginator Reason = "other-author"
	ReasonDraining        Reason = "draining"
	ReasonNotReady        Reason = "not-ready"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonNoPermission    Reason = "no-permission" // the host's configuration is too old for requests with keys
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonUnknownName     Reason = "unknown-name"
)

// Refusal is the error of a request that has no complete response.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Message string
	// BackendServer is the backend server that the request was sent to or meant
	// for, if any.
	BackendServer string
	// StreamBroken reports that the connection to the backend server broke in the
	// middle of a stream. Whether the backend server crashed is not known yet.
	StreamBroken bool
	// RetryAfter is the delay after which the caller should retry; 0 leaves it to the
	// caller.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Message
}

// Refuser returns a refusal of a request that may take until limit, or nil if the
// request is served. A nil Refuser serves all requests.
type Refuser func(requestID string, limit time.Time) *Refusal

// Refuse calls f unless it is nil.
func (f Refuser) Refuse(requestID string, limit time.Time) *Refusal {
	if f == nil {
		return nil
	}
	return f(requestID, limit)
}
