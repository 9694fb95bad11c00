package exchange

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// summaryTimeout is how long a summary counts without a newer one: five
	// rounds, so that it outlasts lost messages and a change of the leader.
	summaryTimeout = 5 * shareInterval
	// introductionTime is how long a new host sends to all peers in rotation,
	// even if it has a relay or is one, so that each peer gets its address. A
	// full rotation takes less.
	introductionTime = peerTimeout
	// summaryHops is the number of messages that carry work from one host to
	// any other: to its relay, to another relay, and on to the hosts of that
	// one.
	summaryHops = 3
	// summaryPrefix starts the names under which the work in summaries counts.
	summaryPrefix = "summary of "
)

// reportedWork is the work that a peer reported itself: its requests in flight
// by instance, its demand for models, and the speeds that it measured.
type reportedWork struct {
	uses    []*exchangev1.InstanceUse
	demands []*exchangev1.ModelDemand
	paces   []*exchangev1.GroupPace
	at      time.Time
}

// receivedSummary is the latest summary of a relay.
type receivedSummary struct {
	*exchangev1.Summary

	at time.Time
}

// workTotal sums the work of several hosts.
type workTotal struct {
	uses     map[string]int32
	demands  map[demandKey]float64
	paces    map[string]*paceTotal // by head
	hosts    []uint32              // HostHash of each host
	stranded []uint32              // of those that no instance answers
}

type demandKey struct {
	service string
	modelID string
}

// summaryName returns the name under which the work in a relay's summary is
// passed to the sink, in place of a host identifier.
func summaryName(relayID string) string {
	return summaryPrefix + relayID
}

// ReportedHosts returns the hashes of the hosts whose work a message that was passed to
// the sink stands for: those in a summary, its sender, or none if relays include the
// sender's work in their summaries.
func (e *Exchanger) ReportedHosts(request *exchangev1.ShareRequest) []uint32 {
	if strings.HasPrefix(request.GetHostId(), summaryPrefix) {
		return request.GetSummary().GetHosts()
	}
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer, ok := e.peers[request.GetHostId()]; ok && peer.summarised(now) {
		return nil
	}
	return []uint32{HostHash(request.GetHostId())}
}

// HostHash returns the short form of a host identifier that summaries contain.
func HostHash(hostID string) uint32 {
	return uint32(xxhash.Sum64String(hostID)) //nolint:gosec // truncated to the lower half
}

// isRelay reports whether this host sends summaries to others. The caller holds
// the mutex.
func (e *Exchanger) isRelay(now time.Time) bool {
	return now.Before(e.duty.deadline)
}

// IsRelay reports whether this host is a relay.
func (e *Exchanger) IsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isRelay(e.now())
}

// summarised reports whether the latest summaries of relays include the peer's
// work.
func (p *peerState) summarised(now time.Time) bool {
	return now.Before(p.summarisedUntil)
}

// applySummary passes the work in a relay's summary to the sink. It replaces
// the work that the hosts in it reported themselves.
func (e *Exchanger) applySummary(message *exchangev1.ShareRequest, now time.Time) {
	summary := message.GetSummary()
	if summary == nil {
		return
	}
	leads := e.source.Leads()
	forgotten, ok := e.storeSummary(summary, message.GetHostId(), leads, now)
	for _, hostID := range forgotten {
		e.sink.Forget(hostID, now)
	}
	if ok {
		e.sink.Apply(&exchangev1.ShareRequest{
			HostId: summaryName(message.GetHostId()), Uses: summary.GetUses(), Demands: summary.GetDemands(), Paces: summary.GetPaces(),
			Summary: &exchangev1.Summary{Hosts: summary.GetHosts()},
		}, now)
	}
}

// storeSummary keeps a summary if it is meant for this host's present role:
// relays take summaries of other relays, all other hosts take those of the
// whole deployment. A relay that has become the leader gets the latter at once,
// although its duty has not expired. It returns the names whose work the summary
// replaces, and whether it was kept.
func (e *Exchanger) storeSummary(summary *exchangev1.Summary, from string, leads bool, now time.Time) (forgotten []string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if summary.GetAll() == (!leads && e.isRelay(now)) {
		return nil, false
	}
	if summary.GetAll() {
		e.relayID, e.relayUntil = from, now.Add(summaryTimeout)
		forgotten = e.dropSummaries(func(id string, _ receivedSummary) bool { return id != from })
	}
	e.summaries[from] = receivedSummary{summary, now}
	for _, hash := range summary.GetHosts() {
		known := e.peersByHash[hash]
		if known == nil {
			continue
		}
		if !known.summarised(now) {
			forgotten = append(forgotten, known.ID)
		}
		known.lastSeen, known.summarisedUntil = now, now.Add(summaryTimeout)
		e.setStranded(known, slices.Contains(summary.GetStrandedHosts(), hash))
	}
	return forgotten, true
}

