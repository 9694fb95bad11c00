package exchange

import (
	"time"

	"github.com/cespare/xxhash/v2"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// summaryLife is how long a summary counts without a newer one: five rounds,
	// so that lost messages and a change of the leading host do not end it.
	summaryLife = 5 * shareEvery
	// introduceFor is how long a host tells all peers of itself, so that each
	// learns its address: longer than the turns among the peers take.
	introduceFor = peerLife
	// summaryHops are the messages from one host to any other: to its relay, to
	// another relay, and to that one's hosts.
	summaryHops = 3
)

// ownWork is what a peer told of its own work.
type ownWork struct {
	uses    []*exchangev1.InstanceUse
	demands []*exchangev1.ModelDemand
	at      time.Time
}

// heldSummary is the latest summary of a relay.
type heldSummary struct {
	*exchangev1.Summary

	at time.Time
}

// sum is the work of the hosts that tell this one, while it relays.
type sum struct {
	summary *exchangev1.Summary // with the work of all of them
	uses    map[string]int32
	demands map[demandKey]float64
}

type demandKey struct {
	service string
	modelID string
}

// summaryName is the name under which the work in a relay's summary counts.
func summaryName(relayID string) string {
	return "summary of " + relayID
}

func hostHash(hostID string) uint32 {
	return uint32(xxhash.Sum64String(hostID)) //nolint:gosec // the lower half
}

// relays reports whether this host passes on what others tell it.
func (e *Exchanger) relays(now time.Time) bool {
	return now.Before(e.duty.deadline)
}

// Relays reports whether this host passes on what others tell it.
func (e *Exchanger) Relays() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relays(e.now())
}

// covered reports whether a relay told of the peer's work lately.
func (p *peer) covered(now time.Time) bool {
	return now.Before(p.coveredUntil)
}

// takeSummaries learns the work of many hosts from a relay.
func (e *Exchanger) takeSummaries(message *exchangev1.ShareRequest, now time.Time) {
	if len(message.GetSummaries()) == 0 {
		return
	}
	fresh, covered := e.holdSummaries(message, now)
	for _, hostID := range covered {
		e.sink.Forget(hostID, now)
	}
	for _, summary := range fresh {
		e.sink.Learn(&exchangev1.ShareRequest{
			HostId: summaryName(summary.GetRelayId()), Uses: summary.GetUses(), Demands: summary.GetDemands(),
		}, now)
	}
}

// holdSummaries keeps the newer ones among the summaries. It returns them, and
// the hosts whose own messages no longer count.
func (e *Exchanger) holdSummaries(message *exchangev1.ShareRequest, now time.Time) (fresh []*exchangev1.Summary, covered []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sender := e.peers[message.GetHostId()]; sender != nil && sender.DataCentre == e.self.DataCentre {
		e.relayID, e.relayUntil = sender.ID, now.Add(summaryLife)
	}
	for _, summary := range message.GetSummaries() {
		if summary.GetRelayId() == e.self.ID || !newer(summary, e.summaries[summary.GetRelayId()]) {
			continue
		}
		e.summaries[summary.GetRelayId()] = heldSummary{summary, now}
		fresh = append(fresh, summary)
		for _, hash := range summary.GetHosts() {
			known := e.byHash[hash]
			if known == nil {
				continue
			}
			if !known.covered(now) {
				covered = append(covered, known.ID)
			}
			known.heard, known.coveredUntil = now, now.Add(summaryLife)
		}
	}
	return fresh, covered
}

func newer(summary *exchangev1.Summary, held heldSummary) bool {
	return held.Summary == nil || summary.GetRelayStartedMs() > held.GetRelayStartedMs() ||
		(summary.GetRelayStartedMs() == held.GetRelayStartedMs() && summary.GetSequence() > held.GetSequence())
}

// dropOldSummaries forgets what relays told that fell silent, and returns them.
func (e *Exchanger) dropOldSummaries(now time.Time) (silent []string) {
	for id, held := range e.summaries {
		if now.Sub(held.at) >= summaryLife {
			delete(e.summaries, id)
			silent = append(silent, id)
		}
	}
	return silent
}

