package exchange

import (
	"cmp"
	"slices"
)

func sortPeers(peers []*peerState) {
	slices.SortFunc(peers, func(a, b *peerState) int { return cmp.Compare(a.ID, b.ID) })
}
