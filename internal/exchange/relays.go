package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// directPeers is up to how many peers the leading host feeds itself.
	directPeers = 24
	// leastRelays hosts of each data centre relay in larger fleets, so that one
	// that stops cuts off only a part of it.
	leastRelays = 2
	// hostsPerRelay bounds the messages of a relay: five a second to and from
	// each of its hosts.
	hostsPerRelay = 16
	// feedingLife is how long a relay feeds others without news of the leading
	// host.
	feedingLife = 3 * shareEvery
	// dutyLife is how long it sums up the work of its hosts: longer than it takes
	// to find another leading host.
	dutyLife = peerLife
)

// relayDuty is what the leading host asks of a host that relays.
type relayDuty struct {
	leader       string
	part         int
	parts        int
	relayIDs     map[string]bool // all hosts that relay
	feedDeadline time.Time
	deadline     time.Time
}

// feedRound says which peers get the feeds in a round.
type feedRound struct {
	leads   bool
	targets map[string]*exchangev1.RelayDuty // by peer; nil for one that relays nothing
}

// feedTargets chooses the peers that this host feeds: all or those that relay if
// it leads, its part of the data centre if it relays.
func (e *Exchanger) feedTargets(peers []*peer, leads bool, now time.Time) feedRound {
	fed := feedRound{leads: leads, targets: make(map[string]*exchangev1.RelayDuty)}
	switch {
	case leads && len(peers) <= directPeers:
		for _, each := range peers {
			fed.targets[each.ID] = nil
		}
	case leads:
		chooseRelays(peers, fed.targets)
	case now.Before(e.duty.feedDeadline):
		for _, each := range peers {
			if each.DataCentre == e.self.DataCentre && each.ID != e.duty.leader && partOf(each.ID, e.duty.parts) == e.duty.part {
				fed.targets[each.ID] = nil
			}
		}
	}
	return fed
}

// chooseRelays takes the hosts with the widest links of each data centre.
func chooseRelays(peers []*peer, targets map[string]*exchangev1.RelayDuty) {
	centres := make(map[string][]*peer)
	for _, each := range peers {
		if !each.heard.IsZero() {
			centres[each.DataCentre] = append(centres[each.DataCentre], each)
		}
	}
	var relayIDs []string
	for _, hosts := range centres {
		slices.SortStableFunc(hosts, func(a, b *peer) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
		hosts = hosts[:min(len(hosts), max(leastRelays, len(hosts)/hostsPerRelay))]
		for part, each := range hosts {
			targets[each.ID] = &exchangev1.RelayDuty{Part: int32(part), Parts: int32(len(hosts))} //nolint:gosec // a few
			relayIDs = append(relayIDs, each.ID)
		}
	}
	slices.Sort(relayIDs)
	for _, duty := range targets {
		duty.RelayIds = relayIDs
	}
}

// partOf spreads the hosts of a data centre over those that relay.
func partOf(hostID string, parts int) int {
	return int(xxhash.Sum64String(hostID) % uint64(max(1, parts))) //nolint:gosec // below parts
}

func (e *Exchanger) takeDuty(message *exchangev1.ShareRequest, now time.Time) {
	duty := message.GetRelayDuty()
	if duty == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.duty = relayDuty{
		leader: message.GetHostId(), part: int(duty.GetPart()), parts: int(duty.GetParts()), relayIDs: make(map[string]bool),
		feedDeadline: now.Add(feedingLife), deadline: now.Add(dutyLife),
	}
	for _, id := range duty.GetRelayIds() {
		e.duty.relayIDs[id] = true
	}
}
