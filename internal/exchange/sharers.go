package exchange

import "time"

const (
	// strandedShareTime is how long the other hosts use the part of the divided limits
	// of a peer that states that it is stranded, without a newer message of it.
	strandedShareTime = 2 * time.Second
	// ownShareDelay is the longest time after its last message as a stranded host until
	// a host uses its part again: the message takes up to shareTimeout, and the
	// receivers examine each second which hosts use the limits.
	ownShareDelay = strandedShareTime + shareTimeout + time.Second
)

// setSharing records whether a peer uses its part of the divided limits. The caller
// holds the mutex.
func (e *Exchanger) setSharing(peer *peerState, stranded bool, now time.Time) {
	e.sharersChanged = e.sharersChanged || stranded == peer.sharesAgain.IsZero()
	peer.sharesAgain = time.Time{}
	if stranded {
		peer.sharesAgain = now.Add(strandedShareTime)
	}
}

// LimitSharers returns those of LimitShareHosts that use their parts of the limits.
// Stranded hosts, which send nothing to instances, leave theirs to the others.
func (e *Exchanger) LimitSharers() []string {
	now := e.now()
	hosts := e.LimitShareHosts()
	e.mu.Lock()
	defer e.mu.Unlock()
	sharers := hosts[:0]
	for _, id := range hosts {
		if peer, ok := e.peers[id]; !ok || !now.Before(peer.sharesAgain) {
			sharers = append(sharers, id)
		}
	}
	return sharers
}

// MayShare reports whether this host, which is not stranded, may use its part of the
// limits. After it was, all peers have to know first that it uses it again.
func (e *Exchanger) MayShare() bool {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.strandedAt.IsZero() || now.Sub(e.strandedAt) >= ownShareDelay {
		return true
	}
	for _, peer := range e.peers {
		if !peer.left && !peer.knowsSound {
			return false
		}
	}
	return true
}

// recordSent notes what a message to a peer states about this host: the peer may have
// received it even without an answer.
func (e *Exchanger) recordSent(to *peerState, stranded bool) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if stranded {
		e.strandedAt, to.knowsSound = now, false
	}
}

// recordAnswered notes that a peer answered a message.
func (e *Exchanger) recordAnswered(to *peerState, stranded bool) {
	e.mu.Lock()
	changed := to.knowsSound == stranded
	to.knowsSound = !stranded
	recently := !e.strandedAt.IsZero() && e.now().Sub(e.strandedAt) < ownShareDelay
	e.mu.Unlock()
	if changed && recently {
		e.onSharers()
	}
}
