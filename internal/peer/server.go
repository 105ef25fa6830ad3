// Package peer implements the server and the client of the gRPC service between
// entry hosts.
package peer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// RunHandler admits generations to the replicas that this host owns and runs
// them.
type RunHandler interface {
	Run(*peerpb.RunRequest, grpc.ServerStreamingServer[peerpb.RunChunk]) error
}

// ClaimHandler tracks the attempts of requests that this host coordinates.
type ClaimHandler interface {
	Claim(*peerpb.ClaimRequest, grpc.ServerStreamingServer[peerpb.ClaimEvent]) error
	Complete(context.Context, *peerpb.CompleteRequest) (*peerpb.CompleteReply, error)
}

// IntentHandler returns the results of the intents that this host originated.
type IntentHandler interface {
	IntentResult(context.Context, *peerpb.IntentResultRequest) (*peerpb.IntentResultReply, error)
}

// TrainerHandler handles the calls of trainers that this host coordinates.
type TrainerHandler interface {
	Trainer(context.Context, *peerpb.TrainerRequest) (*peerpb.TrainerReply, error)
}

// SnapshotHandler returns the newest configuration that this host has.
type SnapshotHandler interface {
	Snapshot(context.Context, *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error)
}

// ExchangeHandler merges another host's load rows, suspicions and weight
// versions into those of this host.
type ExchangeHandler interface {
	Exchange(context.Context, *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error)
}

// LimitsHandler answers the requests of other hosts for grants of requests to servers
// with a rate limit.
type LimitsHandler interface {
	Acquire(context.Context, *peerpb.AcquireRequest) (*peerpb.AcquireReply, error)
}

// LimitsServer implements the Limits service.
type LimitsServer struct {
	peerpb.UnsafeLimitsServer
	LimitsHandler
}

// UsageHandler collects the requests that other hosts have counted.
type UsageHandler interface {
	ReportUsage(context.Context, *peerpb.UsageCounts) (*peerpb.UsageReply, error)
}

// UsageServer implements the Usage service.
type UsageServer struct {
	peerpb.UnsafeUsageServer
	UsageHandler
}

// Server implements the Peer service with one handler per role.
type Server struct {
	peerpb.UnsafePeerServer
	RunHandler
	ClaimHandler
	IntentHandler
	TrainerHandler
	SnapshotHandler
	ExchangeHandler
}

var _ peerpb.PeerServer = (*Server)(nil)

// Clients returns a client for the peer at an address. Implementations hold one
// connection per address and replace unresponsive ones.
type Clients interface {
	Client(addr string) (peerpb.PeerClient, error)
}
