package exchange

import (
	"math/rand/v2"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	// silentPeerTime is how long a peer may be silent and still be the first choice
	// for a request that is forwarded.
	silentPeerTime = time.Second
	// avoidTime is how long a peer that declined a request gets no other.
	avoidTime = 300 * time.Millisecond
	// remoteCost is how many requests in flight at a peer of this data centre weigh as
	// much as one at a peer of another.
	remoteCost = 4
)

var _ flamingodoor.PeerSelector = (*Exchanger)(nil)

// forwardState is the state of the requests that this host forwards to a peer.
type forwardState struct {
	inFlight   int
	avoidUntil time.Time
}

// NextPeer selects a peer for a request that this host cannot serve: one of this
// data centre with few such requests in flight, or one of another if those have
// many. Stranded and leaving peers are excluded, and silent ones are the last
// resort.
func (e *Exchanger) NextPeer(excluded map[string]bool, now time.Time) (flamingodoor.EntryPeer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, silence := range []time.Duration{silentPeerTime, peerTimeout} {
		if peer := e.leastForwarded(excluded, now, silence); peer != nil {
			peer.forwards.inFlight++
			return peer.EntryPeer, true
		}
	}
	return flamingodoor.EntryPeer{}, false
}

// leastForwarded returns one of the peers with the lowest cost among those heard
// within the given time. The caller holds the mutex.
func (e *Exchanger) leastForwarded(excluded map[string]bool, now time.Time, silence time.Duration) *peerState {
	var best *peerState
	bestCost, equal := 0, 0
	for id, peer := range e.peers {
		if excluded[id] || peer.left || peer.stranded || now.Sub(peer.lastSeen) >= silence || now.Before(peer.forwards.avoidUntil) {
			continue
		}
		cost := peer.forwards.inFlight + 1
		if peer.DataCentre != e.self.DataCentre {
			cost *= remoteCost
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, equal = peer, cost, 1
		case cost == bestCost:
			if equal++; rand.IntN(equal) == 0 { //nolint:gosec // spreads load, no secret
				best = peer
			}
		}
	}
	return best
}

// ReleasePeer ends a request that NextPeer counted.
func (e *Exchanger) ReleasePeer(peerID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A peer that came back at another address starts with none.
	if peer, ok := e.peers[peerID]; ok && peer.forwards.inFlight > 0 {
		peer.forwards.inFlight--
	}
}

// AvoidPeer excludes a peer from selection for avoidTime.
func (e *Exchanger) AvoidPeer(peerID string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer, ok := e.peers[peerID]; ok {
		peer.forwards.avoidUntil = now.Add(avoidTime)
	}
}
