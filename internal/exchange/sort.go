package exchange

import (
	"cmp"
	"slices"
)

func sortPeers(peers []*peer) {
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
}
