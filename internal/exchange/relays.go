package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// maxDirectPeers is the largest number of peers to which the leader sends
	// the feeds directly, without relays.
	maxDirectPeers = 24
	// minRelaysPerDataCentre is the least number of relays in each data centre
	// of a larger deployment, so that a relay that stops cuts off only a part of
	// the data centre.
	minRelaysPerDataCentre = 2
	// hostsPerRelay is the number of hosts for which a data centre gets one relay.
	// It limits the message rate of relays: each exchanges five messages a second
	// with each of its hosts, in each direction.
	hostsPerRelay = 16
	// relayFeedTimeout is how long a relay forwards the feeds to its hosts
	// without a message of the leader.
	relayFeedTimeout = 3 * shareInterval
	// relayDutyTimeout is how long a relay sends summaries without a message of
	// the leader. A new leader is elected in less time.
	relayDutyTimeout = peerTimeout
	// relaySilence is how long a relay may be silent until the leader names another. A
	// relay answers the leader, or is in a summary, in each round.
	relaySilence = 5 * shareInterval
)

// relayDuty is the part of this host's data centre that the leader assigned to
// it as a relay.
type relayDuty struct {
	leader       string
	part         int
	parts        int
	relayIDs     map[string]bool // of all data centres
	feedDeadline time.Time
	deadline     time.Time
}

// feedPlan holds which peers get the feeds in a round.
type feedPlan struct {
	leads   bool
	targets map[string]*exchangev1.RelayDuty // by identifier of the peer; nil for one that is no relay
}

// planFeeds selects the peers to which this host sends the feeds. The leader
// sends them to all peers, or only to the relays of a larger deployment; a
// relay forwards them to its part of its data centre.
func (e *Exchanger) planFeeds(peers []*peerState, leads bool, now time.Time) feedPlan {
	feeds := feedPlan{leads: leads, targets: make(map[string]*exchangev1.RelayDuty)}
	switch {
	case leads && len(peers) <= maxDirectPeers:
		for _, peer := range peers {
			feeds.targets[peer.ID] = nil
		}
	case leads:
		chooseRelays(peers, feeds.targets, now)
	case now.Before(e.duty.feedDeadline):
		for _, peer := range peers {
			if peer.DataCentre == e.self.DataCentre && peer.ID != e.duty.leader && partOf(peer.ID, e.duty.parts) == e.duty.part {
				feeds.targets[peer.ID] = nil
			}
		}
	}
	return feeds
}

// chooseRelays selects the hosts with the widest links of each data centre as
// relays and assigns a part of the data centre to each. Hosts that have been silent for
// relaySilence come last: those that a lost relay serves have reports of no others.
func chooseRelays(peers []*peerState, targets map[string]*exchangev1.RelayDuty, now time.Time) {
	dataCentres := make(map[string][]*peerState)
	for _, peer := range peers {
		if !peer.lastSeen.IsZero() {
			dataCentres[peer.DataCentre] = append(dataCentres[peer.DataCentre], peer)
		}
	}
	var relayIDs []string
	for _, hosts := range dataCentres {
		slices.SortFunc(hosts, func(a, b *peerState) int {
			return cmp.Or(cmp.Compare(silenceRank(a, now), silenceRank(b, now)), compareHosts(a.EntryPeer, b.EntryPeer))
		})
		hosts = hosts[:min(len(hosts), max(minRelaysPerDataCentre, len(hosts)/hostsPerRelay))]
		for part, peer := range hosts {
			targets[peer.ID] = &exchangev1.RelayDuty{Part: int32(part), Parts: int32(len(hosts))} //nolint:gosec // a few relays
			relayIDs = append(relayIDs, peer.ID)
		}
	}
	slices.Sort(relayIDs)
	for _, duty := range targets {
		duty.RelayIds = relayIDs
	}
}

// silenceRank returns 1 for a peer that has been silent for relaySilence, and else 0.
func silenceRank(peer *peerState, now time.Time) int {
	if peer.silence(now) < relaySilence {
		return 0
	}
	return 1
}

// compareHosts orders hosts for the duties that take work beside requests: those
// with the widest links first.
func compareHosts(a, b flamingodoor.EntryPeer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
}

func precedes(a, b flamingodoor.EntryPeer) bool {
	return compareHosts(a, b) < 0
}

// partOf returns the part of a data centre that a host belongs to. Parts are
// numbered from 0, one for each relay.
func partOf(hostID string, parts int) int {
	return int(xxhash.Sum64String(hostID) % uint64(max(1, parts))) //nolint:gosec // below parts
}

func (e *Exchanger) applyRelayDuty(message *exchangev1.ShareRequest, now time.Time) {
	duty := message.GetRelayDuty()
	if duty == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.duty = relayDuty{
		leader: message.GetHostId(), part: int(duty.GetPart()), parts: int(duty.GetParts()), relayIDs: make(map[string]bool),
		feedDeadline: now.Add(relayFeedTimeout), deadline: now.Add(relayDutyTimeout),
	}
	for _, id := range duty.GetRelayIds() {
		e.duty.relayIDs[id] = true
	}
}
