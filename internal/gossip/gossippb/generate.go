// Package gossippb holds the packets of membership, generated from gossip.proto.
package gossippb

//go:generate sh -c "cd ../../.. && go tool -modfile=tools/go.mod buf generate"