// sumUp adds up the work of this host and of those that told it lately.
func (e *Exchanger) sumUp(request *exchangev1.ShareRequest, peers []*peer, now time.Time) *sum {
	made := &sum{uses: make(map[string]int32), demands: make(map[demandKey]float64)}
	hosts := []uint32{hostHash(e.self.ID)}
	made.add(request.GetUses(), request.GetDemands(), 1)
	for _, each := range peers {
		if e.tellsSelf(each, now) {
			made.add(each.work.uses, each.work.demands, 1)
			hosts = append(hosts, hostHash(each.ID))
		}
	}
	made.summary = made.render(&exchangev1.Summary{
		RelayId: e.self.ID, RelayStartedMs: request.GetStartedMs(), Sequence: request.GetSequence(), Hosts: hosts,
	})
	return made
}

// tellsSelf reports whether this host's summary covers the peer.
func (e *Exchanger) tellsSelf(each *peer, now time.Time) bool {
	return each.DataCentre == e.self.DataCentre && partOf(each.ID, e.duty.parts) == e.duty.part &&
		!e.duty.relayIDs[each.ID] && now.Sub(each.work.at) < summaryLife
}

func (s *sum) add(uses []*exchangev1.InstanceUse, demands []*exchangev1.ModelDemand, sign int32) {
	for _, use := range uses {
		s.uses[use.GetInstanceId()] += sign * use.GetRequests()
	}
	for _, demand := range demands {
		s.demands[demandKey{demand.GetService(), demand.GetModelId()}] += float64(sign) * demand.GetEngineSeconds()
	}
}

// render fills a summary with the work that is left.
func (s *sum) render(summary *exchangev1.Summary) *exchangev1.Summary {
	for id, requests := range s.uses {
		if requests > 0 {
			summary.Uses = append(summary.Uses, &exchangev1.InstanceUse{InstanceId: id, Requests: requests})
		}
	}
	for key, seconds := range s.demands {
		if seconds > 0 {
			summary.Demands = append(summary.Demands, &exchangev1.ModelDemand{Service: key.service, ModelId: key.modelID, EngineSeconds: seconds})
		}
	}
	return summary
}

// without is the summary for one of the hosts whose work is in it.
func (s *sum) without(work ownWork) *exchangev1.Summary {
	s.add(work.uses, work.demands, -1)
	defer s.add(work.uses, work.demands, 1)
	return s.render(&exchangev1.Summary{
		RelayId: s.summary.GetRelayId(), RelayStartedMs: s.summary.GetRelayStartedMs(), Sequence: s.summary.GetSequence(), Hosts: s.summary.GetHosts(),
	})
}

// summariesFor returns what a relay tells a peer: another relay hears of this
// one's hosts, a host of its part of all.
func (e *Exchanger) summariesFor(to *peer, made *sum, now time.Time) []*exchangev1.Summary {
	if made == nil {
		return nil
	}
	if e.duty.relayIDs[to.ID] {
		return []*exchangev1.Summary{made.summary}
	}
	if to.DataCentre != e.self.DataCentre || partOf(to.ID, e.duty.parts) != e.duty.part {
		return nil
	}
	own := made.summary
	if e.tellsSelf(to, now) {
		own = made.without(to.work)
	}
	summaries := []*exchangev1.Summary{own}
	for _, held := range e.summaries {
		summaries = append(summaries, held.Summary)
	}
	return summaries
}

// relayPeers are the peers that a relay tells in each round.
func (e *Exchanger) relayPeers(peers []*peer) []*peer {
	var told []*peer
	for _, each := range peers {
		mine := each.DataCentre == e.self.DataCentre && partOf(each.ID, e.duty.parts) == e.duty.part
		if mine || e.duty.relayIDs[each.ID] {
			told = append(told, each)
		}
	}
	return told
}

// relayOf returns the peer that relays for this host, or nil if none did lately
// or this host still introduces itself.
func (e *Exchanger) relayOf(peers []*peer, now time.Time) *peer {
	if !now.Before(e.relayUntil) || now.Sub(e.started) < introduceFor {
		return nil
	}
	for _, each := range peers {
		if each.ID == e.relayID {
			return each
		}
	}
	return nil
}
