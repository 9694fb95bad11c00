package routing

import "github.com/cespare/xxhash/v2"

// Engines report the cached prefixes of a prompt in blocks. Only the first
// maxPrefixBlocks of a prompt are considered, which limits the work for each
// request.
const (
	prefixBlockBytes = 256
	maxPrefixBlocks  = 64
)

// PrefixHashes returns the hashes by which engines report the prefixes of a
// prompt, the shortest prefix first. The last block may be incomplete.
func PrefixHashes(modelID, version, adapter, prompt string) []uint64 {
	digest := xxhash.New()
	for _, part := range []string{modelID, version, adapter} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var hashes []uint64
	for len(prompt) > 0 && len(hashes) < maxPrefixBlocks {
		size := min(prefixBlockBytes, len(prompt))
		_, _ = digest.WriteString(prompt[:size])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}
