// Package peerpb holds the messages between entry hosts, generated from peer.proto.
package peerpb

//go:generate sh -c "cd ../../.. && go tool -modfile=tools/go.mod buf generate"
