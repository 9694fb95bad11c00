package exchange

import (
	"cmp"
	"math/rand/v2"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	// silentPeerTime is how long a peer may be silent and still be the first choice
	// for a request that is forwarded.
	silentPeerTime = time.Second
	// avoidTime is how long a peer that declined a request gets another only if there
	// is no better one.
	avoidTime = 300 * time.Millisecond
	// leavingPeerTime is how long a peer that stops may be the last choice. It serves
	// others while requests of its own callers are in flight, until its grace period ends.
	leavingPeerTime = 5 * time.Second
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
// many. Peers of a data centre in which one has declined the request, those that
// declined another a moment ago, silent ones and leaving ones come later in this order.
// Stranded peers, and those that announced their stop leavingPeerTime ago, are excluded.
func (e *Exchanger) NextPeer(excluded map[string]bool, now time.Time) (flamingodoor.EntryPeer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *peerState
	var least forwardCost
	equal := 0
	for id, peer := range e.peers {
		if excluded[id] || !peer.mayServe(now) {
			continue
		}
		cost := e.forwardCost(peer, excluded, now)
		switch order := cost.compare(least); {
		case best == nil || order < 0:
			best, least, equal = peer, cost, 1
		case order == 0:
			if equal++; rand.IntN(equal) == 0 { //nolint:gosec // spreads load, no secret
				best = peer
			}
		}
	}
	if best == nil {
		return flamingodoor.EntryPeer{}, false
	}
	best.forwards.inFlight++
	chosen := best.EntryPeer
	chosen.Leaving = best.left
	return chosen, true
}

// mayServe reports whether the peer may serve a request that is forwarded.
func (p *peerState) mayServe(now time.Time) bool {
	if p.left {
		return !p.stranded && now.Sub(p.leftAt) < leavingPeerTime
	}
	return !p.stranded && p.silence(now) < peerTimeout
}

// HasPeer reports whether NextPeer would select a peer if none was excluded. If not,
// all hosts are in the same position: a host without paths to instances cannot tell
// that they fail rather than its paths.
func (e *Exchanger) HasPeer(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, peer := range e.peers {
		if peer.mayServe(now) {
			return true
		}
	}
	return false
}

// forwardCost orders the peers that a request can be forwarded to.
type forwardCost struct {
	doubts int // that the peer can serve the request
	load   int
}

// compare returns a negative number if c is lower, and 0 if both are equal.
func (c forwardCost) compare(other forwardCost) int {
	return cmp.Or(cmp.Compare(c.doubts, other.doubts), cmp.Compare(c.load, other.load))
}

// Doubts about a peer, in ascending order.
const (
	doubtDataCentre = 1 << iota
	doubtDeclined
	doubtSilent
	doubtLeaving
)

func (e *Exchanger) forwardCost(peer *peerState, excluded map[string]bool, now time.Time) forwardCost {
	cost := forwardCost{load: peer.forwards.inFlight + 1}
	if peer.DataCentre != e.self.DataCentre {
		cost.load *= remoteCost
	}
	for id := range excluded {
		if declined, ok := e.peers[id]; ok && declined.DataCentre == peer.DataCentre {
			cost.doubts |= doubtDataCentre
		}
	}
	if now.Before(peer.forwards.avoidUntil) {
		cost.doubts |= doubtDeclined
	}
	if peer.silence(now) >= silentPeerTime {
		cost.doubts |= doubtSilent
	}
	if peer.left {
		cost.doubts |= doubtLeaving
	}
	return cost
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

// AvoidPeer makes a peer a late choice for avoidTime.
func (e *Exchanger) AvoidPeer(peerID string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer, ok := e.peers[peerID]; ok {
		peer.forwards.avoidUntil = now.Add(avoidTime)
	}
}
