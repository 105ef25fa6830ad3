// Package gossippb holds the membership packets generated from gossip.proto.
package gossippb

//go:generate sh -c "cd ../../.. && go tool -modfile=tools/go.mod buf generate"
