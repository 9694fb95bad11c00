package exchange

import (
	"context"
	"time"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// consultTime is how long a host that starts waits at the most until its peers have
	// told the versions of their configurations.
	consultTime = time.Second
	// consultCount is how many peers are enough.
	consultCount = 6
)

// peerConfiguration is the newest configuration that a peer has stated.
type peerConfiguration struct {
	version  int64
	next     int64     // position up to which the peer has read the operators' records
	deadline time.Time // until then, the statement counts
}

// ConfigurationConfirmed reports whether no peer that answers knows a newer configuration
// that this host cannot read, and whether enough peers were asked since the start. The
// platform's store may have come back from a copy that lacks what the peers know.
func (e *Exchanger) ConfigurationConfirmed() bool {
	if !e.consulted.Load() && !e.consultedPeers() {
		return false
	}
	return !e.lacksConfiguration()
}

// lacksConfiguration reports whether the newest configuration of a peer is not among the
// records that this host has read, although it has read as far.
func (e *Exchanger) lacksConfiguration() bool {
	next, _, known := e.feeds.Configuration.Position()
	e.mu.Lock()
	defer e.mu.Unlock()
	return known && e.newest.version > e.feeds.Configuration.Version() && next >= e.newest.next && e.now().Before(e.newest.deadline)
}

// consultedPeers reports whether enough peers were asked, or cannot be.
func (e *Exchanger) consultedPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked, known := 0, 0
	for _, peer := range e.peers {
		if peer.left {
			continue
		}
		known++
		if peer.failed || !peer.answeredAt.IsZero() {
			asked++
		}
	}
	done := (e.directoryLoaded && asked >= min(known, consultCount)) || e.now().Sub(e.started) >= consultTime
	if done {
		e.consulted.Store(true)
	}
	return done
}

// compareConfiguration records what a peer has stated of its configuration, and copies
// that if this host lacks it.
func (e *Exchanger) compareConfiguration(ctx context.Context, peerID string, response *exchangev1.ShareResponse) {
	e.mu.Lock()
	if response.GetConfigurationVersion() >= e.newest.version {
		e.newest = peerConfiguration{version: response.GetConfigurationVersion(), next: response.GetConfigurationNext(), deadline: e.now().Add(peerTimeout)}
	}
	newest := e.newest.version
	e.mu.Unlock()
	if response.GetConfigurationVersion() < newest || !e.lacksConfiguration() || !e.copying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.copying.Store(false)
		e.fetchConfiguration(ctx, peerID, 0)
	}()
}
