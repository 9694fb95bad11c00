package exchange

import (
	"slices"
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

// total adds up the work of hosts.
type total struct {
	uses    map[string]int32
	demands map[demandKey]float64
	hosts   []uint32
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

// takeSummary learns the work of many hosts from a relay.
func (e *Exchanger) takeSummary(message *exchangev1.ShareRequest, now time.Time) {
	summary := message.GetSummary()
	if summary == nil {
		return
	}
	forgotten, ok := e.holdSummary(summary, message.GetHostId(), now)
	for _, hostID := range forgotten {
		e.sink.Forget(hostID, now)
	}
	if ok {
		e.sink.Learn(&exchangev1.ShareRequest{
			HostId: summaryName(message.GetHostId()), Uses: summary.GetUses(), Demands: summary.GetDemands(),
		}, now)
	}
}

// holdSummary keeps a summary that is meant for this host in its present role. It
// returns whose news it replaces.
func (e *Exchanger) holdSummary(summary *exchangev1.Summary, from string, now time.Time) (forgotten []string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if summary.GetAll() == e.relays(now) {
		return nil, false
	}
	if summary.GetAll() {
		e.relayID, e.relayUntil = from, now.Add(summaryLife)
		forgotten = e.dropSummaries(func(id string, _ heldSummary) bool { return id != from })
	}
	e.summaries[from] = heldSummary{summary, now}
	for _, hash := range summary.GetHosts() {
		known := e.byHash[hash]
		if known == nil {
			continue
		}
		if !known.covered(now) {
			forgotten = append(forgotten, known.ID)
		}
		known.heard, known.coveredUntil = now, now.Add(summaryLife)
	}
	return forgotten, true
}

// dropSummaries forgets the summaries of some relays, and returns the names
// under which their work counted.
func (e *Exchanger) dropSummaries(drop func(relayID string, held heldSummary) bool) (forgotten []string) {
	for id, held := range e.summaries {
		if drop(id, held) {
			delete(e.summaries, id)
			forgotten = append(forgotten, summaryName(id))
		}
	}
	return forgotten
}

// summarise returns what this host, as a relay, tells each peer: another relay
// the work of the hosts that tell this one, a host of its part that of all.
func (e *Exchanger) summarise(request *exchangev1.ShareRequest, peers []*peer, now time.Time) map[string]*exchangev1.Summary {
	sum := &total{uses: make(map[string]int32), demands: make(map[demandKey]float64), hosts: []uint32{hostHash(e.self.ID)}}
	sum.add(request.GetUses(), request.GetDemands(), 1)
	for _, each := range peers {
		if e.tellsSelf(each, now) {
			sum.add(each.work.uses, each.work.demands, 1)
			sum.hosts = append(sum.hosts, hostHash(each.ID))
		}
	}
	summaries := make(map[string]*exchangev1.Summary)
	part := sum.render(false)
	for _, each := range peers {
		if e.duty.relayIDs[each.ID] {
			summaries[each.ID] = part
		}
	}
	for _, held := range e.summaries {
		sum.add(held.GetUses(), held.GetDemands(), 1)
		sum.hosts = append(sum.hosts, held.GetHosts()...)
	}
	for _, each := range peers {
		if !e.inPart(each) {
			continue
		}
		var own ownWork
		if e.tellsSelf(each, now) {
			own = each.work
		}
		summaries[each.ID] = sum.without(own)
	}
	return summaries
}

// inPart reports whether this host, as a relay, tells the peer the work of all.
func (e *Exchanger) inPart(each *peer) bool {
	return each.DataCentre == e.self.DataCentre && partOf(each.ID, e.duty.parts) == e.duty.part && !e.duty.relayIDs[each.ID]
}

// tellsSelf reports whether this host's summary holds the peer's work.
func (e *Exchanger) tellsSelf(each *peer, now time.Time) bool {
	return e.inPart(each) && now.Sub(each.work.at) < summaryLife
}

func (t *total) add(uses []*exchangev1.InstanceUse, demands []*exchangev1.ModelDemand, sign int32) {
	for _, use := range uses {
		t.uses[use.GetInstanceId()] += sign * use.GetRequests()
	}
	for _, demand := range demands {
		t.demands[demandKey{demand.GetService(), demand.GetModelId()}] += float64(sign) * demand.GetEngineSeconds()
	}
}

func (t *total) render(all bool) *exchangev1.Summary {
	summary := &exchangev1.Summary{All: all, Hosts: slices.Clone(t.hosts)}
	for id, requests := range t.uses {
		if requests > 0 {
			summary.Uses = append(summary.Uses, &exchangev1.InstanceUse{InstanceId: id, Requests: requests})
		}
	}
	for key, seconds := range t.demands {
		if seconds > 0 {
			summary.Demands = append(summary.Demands, &exchangev1.ModelDemand{Service: key.service, ModelId: key.modelID, EngineSeconds: seconds})
		}
	}
	return summary
}

// without is the summary for a host whose own work is in the total.
func (t *total) without(own ownWork) *exchangev1.Summary {
	t.add(own.uses, own.demands, -1)
	defer t.add(own.uses, own.demands, 1)
	return t.render(true)
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
