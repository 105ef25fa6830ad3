// Package requestid shortens the request IDs that callers choose. It handles IDs as long
// as a head permits, which a process would otherwise keep in its tables and logs.
package requestid

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// maxBytes is the length up to which an ID is kept as it is.
	maxBytes = 256
	// prefixBytes is the part of a longer ID that is kept.
	prefixBytes = 64
)

// Short returns an ID of at most 256 bytes: the ID itself, or the beginning of a longer
// one and its digest. It returns the same for the result.
func Short(id string) string {
	if len(id) <= maxBytes {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return strings.ToValidUTF8(id[:prefixBytes], "") + "..." + hex.EncodeToString(digest[:])
}
