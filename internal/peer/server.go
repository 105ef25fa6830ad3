// Package peer serves and calls the gRPC interface between entry hosts.
package peer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// RunHandler admits generations to replicas that this host owns.
type RunHandler interface {
	Run(*peerpb.RunRequest, grpc.ServerStreamingServer[peerpb.RunChunk]) error
}

// ClaimHandler keeps the attempts of requests that this host is home to.
type ClaimHandler interface {
	Claim(*peerpb.ClaimRequest, grpc.ServerStreamingServer[peerpb.ClaimEvent]) error
	Complete(context.Context, *peerpb.CompleteRequest) (*peerpb.CompleteReply, error)
}

// IntentHandler answers for the intents that this host wrote.
type IntentHandler interface {
	IntentResult(context.Context, *peerpb.IntentResultRequest) (*peerpb.IntentResultReply, error)
}

// TrainerHandler takes the calls of trainers that this host is home to.
type TrainerHandler interface {
	Trainer(context.Context, *peerpb.TrainerRequest) (*peerpb.TrainerReply, error)
}

// SnapshotHandler returns the newest configuration of this host.
type SnapshotHandler interface {
	Snapshot(context.Context, *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error)
}

// ExchangeHandler merges another host's load rows, suspicions and versions.
type ExchangeHandler interface {
	Exchange(context.Context, *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error)
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

// Clients returns a client for the peer at an address. Implementations keep
// one connection per address and replace connections that went silent.
type Clients interface {
	Client(addr string) (peerpb.PeerClient, error)
}
