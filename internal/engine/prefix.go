package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the number of prompt bytes that one cache block covers.
const PrefixBlockBytes = 64

// PrefixHashes returns one hash per full block of a prompt, from the shortest
// prefix to the longest. Each hash covers the model and all blocks up to its own.
// Engines publish the same hashes in their cache events.
func PrefixHashes(model, prompt string) []string {
	var hashes []string
	chain := xxhash.Sum64String(model)
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		chain = xxhash.Sum64String(fmt.Sprintf("%016x%s", chain, prompt[end-PrefixBlockBytes:end]))
		hashes = append(hashes, fmt.Sprintf("%016x", chain))
	}
	return hashes
}
