package exchange

import (
	"time"
)

// maxSilentFraction is the part of the peers, as one in so many, that may be silent
// before this host counts as cut off.
const maxSilentFraction = 4

// HostCount returns the number of live entry hosts: this one and those from
// which a message, or a summary with their work, arrived within peerTimeout.
func (e *Exchanger) HostCount() int {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 1
	for _, peer := range e.peers {
		if now.Sub(peer.lastSeen) < peerTimeout {
			count++
		}
	}
	return count
}

// KnownHosts returns the hashes of the identifiers of the live entry hosts, as in
// HostCount.
func (e *Exchanger) KnownHosts() []uint32 {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := make([]uint32, 0, 1+len(e.peers))
	hosts = append(hosts, HostHash(e.self.ID))
	for hash, peer := range e.peersByHash {
		if now.Sub(peer.lastSeen) < peerTimeout {
			hosts = append(hosts, hash)
		}
	}
	return hosts
}

// PropagationTime returns how long it takes until the work of one host is known
// to all others.
func (e *Exchanger) PropagationTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	local, remote := 0, 0
	for _, peer := range e.peers {
		if peer.DataCentre == e.self.DataCentre {
			local++
		} else {
			remote++
		}
	}
	if now := e.now(); now.Before(e.relayUntil) || e.isRelay(now) {
		return (1 + summaryHops) * shareInterval
	}
	rounds := max((local+localPeersPerRound-1)/localPeersPerRound, (remote+remotePeersPerRound-1)/remotePeersPerRound)
	return time.Duration(1+rounds) * shareInterval
}

// DirectoryLoaded reports whether this host has read the list of hosts.
func (e *Exchanger) DirectoryLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directoryLoaded
}

// LimitShareHosts returns the identifiers of the hosts among which the limits
// are divided, this one included. Silent peers stay among them for
// limitShareTimeout.
func (e *Exchanger) LimitShareHosts() []string {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := []string{e.self.ID}
	for _, peer := range e.peers {
		if !peer.left && now.Sub(peer.lastContact()) < limitShareTimeout {
			hosts = append(hosts, peer.ID)
		}
	}
	return hosts
}

// CutOff reports whether this host hears less than three quarters of its peers, not
// counting those that left or have been silent for limitShareTimeout: the others may
// be on the other side of a partition.
func (e *Exchanger) CutOff() bool {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	peers, silent := 0, 0
	for _, peer := range e.peers {
		lastContact := peer.lastContact()
		if peer.left || now.Sub(lastContact) >= limitShareTimeout {
			continue
		}
		peers++
		if now.Sub(lastContact) >= peerTimeout {
			silent++
		}
	}
	return silent*maxSilentFraction > peers
}

// setStranded records whether no instance answers a peer. The caller holds the
// mutex.
func (e *Exchanger) setStranded(peer *peerState, stranded bool) {
	e.newlyStranded = e.newlyStranded || (stranded && !peer.stranded)
	peer.stranded = stranded
}

// notifyStranded calls the listeners if a peer has become stranded, or the hosts that
// use divided limits have changed, since the last call. A relay tells the other hosts
// at once.
func (e *Exchanger) notifyStranded() {
	e.mu.Lock()
	stranded, sharers, isRelay := e.newlyStranded, e.sharersChanged, e.isRelay(e.now())
	e.newlyStranded, e.sharersChanged = false, false
	e.mu.Unlock()
	if sharers {
		e.onSharers()
	}
	if !stranded {
		return
	}
	if isRelay {
		e.SendUrgent()
	}
	e.onStranded()
}
