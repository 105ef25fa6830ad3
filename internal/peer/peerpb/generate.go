// Package peerpb contains the messages and the gRPC service between entry hosts,
// generated from peer.proto.
package peerpb

//go:generate sh -c "cd ../../.. && go tool -modfile=tools/go.mod buf generate"
