package exchange

import "time"

const (
	// candidatesPerDataCentre is how many hosts of each data centre stand for
	// election in a deployment with relays. Each makes several calls to the store
	// in every lease.
	candidatesPerDataCentre = 3
	// candidateSlack is by how many places a host that stands for election may fall
	// behind before it gives up, so that hosts that come and go do not move the
	// lease.
	candidateSlack = 3
)

// StandsForElection reports whether this host should be a candidate for the
// leader's duties, given whether it is one. In smaller deployments all hosts are.
// In larger ones those with the widest links of each data centre are, as for
// relays: the leader has the most to send and to compute. The next ones replace
// them as soon as they are silent or have no paths to instances.
func (e *Exchanger) StandsForElection(stands bool) bool {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	live, preceding := 0, 0
	for _, peer := range e.peers {
		if !peer.isLive(now) {
			continue
		}
		live++
		if peer.DataCentre == e.self.DataCentre && !peer.stranded && precedes(peer.EntryPeer, e.self) {
			preceding++
		}
	}
	if live <= maxDirectPeers {
		return true
	}
	if stands {
		return preceding < candidatesPerDataCentre+candidateSlack
	}
	return preceding < candidatesPerDataCentre
}

// silence returns how long nothing has arrived from the peer: nobody sends messages to
// a host that stops, but its own are answered.
func (p *peerState) silence(now time.Time) time.Duration {
	return min(now.Sub(p.lastSeen), now.Sub(p.answeredAt))
}

// isLive reports whether the peer sent a message lately, or is new and has had no
// time to.
func (p *peerState) isLive(now time.Time) bool {
	if p.left {
		return false
	}
	if p.lastSeen.IsZero() {
		return now.Sub(p.added) < peerTimeout
	}
	return now.Sub(p.lastSeen) < peerTimeout
}
