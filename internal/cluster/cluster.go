// Package cluster holds the types and interfaces that the roles of an entry
// host share: members, ownership of replicas, configuration, weight versions
// and the running of one generation.
package cluster

import (
	"context"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// MemberState is the state of an entry host as membership sees it.
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
	ID          string // unique name from its settings
	DataCentre  string
	PeerAddr    string // IP:port of its gRPC server
	Incarnation int64
	State       MemberState
}

// Members gives the current membership.
type Members interface {
	// Self returns this entry host.
	Self() Member
	// All returns every known member, dead ones included, ordered by ID.
	All() []Member
}

// Replica is an engine known from the host list together with what it last reported.
type Replica struct {
	platform.BackendServer
	State   engine.State
	Healthy bool // state was read back recently
}

// Ownership tells which entry host owns a replica.
type Ownership interface {
	// Owner returns the member that admits work to the replica, or false when
	// no live member of the replica's data centre is known. It leaves out dead
	// members at once, before the log records a new view.
	Owner(replicaID, dataCentre string) (Member, bool)
	// MayOrder returns the fencing number under which this host may send
	// orders to the replica now, or false.
	MayOrder(replicaID string) (fence int64, ok bool)
}

// Inventory gives the newest host list that could be read.
type Inventory interface {
	BackendServers() []platform.BackendServer
}

// ReplicaStates gives the replicas that this host owns, for orders or only for
// admission, with the state last read back from each.
type ReplicaStates interface {
	OwnedReplicas() []Replica
}

// Configs gives the configuration in force.
type Configs interface {
	// Current returns the accepted set and its version. Version 0 is empty.
	Current() (*declare.Set, int64)
}

// Versions is the table of the newest weight version per model.
type Versions interface {
	Newest(model string) int64
	// Announce raises the newest version of a model; lower values are ignored.
	Announce(model string, version int64)
}

// Generation is one request for tokens, from a caller or from a trainer's home.
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
	// MinVersion refuses replicas that run an older weight version.
	MinVersion int64
	// Avoid lists replicas not to use, for hedges.
	Avoid []string
	// Priority orders work of one trainer at the owner; lower goes first.
	Priority int64
	// OnReplicaChosen, when set, is called with the replica of each attempt before it
	// starts, so that a hedge can avoid that replica.
	OnReplicaChosen func(replicaID string)
}

// Generator runs generations on the replicas of the system. It retries,
// resumes and hides failures as far as the retry budget allows.
type Generator interface {
	// Generate calls sink for every chunk in index order, each index once. It
	// returns nil after the chunk with the finish reason, and an *Refusal or
	// other error otherwise. It stops when ctx ends.
	Generate(ctx context.Context, gen Generation, sink func(engine.Chunk) error) error
}

// Outcome says what a refusal means for the request.
type Outcome string

// Outcomes of refused or broken requests.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomePartial Outcome = "partial"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonNoReplica       Reason = "no-replica"
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
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonUnknownName     Reason = "unknown-name"
)

// Refusal is the typed error of a request that has no whole answer.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Message string
	// BackendServer is the backend server that failed, when there was one.
	BackendServer string
	// Crashed says that the backend server's connection broke in mid-stream.
	Crashed bool
}

func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Message
}