// dropSummaries discards the summaries for which drop returns true, and returns
// the names under which their work counted.
func (e *Exchanger) dropSummaries(drop func(relayID string, received receivedSummary) bool) (forgotten []string) {
	for id, received := range e.summaries {
		if drop(id, received) {
			delete(e.summaries, id)
			forgotten = append(forgotten, summaryName(id))
		}
	}
	return forgotten
}

// buildSummaries returns the summary for each peer that gets one from this
// relay. Other relays get the work of the hosts that report to this one; the
// hosts of this relay get the work of the whole deployment without their own.
func (e *Exchanger) buildSummaries(request *exchangev1.ShareRequest, peers []*peerState, now time.Time) map[string]*exchangev1.Summary {
	total := &workTotal{uses: make(map[string]int32), demands: make(map[demandKey]float64), paces: make(map[string]*paceTotal), hosts: []uint32{HostHash(e.self.ID)}}
	total.add(request.GetUses(), request.GetDemands(), 1)
	total.addPaces(request.GetPaces(), now, now)
	if request.GetStranded() {
		total.stranded = append(total.stranded, HostHash(e.self.ID))
	}
	for _, peer := range peers {
		if e.includesWorkOf(peer, now) {
			total.add(peer.reported.uses, peer.reported.demands, 1)
			total.addPaces(peer.reported.paces, peer.reported.at, now)
			total.hosts = append(total.hosts, HostHash(peer.ID))
			if peer.stranded {
				total.stranded = append(total.stranded, HostHash(peer.ID))
			}
		}
	}
	summaries := make(map[string]*exchangev1.Summary)
	partial := total.summary(false)
	partial.Paces = total.pacesWithout(reportedWork{}, 0, now)
	for _, peer := range peers {
		if e.duty.relayIDs[peer.ID] {
			summaries[peer.ID] = partial
		}
	}
	for _, received := range e.summaries {
		total.add(received.GetUses(), received.GetDemands(), 1)
		total.addPaces(received.GetPaces(), received.at, now)
		total.hosts = append(total.hosts, received.GetHosts()...)
		total.stranded = append(total.stranded, received.GetStrandedHosts()...)
	}
	for _, peer := range peers {
		if !e.relaysTo(peer) {
			continue
		}
		var excluded reportedWork
		if e.includesWorkOf(peer, now) {
			excluded = peer.reported
		}
		summaries[peer.ID] = total.summaryWithout(excluded)
		summaries[peer.ID].Paces = total.pacesWithout(peer.reported, HostHash(peer.ID), now)
	}
	return summaries
}

// relaysTo reports whether this host, as a relay, sends summaries of the whole
// deployment to the peer.
func (e *Exchanger) relaysTo(peer *peerState) bool {
	return peer.DataCentre == e.self.DataCentre && partOf(peer.ID, e.duty.parts) == e.duty.part && !e.duty.relayIDs[peer.ID]
}

// includesWorkOf reports whether the total of this relay includes the work that
// the peer reported itself.
func (e *Exchanger) includesWorkOf(peer *peerState, now time.Time) bool {
	return e.relaysTo(peer) && now.Sub(peer.reported.at) < summaryTimeout
}

func (t *workTotal) add(uses []*exchangev1.InstanceUse, demands []*exchangev1.ModelDemand, sign int32) {
	for _, use := range uses {
		t.uses[use.GetInstanceId()] += sign * use.GetRequests()
	}
	for _, demand := range demands {
		t.demands[demandKey{demand.GetService(), demand.GetModelId()}] += float64(sign) * demand.GetEngineSeconds()
	}
}

func (t *workTotal) summary(all bool) *exchangev1.Summary {
	summary := &exchangev1.Summary{All: all, Hosts: slices.Clone(t.hosts), StrandedHosts: slices.Clone(t.stranded)}
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

// summaryWithout returns the summary for a host whose own work is part of the
// total.
func (t *workTotal) summaryWithout(excluded reportedWork) *exchangev1.Summary {
	t.add(excluded.uses, excluded.demands, -1)
	defer t.add(excluded.uses, excluded.demands, 1)
	return t.summary(true)
}

// currentRelay returns the peer that relays for this host. It returns nil if no
// relay has sent a summary lately or if this host is still introducing itself.
func (e *Exchanger) currentRelay(peers []*peerState, now time.Time) *peerState {
	if !now.Before(e.relayUntil) || now.Sub(e.started) < introductionTime {
		return nil
	}
	for _, peer := range peers {
		if peer.ID == e.relayID {
			return peer
		}
	}
	return nil
}
