package upstream

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConnection bounds the requests that a connection carries, and so
// the memory of its history.
const maxRequestsPerConnection = 512

// historySeed is the seed of the hashes of all histories.
var historySeed = maphash.MakeSeed() //nolint:gochecknoglobals // set once

// history remembers the identifiers of all requests that a connection has
// carried. An endpoint may repeat an earlier response at any later time, and only
// its identifier tells it apart, so that no two requests with the same identifier
// may share a connection.
type history struct {
	hashes []uint64
}

// hashID returns the hash of an identifier, as histories keep it.
func hashID(id string) uint64 {
	return maphash.String(historySeed, id)
}

// add records that the connection carries a request.
func (h *history) add(hash uint64) {
	h.hashes = append(h.hashes, hash)
}

// contains reports whether the connection may have carried a request.
func (h *history) contains(hash uint64) bool {
	return slices.Contains(h.hashes, hash)
}

// full reports whether the connection may carry no further request.
func (h *history) full() bool {
	return len(h.hashes) >= maxRequestsPerConnection
}
