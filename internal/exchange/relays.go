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
	// relaysPerCentre hosts of each data centre pass the feeds on in larger
	// fleets, so that one that stops cuts off only a part of it.
	relaysPerCentre = 2
	// relayLife is how long a host relays without news of the leading host.
	relayLife = 3 * shareEvery
)

// relayDuty is what the leading host asks of a host that relays.
type relayDuty struct {
	leader   string
	part     int
	parts    int
	deadline time.Time
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
	case now.Before(e.duty.deadline):
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
	for _, hosts := range centres {
		slices.SortStableFunc(hosts, func(a, b *peer) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
		hosts = hosts[:min(len(hosts), relaysPerCentre)]
		for part, each := range hosts {
			targets[each.ID] = &exchangev1.RelayDuty{Part: int32(part), Parts: int32(len(hosts))} //nolint:gosec // a few
		}
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
		leader: message.GetHostId(), part: int(duty.GetPart()), parts: int(duty.GetParts()), deadline: now.Add(relayLife),
	}
}
